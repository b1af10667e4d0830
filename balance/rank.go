package balance

import "math"

// zonePreference is how much earlier servers of a nearer tier come by rank, per unit of the price of
// crossing.
const zonePreference = 200

// rankOf orders servers for this sidecar by weighted rendezvous hashing: a server that comes, goes or
// restarts moves no other. The weight of a server is higher the nearer its tier.
func (s *shared) rankOf(srv *server) float64 {
	hash := mix(mix(uint64(s.cfg.Number)+1) ^ uint64(srv.ID))
	exponential := -math.Log(float64(hash>>11+1) / (1 << 53)) // exponentially distributed
	preference := 1 + zonePreference*s.cfg.Prices.CrossZone
	return exponential * [tiers]float64{1 / preference, 1, preference}[srv.zone.tier]
}
