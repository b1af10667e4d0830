package addrcheck

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/membership"
)

func TestCheck(t *testing.T) {
	ten := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	for _, test := range []struct {
		bind, advertise string
		networks        []netip.Prefix
		wantErr         string // empty: valid
	}{
		{"10.1.0.7:7946", "", ten, ""},
		{"127.0.0.1:0", "", nil, ""},
		{":7946", "10.1.0.7:0", ten, ""},
		{"host.invalid:7946", "", ten, ""},
		{":7946", "", nil, "members.bind: \":7946\" is not an address that other members can reach"},
		{"0.0.0.0:7946", "", nil, "members.bind: \"0.0.0.0:7946\" is not an address that other members can reach"},
		{"[::]:7946", "", nil, "members.bind: \"[::]:7946\" is not an address that other members can reach"},
		{"10.1.0.7:7946", ":7946", nil, "members.advertise: \":7946\" is not an address that other members can reach"},
		{"224.0.0.1:7946", "", nil, "members.bind: "},
		{"127.0.0.1:0", "", ten, "members.bind: \"127.0.0.1:0\" is not in any of members.networks"},
		{"10.1.0.7:1", "127.0.0.1:1", ten, "members.advertise: \"127.0.0.1:1\" is not in any of members.networks"},
	} {
		c := membership.Config{Name: "n", Fleet: "f", Bind: test.bind, Advertise: test.advertise, Networks: test.networks}
		err := Check(c)
		if test.wantErr == "" {
			assert.NoError(t, err, test)
		} else {
			assert.ErrorContains(t, err, test.wantErr)
		}
	}
	for key, change := range map[string]func(*membership.Config){
		"name": func(c *membership.Config) { c.Name = "side car" }, "zone": func(c *membership.Config) { c.Zone = "a&b" },
		"version": func(c *membership.Config) { c.Version = strings.Repeat("v", 65) },
	} {
		c := membership.Config{Name: "n", Fleet: "f", Bind: "127.0.0.1:0"}
		change(&c)
		assert.ErrorContains(t, Check(c), "members."+key+": ")
	}
}
