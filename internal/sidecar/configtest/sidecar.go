package configtest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

const settings = `{
 "classes": [
  {"name": "lookup", "effect": "read_like", "group": "all", "on_time_ms": 750, "hard_limit_ms": 2500, "worth": 3},
  {"name": "reserve", "effect": "idempotency_key", "group": "cell", "window_ms": 2000, "on_time_ms": 500, "hard_limit_ms": 1000, "worth": 8},
  {"name": "charge", "effect": "non_idempotent", "on_time_ms": 500, "hard_limit_ms": 1000}],
 "tenants": [{"name": "kita", "share": 1, "allowance_per_s": 100}],
 "zones": ["z"], "kinds": ["k"], "discovery": "subscribe", "quantum_ms": 2,
 "limits": {"cancel": true, "conn_idle_ms": 10000, "connect_timeout_ms": 100, "max_attempts": 6, "open_cap": 20000,
  "parallel_tries": true, "probes": true, "retry_after": true, "max_retry_after_ms": 2000},
 "report": {"via": "piggyback", "fields": ["busy", "rate"]},
 "rules": {"answer_slack_ms": 8, "ask_within_ms": 10000, "cold_from": 0.12, "cold_ms": 24000,
  "drain_grace_ms": 250, "fall_ms": 3000, "fall_multiple": 2.5}}`

// Conf is the content of a configuration file, by key. Tests change it before they write or load it.
type Conf map[string]any

// NewConf returns a valid configuration with the address of a list service and an initial endpoint list of the known
// servers.
func NewConf(discovery string, known ...endpointlist.Target) Conf {
	return Conf{
		"name": "n0", "listen": sidecartest.Loopback, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    endpointlist.List{Rev: 1, All: true, Targets: known},
		"settings": json.RawMessage(settings),
	}
}

// ReplaceSetting replaces the first occurrence of old in the JSON text of the settings and returns c. It panics if old
// does not occur.
func (c Conf) ReplaceSetting(old, to string) Conf {
	text := string(c["settings"].(json.RawMessage))
	if !strings.Contains(text, old) {
		panic("settings do not contain " + old)
	}
	c["settings"] = json.RawMessage(strings.Replace(text, old, to, 1))
	return c
}

// Write writes the configuration to a temporary file and returns its path.
func (c Conf) Write(t *testing.T) string {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Load writes the configuration to a temporary file and loads it.
func (c Conf) Load(t *testing.T) (*config.Config, error) {
	path := c.Write(t)
	return config.Load(func(name string) string {
		switch name {
		case "NODE_CONFIG":
			return path
		case "TMPDIR":
			dir, _ := c["TMPDIR"].(string)
			return dir
		}
		return ""
	})
}
