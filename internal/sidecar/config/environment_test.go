package config_test

import (
	"fmt"
	"strings"
	"testing"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
)

func TestLoad_Invalid(t *testing.T) {
	for name, test := range map[string]struct {
		change func(configtest.Conf)
		want   string
	}{
		"listen":         {func(c configtest.Conf) { c["listen"] = "here" }, "listen"},
		"discovery":      {func(c configtest.Conf) { delete(c, "discovery") }, "discovery"},
		"seed":           {func(c configtest.Conf) { c["seed"] = "xyz" }, "seed"},
		"no settings":    {func(c configtest.Conf) { delete(c, "settings") }, "settings: the section is missing"},
		"no classes":     {func(c configtest.Conf) { c["settings"] = map[string]any{} }, "no classes"},
		"unknown effect": {func(c configtest.Conf) { c.ReplaceSetting("non_idempotent", "other") }, "effect"},
		"class names":    {func(c configtest.Conf) { c.ReplaceSetting(`"name": "charge"`, `"name": "lookup"`) }, "classes"},
		"tenant names":   {func(c configtest.Conf) { c.ReplaceSetting(`"name": "kita"`, `"name": ""`) }, "tenants"},
		"sockets":        {func(c configtest.Conf) { c["limits"] = map[string]any{"sockets": 10} }, "sockets"},
		"wrong type":     {func(c configtest.Conf) { c["limits"] = 3 }, "limits"},
	} {
		t.Run(name, func(t *testing.T) {
			c := configtest.NewConf("127.0.0.1:1")
			test.change(c)
			_, err := c.Load(t)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q, want one line that names %s", fmt.Sprint(err), test.want)
			}
		})
	}
	if _, err := config.Load(func(string) string { return "" }); err == nil {
		t.Error("Load succeeded without NODE_CONFIG")
	}
}

// The environment takes precedence over the file.
func TestEnvironment(t *testing.T) {
	path := configtest.NewConf("127.0.0.1:1").Write(t)
	env := map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:2", "NODE_DISCOVERY": "127.0.0.1:3"}
	cfg, err := config.Load(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "n7" || cfg.Listen != "127.0.0.1:2" || cfg.Discovery != "127.0.0.1:3" {
		t.Errorf("%+v, want name and addresses from the environment", cfg)
	}
}
