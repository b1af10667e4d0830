package config

import (
	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
)

// Server is a target as the balancer knows it. The ID follows from the UID alone, so that a restarted sidecar ranks the
// servers as it did before.
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
	default: // Terminating, or a state that this program does not know: it is not ready
		s.State = balance.Draining
	}
	return s
}
