package config_test

import (
	"fmt"
	"strings"
	"testing"

	"marblelane/internal/sidecar/configtest"
)

func TestLists_ownZoneFirst(t *testing.T) {
	c := configtest.NewConf("127.0.0.1:1") // in the zone z
	c["lists"] = []map[string]any{{"addr": "127.0.0.1:2", "zone": "east"}, {"addr": "127.0.0.1:3", "zone": "z"}, {"addr": "127.0.0.1:4"}}
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(cfg.ListServices); got != "[127.0.0.1:3 127.0.0.1:2 127.0.0.1:4]" || cfg.Balance.ListServices != 3 || !cfg.Balance.Subscribe {
		t.Fatalf("list services %v, number in the balancer %d, Subscribe %v", got, cfg.Balance.ListServices, cfg.Balance.Subscribe)
	}
	for name, change := range map[string]func(configtest.Conf){
		"lists[1].addr":    func(c configtest.Conf) { c["lists"] = []map[string]any{{"addr": "127.0.0.1:2"}, {"addr": "there"}} },
		"list_doubt_share": func(c configtest.Conf) { c["list_doubt_share"] = 1.5 },
		"list_stale_ms":    func(c configtest.Conf) { c["list_stale_ms"] = -1 },
	} {
		c := configtest.NewConf("127.0.0.1:1")
		change(c)
		if _, err := c.Load(t); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v does not name the key", name, err)
		}
	}
}
