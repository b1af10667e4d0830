package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/sidecartest"
)

// loadText loads a configuration file with the given text. It returns the error's text without the path of the file,
// and the error.
func loadText(t *testing.T, text string) (*config.Config, string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string {
		if name == "NODE_CONFIG" {
			return path
		}
		return ""
	})
	if err == nil {
		return cfg, "", nil
	}
	message, hasPath := strings.CutPrefix(err.Error(), "configuration "+path+": ")
	if !hasPath {
		t.Errorf("the error does not start with the path of the file: %v", err)
	}
	return nil, message, err
}

// The error for each mistake in a configuration is one line. It names the file, the key and the value in terms of the
// file and contains no Go types.
func TestConfig_errorTexts(t *testing.T) {
	valid, err := os.ReadFile(configtest.NewConf("127.0.0.1:1", sidecartest.Ready("a", "127.0.0.1:2")).Write(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, to, want string }{
		{`"seed":"8c1f30d27a5be964"`, `"seed":"zz"`, "seed: "}, {`"seed":"8c1f30d27a5be964"`, `"seed":5`, "seed: a number"},
		{`"sockets":1024`, `"sockets":"many"`, "limits.sockets: a string"}, {`"sockets":1024`, `"sockets":-5`, "limits.sockets is -5"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb is -1"}, {`"memory_mb":192`, `"memory_mb":99999999999999`, "limits.memory_mb is 9"},
		{`"cores":1`, `"cores":-1`, "limits.cores is -1"}, {`"cores":1`, `"cores":1e300`, "limits.cores is 1e+300"},
		{`"listen":"` + sidecartest.Loopback + `"`, `"listen":"there"`, "listen: "}, {`"discovery":"127.0.0.1:1"`, `"discovery":"there"`, "discovery: "},
		{`"discovery":"127.0.0.1:1"`, `"discovery":""`, "discovery: "}, {`"discovery":"127.0.0.1:1"`, `"discovery":":8500"`, `discovery: address ":8500"`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":"127.0.0.1:99999"`, `discovery: address "127.0.0.1:99999"`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":"127.0.0.1:"`, `discovery: address "127.0.0.1:"`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":"a b%%:1"`, `discovery: address "a b%%:1"`},
		{`"known":{`, `"known":[`, "byte 42: "}, {`"boot_ms":0`, `"boot_ms":"x"`, "known.targets.boot_ms: a string"},
		{`"quantum_ms":2`, `"quantum_ms":"x"`, "settings: quantum_ms: a string"},
		{`"conn_idle_ms":10000`, `"conn_idle_ms":-1`, "settings: limits.conn_idle_ms is -1"},
		{`"open_cap":20000`, `"open_cap":-1`, "settings: limits.open_cap is -1"}, {`"open_cap":20000`, `"open_cap":1.5`, "settings: limits.open_cap: "},
		{`"effect":"read_like"`, `"effect":"odd"`, `settings: classes[0].effect: unknown word "odd"`},
		{`"group":"all"`, `"group":"moon"`, `settings: classes[0].group: unknown word "moon"`},
		{`"on_time_ms":750`, `"on_time_ms":-1`, "settings: classes[0].on_time_ms is -1"},
		{`"on_time_ms":750`, `"on_time_ms":[]`, "settings: classes.on_time_ms: a array"},
		{`"hard_limit_ms":2500`, `"hard_limit_ms":0`, "settings: classes[0].hard_limit_ms is 0"},
		{`"window_ms":2000`, `"window_ms":-1`, "settings: classes[1].window_ms is -1"},
		{`"max_attempts":6`, `"max_attempts":0`, "settings: limits.max_attempts is 0"},
		{`"worth":3`, `"worth":-1`, "settings: classes[0].worth is -1"}, {`"share":1`, `"share":-1`, "settings: tenants[0].share is -1"},
		{`"allowance_per_s":100`, `"allowance_per_s":-1`, "settings: tenants[0].allowance_per_s is -1"},
		{`"name":"kita"`, `"name":""`, "settings: tenants: entry 0"}, {`"zones":["z"]`, `"zones":["z","z"]`, `settings: zones: "z"`},
		{`"discovery":"subscribe"`, `"discovery":"guess"`, `settings: discovery: unknown word "guess"`},
		{`"via":"piggyback"`, `"via":"pigeon"`, `settings: report.via: unknown word "pigeon"`},
		{`"zones":["z"]`, `"zones":"z"`, "settings: zones: a string"}, {`"drain_grace_ms":250`, `"drain_grace_ms":-1`, "settings: rules.drain_grace_ms is -1"},
		{`"rules":{`, `"penalties":{"waste":-1},"rules":{`, "settings: penalties.waste is -1"},
		{`"settings":{`, `"settings":null,"x":{`, "settings: no classes"},
	} {
		text := strings.Replace(string(valid), c.old, c.to, 1)
		if text == string(valid) {
			t.Fatalf("the configuration lacks %s", c.old)
		}
		_, message, err := loadText(t, text)
		if err == nil || !strings.HasPrefix(message, c.want) || strings.ContainsAny(message, "\n") || strings.Contains(message, "Go ") {
			t.Errorf("%s: error %q, want one line that starts with %q", c.to, message, c.want)
		}
	}
	for text, want := range map[string]string{
		"": "byte 0: ", "{": "byte 1: ", string(valid[:len(valid)/2]): "byte ", "[]": "", "null": "listen: ", `{"name":"n0"}{`: "byte 14: ",
	} {
		if _, message, err := loadText(t, text); err == nil || !strings.HasPrefix(message, want) {
			t.Errorf("%.20q: error %q, want one that starts with %q", text, message, want)
		}
	}
}
