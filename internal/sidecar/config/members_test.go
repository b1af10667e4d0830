package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/sidecartest"
)

func TestMembersConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(configtest.Conf)
		wantErr string // "": the configuration is valid
	}{
		"absent":      {func(c configtest.Conf) { delete(c, "members") }, ""},
		"null":        {func(c configtest.Conf) { c["members"] = nil }, ""},
		"no name":     {func(c configtest.Conf) { c["name"] = "" }, "name: empty"},
		"no fleet":    {func(c configtest.Conf) { c["members"].(map[string]any)["fleet"] = "" }, "members.fleet: "},
		"bad address": {func(c configtest.Conf) { c["members"].(map[string]any)["bind"] = "x" }, "members.bind: "},
		"name":        {func(c configtest.Conf) { c["name"] = "side car" }, "members.name: "},
		"long name":   {func(c configtest.Conf) { c["name"] = strings.Repeat("n", 65) }, "members.name: "},
		"zone":        {func(c configtest.Conf) { c.ReplaceSetting(`["z"]`, `["z\u00a0"]`) }, "members.zone: "},
		"no host":     {func(c configtest.Conf) { c["members"].(map[string]any)["bind"] = ":0" }, "members.bind: "},
		"unknown key": {func(c configtest.Conf) { c["members"].(map[string]any)["bnd"] = "x" }, `members: json: unknown field "bnd"`},
	} {
		t.Run(name, func(t *testing.T) {
			c := configtest.WithMembership(configtest.NewConf("127.0.0.1:1"), "n", sidecartest.Loopback)
			test.change(c)
			cfg, err := c.Load(t)
			if test.wantErr != "" {
				require.ErrorContains(t, err, test.wantErr)
				return
			}
			require.NoError(t, err)
			require.Nil(t, cfg.Membership)
		})
	}
	cfg, err := configtest.WithMembership(configtest.NewConf("127.0.0.1:1"), "n", sidecartest.Loopback).ReplaceSetting(`"zones"`, `"peers_total": 7, "zones"`).Load(t)
	require.NoError(t, err)
	g := cfg.Membership.Group
	require.Equal(t, []any{"n", "z", config.RoleSidecar, 7}, []any{g.Name, g.Zone, g.Role, g.Peers})
	require.True(t, config.SameMembership(cfg.Membership, cfg.Membership))
	require.False(t, config.SameMembership(cfg.Membership, nil))
}
