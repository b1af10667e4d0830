package config

import (
	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
)

// Server converts an entry of an endpoint list into a server of the balancer. The ID depends only on the UID, so a
// restarted sidecar ranks the servers as before.
func (cfg *Config) Server(t *endpointlist.Target) balance.Server {
	s := balance.Server{
		ID: endpointlist.ServerID(t.UID), StartedAt: t.BootMS, Rating: t.Capacity, Cell: t.PodGroup,
		Zone: endpointlist.IndexOf(cfg.Zones, t.Zone), Kind: endpointlist.IndexOf(cfg.Kinds, t.Model),
		AddressKey: endpointlist.AddressKey(t.Endpoint),
	}
	switch t.State {
	case "Ready":
		s.State = balance.Ready
	case "Gone":
		s.State = balance.Removed
	default: // Terminating, or a state that this program does not know, which counts as not ready
		s.State = balance.Draining
	}
	return s
}
