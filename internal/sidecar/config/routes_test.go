package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
)

func TestRoutesSection(t *testing.T) {
	for text, want := range map[string]string{
		`null`: "off",
		`{}`:   "[127.0.0.1:1] [1 2] X-Route-Key",
		`{"addrs": ["127.0.0.1:2"], "schemas": [1], "key_header": "x-side"}`:       "[127.0.0.1:2] [1] X-Side",
		`{"addrs": ["127.0.0.1:2", "there"]}`:                                      "routes.addrs[1]: ",
		`{"addrs": [` + strings.Repeat(`"a:1",`, config.MaxRouteAddrs) + `"a:1"]}`: "routes.addrs: 17 addresses",
		`{"schemas": [2, 3]}`:   "routes.schemas[1]: 3 ",
		`{"schemas": [2, 2]}`:   "routes.schemas[1]: 2 ",
		`{"key_header": "a b"}`: `routes.key_header: "a b"`,
		`{"adrs": []}`:          `routes: json: unknown field "adrs"`,
		`[]`:                    "routes: json: ",
	} {
		c := configtest.NewConf("127.0.0.1:1")
		c["routes"] = json.RawMessage(text)
		cfg, err := c.Load(t)
		got := fmt.Sprint(err)
		if err == nil {
			if got = "off"; cfg.Routes != nil {
				got = fmt.Sprint(cfg.Routes.Addrs, cfg.Routes.Schemas, " ", cfg.Routes.KeyHeader)
			}
		}
		require.Contains(t, got, want, text)
	}
	c := configtest.NewConf("127.0.0.1:1")
	c["routes"], c["name"] = map[string]any{}, ""
	_, err := c.Load(t)
	require.ErrorContains(t, err, "name: ")
}
