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
func (b *Balancer) pick(r *request, repeat bool) *server {
	begin := 0
	if !repeat {
		begin = b.startTier()
	}
	if w := b.routeOf(r); w != nil {
		return b.pickAlong(&routePick{tenantRoute: w, r: r, repeat: repeat, begin: begin})
	}
	total := b.weighCandidates(r, repeat, false)
	if total == 0 { // all are ejected: the cause is hardly theirs
		total = b.weighCandidates(r, repeat, true)
	}
	best, _ := b.chooseCandidate(r, repeat, begin, total)
	return best
}

// chooseCandidate picks one of the servers that weighCandidates has weighed, and returns its level (see
// level).
func (b *Balancer) chooseCandidate(r *request, repeat bool, begin int, total float64) (*server, int) {
	held, shares := 1.0, 0.0
	for _, s := range b.entered {
		if s.known {
			held += b.holds(s)
			shares += s.weight
		}
	}
	var best *server
	least := 0
	for _, s := range b.entered {
		if b.warmingUp(s) && !b.slowStartBudget(s) {
			continue
		}
		// Bounded load: a server that holds more than its share is slow, hung or filled by others, whatever
		// its errors say. It is passed over and keeps its running value for later.
		over := !s.known || b.holds(s)+1 > math.Ceil(loadHeadroom*held*s.weight/shares)
		level := 0
		if !repeat {
			level = b.level(r, s, begin, over)
		} else if over {
			level = 1
		}
		if best == nil || level < least || level == least && b.preferred(s, best, repeat, over) {
			best, least = s, level
		}
	}
	if best != nil {
		best.running = math.Max(best.running-total, -total)
	}
	return best, least
}

// rotationSize is how many servers the rotation goes over, the first in the sidecar's own order: as many as
// it visits often. With all in, a thousand sidecars filled all connection tables and knew no server.
func (b *Balancer) rotationSize() int {
	return max(minRotation, int(rotationPeriod*b.demand()))
}

// weighCandidates sets the weights of this pick, grows the running values and returns the sum of weights.
// For a retry as many servers again come from zones without evidence against them.
func (b *Balancer) weighCandidates(r *request, repeat, all bool) float64 {
	total, warm, fresh, rooms := 0.0, 0.0, false, [2]int{b.rotationSize(), b.rotationSize()}
	b.clearEntered()
	for _, s := range b.servers {
		if rooms[0] == 0 && (!repeat || rooms[1] == 0) {
			break
		}
		room := &rooms[0]
		if repeat && s.zone.evidence == 0 {
			room = &rooms[1]
		}
		if s.aside || *room == 0 || !b.eligible(r, s) || (b.ejected(s) || !b.admits(r, s.zone)) && !all {
			continue
		}
		*room--
		s.weight = b.weight(s)
		b.entered = append(b.entered, s)
		total += s.weight
		warm += s.weight / b.warmth(s)
		s.known = b.fresh(s)
		fresh = fresh || s.known
	}
	for _, s := range b.entered {
		s.known = s.known || !fresh // without any report, the own requests in flight are all there is
	}
	if !repeat {
		b.grow(total, warm)
	}
	return total
}

// preferred reports whether s goes before best on the same level. Where all hold more than their share of the
// requests in flight, the one that holds least for its weight goes first.
func (b *Balancer) preferred(s, best *server, repeat, over bool) bool {
	if over && !repeat {
		return (b.holds(s)+1)*best.weight < (b.holds(best)+1)*s.weight
	}
	if ms, mb := b.health(s), b.health(best); repeat && ms != mb {
		return ms > mb
	}
	if zs, zb := s.zone, best.zone; repeat && zs != zb && zs.evidence != zb.evidence {
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
	for i := range r.tries {
		a, begun := &r.tries[i], b.now+b.cfg.ConnectTimeout // as in noMoreAttempts
		if a.s == s && !a.void {
			return false
		}
		if a.clean || r.class.Effect != Keyed {
			continue
		}
		if begun >= a.sent+r.class.Window || r.class.Group == GroupCell && a.s.Cell != s.Cell ||
			r.class.Group == GroupZone && a.s.Zone != s.Zone {
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
	if b.fresh(s) {
		return s.reported + s.sentSince
	}
	return float64(s.inFlight)
}

// fresh reports whether the last load report of a server can still be believed.
func (b *Balancer) fresh(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= probeAims*b.longestAim
}

// demand is the rate of requests, in requests a millisecond.
func (b *Balancer) demand() float64 {
	return b.asked.rate(b.now, b.started-rotationPeriod, 2*rotationPeriod, 0)
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
	for _, s := range b.entered {
		s.running = math.Min(s.running+s.weight, total)
	}
	b.capOthers(total)
	if total > 0 {
		b.pool.follow(b.now, paceAims*b.longestAim, total, total/warm)
	}
}

// capOthers keeps the running values of those that have not entered at most at the sum of weights. Mostly all
// are below it anyway, and a pick need not look at thousands of servers that are not in the rotation.
func (b *Balancer) capOthers(total float64) {
	if total >= b.capped && !b.along { // along a route the values are those of its side
		return
	}
	b.capped = math.Inf(-1)
	for _, s := range b.servers {
		if s.weight == 0 {
			s.running = math.Min(s.running, total)
			b.capped = math.Max(b.capped, s.running)
		}
	}
}

// clearEntered ends the pick before: nobody has a weight.
func (b *Balancer) clearEntered() {
	for _, s := range b.entered {
		s.weight = 0
		b.capped = math.Max(b.capped, s.running)
	}
	b.entered = b.entered[:0]
}

// indexOf finds a server among those in order.
func (b *Balancer) indexOf(s *server) int {
	at := sort.Search(len(b.servers), func(i int) bool { return b.servers[i].rank >= s.rank })
	for b.servers[at] != s { // another one of the same rank
		at++
	}
	return at
}
