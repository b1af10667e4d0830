// Package addrcheck finds, when a configuration is read, what would keep its process out of the fleet for good. An address
// that is in use is no such error, as binding is retried.
package addrcheck

import (
	"fmt"
	"net"
	"net/netip"

	"marblelane/internal/membership"
)

// Check finds what membership.Open would reject at each attempt. It does not look up host names, which may become
// resolvable later. An error names the key.
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
		return nil // a host name
	}
	if !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("members.%s: %q names no address that others can call; advertise has to", key, addr)
	}
	for _, n := range c.Networks {
		if n.Contains(ip.Unmap().WithZone("")) {
			return nil
		}
	}
	if len(c.Networks) > 0 {
		return fmt.Errorf("members.%s: %q lies in none of members.networks", key, addr)
	}
	return nil
}
