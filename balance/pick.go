package balance

// This file picks the server of an attempt: smooth weighted round robin, and for a retry the healthiest
// untried one.

import (
	"math"
	"sort"
)

const (
	halfLife        = 5000 // ms; errors lose half their weight in this time: faults last seconds
	penaltyPerError = 0.2  // m lost for each consecutive error
	healthFloor     = 0.25 // m never falls below this, so that a recovered server is found again
	loadHeadroom    = 0.4  // a server above this multiple of its share in flight is passed over
	rotationPeriod  = 1000 // ms in which each server of the rotation should get a request
	minRotation     = 4    // servers in the rotation of the least sidecar
	zonePreference  = 200  // how much earlier servers of a nearer tier come in the order, times the price
)

// pick chooses the server of an attempt: by smooth weighted round robin, or for a retry the healthiest
// untried server. It returns nil while no server may get the request.
func (b *Balancer) pick(r *request, retry bool) *server {
	begin := 0
	if !retry {
		begin = b.startTier()
	}
	if w := b.routeOf(r); w != nil {
		return b.pickAlong(&routePick{tenantRoute: w, r: r, retry: retry, startTier: begin})
	}
	total := b.weighCandidates(r, retry, false)
	if total == 0 { // all are ejected: the cause is hardly theirs
		total = b.weighCandidates(r, retry, true)
	}
	best, _ := b.chooseCandidate(r, retry, begin, total)
	return best
}

// chooseCandidate picks one of the servers that weighCandidates has weighed, and returns its level (see
// level).
func (b *Balancer) chooseCandidate(r *request, retry bool, begin int, total float64) (*server, int) {
	held, knownWeight := 1.0, 0.0
	for _, s := range b.candidates {
		if s.loadKnown {
			held += b.holds(s)
			knownWeight += s.weight
		}
	}
	var best *server
	lowestLevel := 0
	for _, s := range b.candidates {
		if b.warmingUp(s) && !b.slowStartBudget(s) {
			continue
		}
		// Bounded load: a server that holds more than its share is slow, hung or filled by others, whatever
		// its errors say. It is passed over and keeps its running value for later.
		over := !s.loadKnown || b.holds(s)+1 > math.Ceil(loadHeadroom*held*s.weight/knownWeight)
		level := 0
		if !retry {
			level = b.level(r, s, begin, over)
		} else if over {
			level = 1
		}
		if best == nil || level < lowestLevel || level == lowestLevel && b.preferred(s, best, retry, over) {
			best, lowestLevel = s, level
		}
	}
	if best != nil {
		best.running = math.Max(best.running-total, -total)
	}
	return best, lowestLevel
}

// rotationSize is how many servers the rotation goes over, the first in the sidecar's own order: as many as
// it visits often. With all in, a thousand sidecars filled all connection tables and knew no server.
func (b *Balancer) rotationSize() int {
	return max(minRotation, int(rotationPeriod*b.demand()))
}

// weighCandidates sets the weights of this pick, grows the running values and returns the sum of weights.
// For a retry as many servers again come from zones without evidence against them.
func (b *Balancer) weighCandidates(r *request, retry, all bool) float64 {
	total, warm, fresh, remaining := 0.0, 0.0, false, [2]int{b.rotationSize(), b.rotationSize()}
	b.clearCandidates()
	for _, s := range b.servers {
		if remaining[0] == 0 && (!retry || remaining[1] == 0) {
			break
		}
		left := &remaining[0]
		if retry && s.zone.evidence == 0 {
			left = &remaining[1]
		}
		unfit := b.ejected(s) || !b.admits(r, s.zone)
		if s.outsideGroup || *left == 0 || !b.eligible(r, s) || unfit && !all {
			continue
		}
		*left--
		s.weight = b.weight(s)
		b.candidates = append(b.candidates, s)
		total += s.weight
		warm += s.weight / b.warmth(s)
		s.loadKnown = b.reportFresh(s)
		fresh = fresh || s.loadKnown
	}
	for _, s := range b.candidates {
		s.loadKnown = s.loadKnown || !fresh // without any report, the own requests in flight are all there is
	}
	if !retry {
		b.grow(total, warm)
	}
	return total
}

// preferred reports whether s goes before best on the same level. Where all hold more than their share of the
// requests in flight, the one that holds least for its weight goes first.
func (b *Balancer) preferred(s, best *server, retry, over bool) bool {
	if over && !retry {
		return (b.holds(s)+1)*best.weight < (b.holds(best)+1)*s.weight
	}
	if ms, mb := b.health(s), b.health(best); retry && ms != mb {
		return ms > mb
	}
	if zs, zb := s.zone, best.zone; retry && zs != zb && zs.evidence != zb.evidence {
		return zs.evidence < zb.evidence
	}
	return s.running > best.running
}

// eligible reports whether the rules let the request go to a server now. One that may have run goes only
// where its idempotency key is known.
func (b *Balancer) eligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	for i := range r.attempts {
		a, earliestStart := &r.attempts[i], b.now+b.cfg.ConnectTimeout // as in noMoreAttempts
		if a.server == s && !a.uncounted {
			return false
		}
		if a.neverRan || r.class.Idempotency != IdempotentWithKey {
			continue
		}
		if earliestStart >= a.sent+r.class.KeyWindow ||
			r.class.KeyScope == KeyScopeCell && a.server.Cell != s.Cell ||
			r.class.KeyScope == KeyScopeZone && a.server.Zone != s.Zone {
			return false
		}
	}
	return true
}

// weight is size × m, lowered while the server warms up.
func (b *Balancer) weight(s *server) float64 {
	size := 100 * s.Rating * math.Exp(s.size+b.kindSizes[s.Kind]+b.zoneSizes[s.Zone])
	return math.Max(size*b.health(s)*b.warmth(s), 1e-6)
}

// rank is weighted rendezvous hashing: a server that comes or goes moves no other, nor does a restart.
func (b *Balancer) rank(s *server) float64 {
	u := -math.Log(float64(mix(mix(uint64(b.cfg.Number)+1)^uint64(s.ID))>>11+1) / (1 << 53))
	favour := 1 + zonePreference*b.cfg.Prices.CrossZone
	return u * [tiers]float64{1 / favour, 1, favour}[s.zone.tier]
}

// health is the multiplier m of a server: 1 without errors, lower by a penalty that decays, and never below
// healthFloor.
func (b *Balancer) health(s *server) float64 {
	effective := float64(s.consecutiveErrors) * math.Exp(-math.Ln2*(b.now-s.lastErrorAt)/halfLife)
	return bound(1-penaltyPerError*effective, healthFloor, 1)
}

// holds is how many requests a server has in flight: by a fresh load report and what was sent since, or else
// this process's own.
func (b *Balancer) holds(s *server) float64 {
	if b.reportFresh(s) {
		return s.reported + s.sentSince
	}
	return float64(s.inFlight)
}

// fresh reports whether the last load report of a server can still be believed.
func (b *Balancer) reportFresh(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= reportValidity*b.maxObjective
}

// demand is the rate of requests, in requests a millisecond.
func (b *Balancer) demand() float64 {
	return b.arrivals.rate(b.now, b.started-rotationPeriod, 2*rotationPeriod, 0)
}

// pool sums up the candidates of the last first attempt.
type pool struct {
	weight float64 // sum of weights
	warm   float64 // the most that their mean warmth was in the time of pace; it fades
	at     float64
	cooled float64 // the mean warmth now, as a part of that
}

// follow takes in the candidates of one more first attempt.
func (p *pool) follow(now, span, weight, warm float64) {
	p.warm = warm + math.Max(0, p.warm-warm)*math.Exp((p.at-now)/span)
	p.weight, p.at, p.cooled = weight, now, warm/p.warm
}

// grow raises the running values of those that have entered by their weights, to the sum of all at most, and
// follows what a first pick chose from.
func (b *Balancer) grow(total, warm float64) {
	for _, s := range b.candidates {
		s.running = math.Min(s.running+s.weight, total)
	}
	b.capOthers(total)
	if total > 0 {
		b.pool.follow(b.now, rateSpanObjectives*b.maxObjective, total, total/warm)
	}
}

// capOthers keeps the running values of those that have not entered at most at the sum of weights. Mostly all
// are below it anyway, and a pick need not look at thousands of servers that are not in the rotation.
func (b *Balancer) capOthers(total float64) {
	if total >= b.maxOtherRunning && !b.pickingAlongRoute { // along a route the values are those of its side
		return
	}
	b.maxOtherRunning = math.Inf(-1)
	for _, s := range b.servers {
		if s.weight == 0 {
			s.running = math.Min(s.running, total)
			b.maxOtherRunning = math.Max(b.maxOtherRunning, s.running)
		}
	}
}

// clearEntered ends the pick before: nobody has a weight.
func (b *Balancer) clearCandidates() {
	for _, s := range b.candidates {
		s.weight = 0
		b.maxOtherRunning = math.Max(b.maxOtherRunning, s.running)
	}
	b.candidates = b.candidates[:0]
}

// indexOf finds a server among those in order.
func (b *Balancer) indexOf(s *server) int {
	at := sort.Search(len(b.servers), func(i int) bool { return b.servers[i].rank >= s.rank })
	for b.servers[at] != s { // another one of the same rank
		at++
	}
	return at
}
