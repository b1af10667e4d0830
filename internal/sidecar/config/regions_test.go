package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func TestRegions(t *testing.T) {
	for text, want := range map[string]string{
		`"regions": {"west": ["a", "c"], "east": ["b"]}`:         "[2 1 2] 2",
		`"regions": {"west": ["a", "b", "c"]}, "region_cost": 3`: "[1 1 1] 3",
		`"region_cost": 1`:                                         "[] 1",
		`"regions": {"west": ["a", "b"]}`:                          `regions: zone "c" belongs to no region`,
		`"regions": {"west": ["a", "b", "c", "d"]}`:                `regions: west: zone "d" is not in settings.zones`,
		`"regions": {"east": ["a"], "west": ["a", "b", "c"]}`:      `regions: west: zone "a" is not in settings.zones`,
		`"regions": {"west": ["a", "b", "c"]}, "region_cost": 0.5`: "region_cost: 0.5",
		`"regions": {"west": ["a", "b", "c"]}, "region_cost": 1e9`: "region_cost: 1e+09",
	} {
		var f file
		if err := json.Unmarshal([]byte("{"+text+"}"), &f); err != nil {
			t.Fatal(err)
		}
		f.Listen, f.Discovery, f.Seed = "127.0.0.1:1", "127.0.0.1:1", "1"
		f.Settings = []byte(`{"zones": ["a", "b", "c"], "classes": [{"name": "x", "hard_limit_ms": 10, "effect": "read_like", "group": "all"}]}`)
		cfg, err := f.config()
		got := fmt.Sprint(err)
		if err == nil {
			got = fmt.Sprint(cfg.Balance.Regions, cfg.Balance.RegionCost)
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%s: got %s, want a text that starts with %s", text, got, want)
		}
	}
}
