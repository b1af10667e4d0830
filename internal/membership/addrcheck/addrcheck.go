// Package addrcheck validates the addresses of a membership configuration when the configuration is read. It reports
// errors that no retry can resolve. An address in use is not such an error, as binding is retried.
package addrcheck

import (
	"fmt"
	"net"
	"net/netip"

	"marblelane/internal/membership"
)

// Check returns an error if membership.Open would reject the configuration at every attempt. It does not resolve host
// names, which may become resolvable later. The error names the configuration key.
func Check(c membership.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	key, addr := "bind", c.Bind
	if c.Advertise != "" {
		key, addr = "advertise", c.Advertise
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("members.%s: %w", key, err)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil && host != "" {
		return nil // the address is a host name, which Check does not resolve
	}
	if !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("members.%s: %q is not an address that other members can reach (set advertise to one)", key, addr)
	}
	for _, n := range c.Networks {
		if n.Contains(ip.Unmap().WithZone("")) {
			return nil
		}
	}
	if len(c.Networks) > 0 {
		return fmt.Errorf("members.%s: %q is not in any of members.networks", key, addr)
	}
	return nil
}
