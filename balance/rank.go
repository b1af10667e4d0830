package balance

import "math"

// zonePreference scales how far servers of nearer tiers are preferred by rank. The weight of a server is
// divided by 1 + zonePreference × price of crossing zones for each tier that it is further away.
const zonePreference = 200

// rankOf returns the rank of a server for this sidecar by weighted rendezvous hashing; lower ranks are
// used first. A server that joins, leaves or restarts changes the rank of no other. Servers of nearer
// tiers have a higher weight.
func (s *shared) rankOf(srv *server) float64 {
	hash := mix(mix(uint64(s.cfg.Number)+1) ^ uint64(srv.ID))
	exponential := -math.Log(float64(hash>>11+1) / (1 << 53)) // exponentially distributed
	preference := 1 + zonePreference*s.cfg.Prices.CrossZone
	return exponential * [tiers]float64{1 / preference, 1, preference}[srv.zone.tier]
}
