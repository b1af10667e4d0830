package balance

// This file bounds what is sent to servers that have just started, by all processes of the fleet together.

import "math"

const (
	fleetHalfLife = 1e4 // ms in which a count of sharers halves at most: newcomers are known long before
)

func (b *Balancer) warmingUp(s *server) bool { return b.now < s.slowStartAt+b.cfg.SlowStartTime }

// warmth is the least fraction of its capacity that a cold server has.
func (b *Balancer) warmth(s *server) float64 {
	age := math.Max(0, b.now-s.slowStartAt) / b.cfg.SlowStartTime
	return b.cfg.SlowStartCapacity + (1-b.cfg.SlowStartCapacity)*math.Min(1, age)
}

// slowStartBudget is a hard limit of sends to a cold server, re-routes included: half of the allowed multiple
// of what warm servers of its size answer of this sidecar's requests, lowered by its warmth; no less than its
// part if all were alike, as a size only says whom this sidecar prefers. Answers count, not requests, which
// clients repeat, and few are assumed, by all processes of a sidecar together. They tell of a while ago: if
// servers were warmer then it is less by as much. Along a route it is the part if all were alike, and idle
// time gathers nothing, as a route may bring all sidecars at once.
func (b *Balancer) slowStartBudget(s *server) bool {
	fraction := s.weight / math.Max(b.pool.weight, s.weight) * b.pool.cooled
	fraction *= math.Max(1, b.cfg.OverloadMultiple/2)
	span := b.now - s.tokensAt
	if b.pickingAlongRoute {
		fraction, span = 0, math.Min(span, b.cfg.OverloadTime)
	}
	alike := b.answerRate(b.assumedAnswers/b.processes) * b.warmth(s) / float64(len(b.servers))
	fill := math.Max(b.answerRate(math.Min(b.assumedAnswers, 1)/b.processes)*fraction, alike)
	s.tokens = math.Min(s.tokens+fill*span, math.Max(1, fill*b.cfg.OverloadTime/4))
	s.tokensAt = b.now
	return s.tokens >= 1
}

// beginSlowStart begins a server's warm-up with a random budget, so that the first sends of all do not meet.
func (b *Balancer) beginSlowStart(s *server, since float64) {
	s.slowStartAt, s.tokens, s.tokensAt = since, b.random(), b.now
}

// FleetEstimate is how many processes share what the fleet allows together, as far as one of them may believe
// it.
type FleetEstimate struct{ n, at float64 }

// Part takes in news and gives this process's part; 0: others do not know of it yet. More are believed at
// once; fewer slowly, and not while half or more are silent, as it may be the one that is cut off.
func (c *FleetEstimate) Quota(now float64, s FleetSize) float64 {
	if 2*s.Reachable > s.Known {
		c.n *= math.Exp2(math.Min(c.at-now, 0) / fleetHalfLife)
	}
	if c.n, c.at = math.Max(c.n, math.Max(float64(s.Known), 1)), now; !s.Admitted {
		return 0
	}
	return 1 / c.n
}
