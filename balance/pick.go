package balance

import "math"

const (
	penaltyPerError = 0.2  // of the multiplier m for each consecutive error
	minHealth       = 0.25 // of the multiplier m, so that a server that has recovered is found again
	loadHeadroom    = 0.4  // multiple of its share of the load above which a server is passed over
	minRotation     = 4    // servers in the rotation

	baseWeight        = 100  // weight of a server of size 1
	minWeight         = 1e-6 // so that each candidate has one
	maxInitialRunning = 100  // highest SWRR running value that a server starts with
)

const (
	halfLife       milliseconds = 5000 // of the weight of an error and of the latency of a tier
	rotationPeriod milliseconds = 1000 // in which each server of the rotation should get a request
)

// picker picks the server of an attempt. First attempts go by smooth weighted round robin (SWRR): at each
// pick the running value of each candidate grows by its weight, the largest is picked and loses the sum of
// all weights. A retry goes to the healthiest server that the request has not tried. Bounded load passes over
// servers that hold more than their share of the requests in flight.
type picker struct {
	*shared
	demand    *demand
	slowStart *slowStart
	capacity  *capacityModel
	locality  *locality
	outliers  *outlierDetector
	reports   *healthChecker

	candidates      []*server     // of the last pick: those with a weight, in the order of servers
	pool            candidatePool // sums over the candidates of the last first attempt
	maxOtherRunning float64       // no running value of the other servers is above it
	alongRoute      bool          // a pick along a route is under way
}

// candidacy is a server's part in the current pick.
type candidacy struct {
	running      float64 // SWRR running value
	weight       float64 // 0: it is no candidate
	loadKnown    bool    // its load is known as well as that of any candidate
	outsideGroup bool    // it is in another group of the route
	savedRunning float64 // running value outside routes
}

// candidatePool sums up the candidates of first attempts.
type candidatePool struct {
	weight    float64 // sum of weights
	maxWarmth float64 // largest mean warmth of late; it decays to the present one
	cooling   float64 // mean warmth as a part of maxWarmth
	at        milliseconds
}

// update records the candidates of one more first attempt.
func (p *candidatePool) update(now, span milliseconds, weight, warmth float64) {
	p.maxWarmth = warmth + math.Max(0, p.maxWarmth-warmth)*math.Exp((p.at-now)/span)
	p.weight, p.at, p.cooling = weight, now, warmth/p.maxWarmth
}

// pick returns the server for an attempt of a request, nil if there is none now.
func (p *picker) pick(r *request, retry bool, firstTier int) *server {
	total := p.weighCandidates(r, retry, false)
	if total == 0 { // all are ejected: the cause is hardly theirs
		total = p.weighCandidates(r, retry, true)
	}
	best, _ := p.chooseCandidate(r, retry, firstTier, total)
	return best
}

// rotationSize is how many servers the rotation goes over at a rate of requests: the first ones by rank, so
// many that each is used often. It bounds the connections of a sidecar and lets it learn about its servers.
func rotationSize(rate float64) int {
	return max(minRotation, int(rotationPeriod*rate))
}

// weighCandidates sets the weights for a pick and returns their sum. For a first attempt it lets the running
// values grow. For a retry as many servers again come from zones without evidence against them.
func (p *picker) weighCandidates(r *request, retry, withEjected bool) float64 {
	size := rotationSize(p.demand.rate())
	remaining, remainingHealthyZones := size, size
	total, warmTotal := 0.0, 0.0
	p.clearCandidates()
	for _, s := range p.servers {
		if remaining == 0 && (!retry || remainingHealthyZones == 0) {
			break
		}
		places := &remaining
		if retry && s.zone.evidence == 0 {
			places = &remainingHealthyZones
		}
		unfit := p.outliers.ejected(s) || !p.locality.admits(r, s.zone)
		if s.outsideGroup || *places == 0 || !p.eligible(r, s) || unfit && !withEjected {
			continue
		}
		*places--
		s.weight = p.weight(s)
		p.candidates = append(p.candidates, s)
		total += s.weight
		warmTotal += s.weight / p.slowStart.warmth(s)
	}
	p.markKnownLoads()
	if !retry {
		p.grow(total, warmTotal)
	}
	return total
}

// markKnownLoads marks the candidates with a fresh load report; without any, this process's own requests in
// flight are all that is known of each.
func (p *picker) markKnownLoads() {
	reported := false
	for _, s := range p.candidates {
		s.loadKnown = p.reports.fresh(s)
		reported = reported || s.loadKnown
	}
	for _, s := range p.candidates {
		s.loadKnown = s.loadKnown || !reported
	}
}

// chooseCandidate picks one of the candidates and returns its level (see locality.level).
func (p *picker) chooseCandidate(r *request, retry bool, firstTier int, total float64) (*server, int) {
	knownLoad, knownWeight := p.sumKnownLoads()
	var best *server
	lowestLevel := 0
	for _, s := range p.candidates {
		if p.slowStart.warmingUp(s) && !p.withinBudget(s) {
			continue
		}
		// Bounded load: a server above its share is slow, hung or filled by others, whatever its errors say.
		// It keeps its running value for later.
		load := p.load(s)
		overLimit := !s.loadKnown || load+1 > math.Ceil(loadHeadroom*knownLoad*s.weight/knownWeight)
		level := 0
		if !retry {
			level = p.locality.level(r, s, firstTier, overLimit, load)
		} else if overLimit {
			level = 1
		}
		better := best == nil || level < lowestLevel
		if better || level == lowestLevel && p.preferred(s, best, retry, overLimit) {
			best, lowestLevel = s, level
		}
	}
	if best != nil {
		best.running = math.Max(best.running-total, -total)
	}
	return best, lowestLevel
}

// sumKnownLoads returns the sum of the known loads, the attempt to be sent included, and that of their
// weights.
func (p *picker) sumKnownLoads() (load, weight float64) {
	load = 1
	for _, s := range p.candidates {
		if s.loadKnown {
			load += p.load(s)
			weight += s.weight
		}
	}
	return load, weight
}

// preferred reports whether s goes before best on the same level. If both are over their share, the one with
// the lower load for its weight goes first.
func (p *picker) preferred(s, best *server, retry, overLimit bool) bool {
	if overLimit && !retry {
		return (p.load(s)+1)*best.weight < (p.load(best)+1)*s.weight
	}
	if health, bestHealth := p.health(s), p.health(best); retry && health != bestHealth {
		return health > bestHealth
	}
	if retry && s.zone != best.zone && s.zone.evidence != best.zone.evidence {
		return s.zone.evidence < best.zone.evidence
	}
	return s.running > best.running
}

// eligible reports whether a request may go to a server now. A request that may have run on another one goes
// only where its idempotency key is known.
func (p *picker) eligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	latestStart := p.now + p.cfg.ConnectTimeout
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s && !a.uncounted {
			return false
		}
		if a.neverRan || r.class.Idempotency != IdempotentWithKey {
			continue
		}
		if latestStart >= a.sentAt+r.class.KeyWindow ||
			r.class.KeyScope == KeyScopeCell && a.server.Cell != s.Cell ||
			r.class.KeyScope == KeyScopeZone && a.server.Zone != s.Zone {
			return false
		}
	}
	return true
}

// weight is size × m, lowered while the server warms up.
func (p *picker) weight(s *server) float64 {
	size := baseWeight * s.Rating * p.capacity.size(s)
	return math.Max(size*p.health(s)*p.slowStart.warmth(s), minWeight)
}

// health is the multiplier m of a server: 1 without errors, lower by a penalty that decays exponentially.
func (p *picker) health(s *server) float64 {
	errors := float64(s.consecutiveErrors) * math.Exp(-math.Ln2*(p.now-s.lastErrorAt)/halfLife)
	return bound(1-penaltyPerError*errors, minHealth, 1)
}

// load is how many requests a server has in flight: by a fresh load report and what was sent since, or else
// this process's own.
func (p *picker) load(s *server) float64 {
	if p.reports.fresh(s) {
		return s.reportedLoad + s.sentSinceReport
	}
	return float64(s.inFlight)
}

func (p *picker) withinBudget(s *server) bool {
	return p.slowStart.withinBudget(s, &p.pool, p.alongRoute)
}

// grow raises the running values of the candidates by their weights, but not above the sum of weights.
func (p *picker) grow(total, warmTotal float64) {
	for _, s := range p.candidates {
		s.running = math.Min(s.running+s.weight, total)
	}
	p.limitOthers(total)
	if total > 0 {
		p.pool.update(p.now, rateSpanObjectives*p.maxObjective, total, total/warmTotal)
	}
}

// limitOthers keeps the running values of the other servers within the sum of weights. The bound
// maxOtherRunning mostly spares a walk over all servers.
func (p *picker) limitOthers(total float64) {
	if total >= p.maxOtherRunning && !p.alongRoute { // along a route the running values are those of its side
		return
	}
	p.maxOtherRunning = math.Inf(-1)
	for _, s := range p.servers {
		if s.weight == 0 {
			s.running = math.Min(s.running, total)
			p.maxOtherRunning = math.Max(p.maxOtherRunning, s.running)
		}
	}
}

// admitNewServers accounts for servers that may have been added, with running values up to maxInitialRunning.
func (p *picker) admitNewServers() {
	p.maxOtherRunning = math.Max(p.maxOtherRunning, maxInitialRunning)
}

// clearCandidates ends the pick before.
func (p *picker) clearCandidates() {
	for _, s := range p.candidates {
		s.weight = 0
		p.maxOtherRunning = math.Max(p.maxOtherRunning, s.running)
	}
	p.candidates = p.candidates[:0]
}

// saveRunning keeps the running values and the pool from a pick along a route. The function that it returns
// restores them.
func (p *picker) saveRunning() (restore func()) {
	for _, s := range p.servers {
		s.savedRunning = s.running
	}
	pool := p.pool
	p.alongRoute = true
	return func() {
		p.alongRoute, p.pool, p.maxOtherRunning = false, pool, math.Inf(1)
		for _, s := range p.servers {
			s.running, s.outsideGroup = s.savedRunning, false
		}
	}
}
