package balance

import "math"

const (
	penaltyPerError   = 0.2  // health that a server loses with each consecutive error
	minHealth         = 0.25 // lowest health; some requests are needed to detect that a server has recovered
	boundedLoadFactor = 0.4  // limit of bounded load, as a multiple of a server's weighted share of the load
	minRotation       = 4    // least number of servers in the rotation

	baseWeight       = 100  // weight of a healthy, warm server of size 1
	minWeight        = 1e-6 // keeps weights above 0, as 0 marks servers that are not candidates
	maxInitialWeight = 100  // upper bound of the random current weight of a new server
)

const (
	// Half-life of the penalty for errors, and of the deviation of a tier's mean latency.
	halfLife milliseconds = 5000
	// The rotation is sized so that each of its servers gets about one request per period.
	rotationPeriod milliseconds = 1000
)

// picker selects the server of each attempt. First attempts use smooth weighted round robin (SWRR): at
// each pick the current weight of every candidate grows by its weight; the candidate with the highest
// current weight is selected, and the sum of all weights is subtracted from its current weight. A retry
// goes to the healthiest server that the request has not tried yet. Bounded load passes over servers that
// have more than their share of the requests in flight.
type picker struct {
	*shared
	demand    *demand
	slowStart *slowStart
	capacity  *capacityModel
	locality  *locality
	outliers  *outlierDetector
	reports   *healthChecker

	candidates []*server       // servers with a weight in the last pick, in the order of servers
	totals     candidateTotals // sums over the candidates of the last first attempt
	// Upper bound of the current weights of servers that are not candidates.
	maxOtherCurrentWeight float64
	pickingForRoute       bool // set during a pick for a route
}

// candidacy is the state of a server in the current pick.
type candidacy struct {
	currentWeight float64 // SWRR current weight
	weight        float64 // SWRR weight; 0: the server is not a candidate
	// Its load can be compared with that of other candidates; see markComparableLoads.
	loadComparable     bool
	outsideGroup       bool    // it is in another group of the route, and excluded from the pick
	savedCurrentWeight float64 // current weight outside routes, saved during a pick for a route
}

// candidateTotals holds sums over the candidates of first attempts.
type candidateTotals struct {
	weight            float64 // sum of weights
	maxWarmUpFraction float64 // highest recent mean warm-up fraction; decays to the present mean
	warmUpRatio       float64 // present mean warm-up fraction, divided by maxWarmUpFraction
	updatedAt         milliseconds
}

// update records the sum of weights and the mean warm-up fraction of the candidates of another first
// attempt. The difference between maxWarmUpFraction and a lower mean decays by a factor of e within span.
func (p *candidateTotals) update(now, span milliseconds, weight, mean float64) {
	p.maxWarmUpFraction = mean + math.Max(0, p.maxWarmUpFraction-mean)*math.Exp((p.updatedAt-now)/span)
	p.weight, p.updatedAt, p.warmUpRatio = weight, now, mean/p.maxWarmUpFraction
}

// pick returns the server for an attempt of a request, or nil if no server is eligible now.
func (p *picker) pick(r *request, retry bool, firstTier int) *server {
	total := p.weighCandidates(r, retry, false)
	if total == 0 {
		// All eligible servers are ejected or in suspended zones. Their failures probably have a common
		// cause, so they are used nevertheless.
		total = p.weighCandidates(r, retry, true)
	}
	best, _ := p.chooseCandidate(r, retry, firstTier, total)
	return best
}

// rotationSize returns the number of servers in the rotation at a request rate per ms. The rotation
// consists of the first servers by rank, few enough that each is used often. This bounds the connections
// of a sidecar and lets it learn about its servers.
func rotationSize(rate float64) int {
	return max(minRotation, int(rotationPeriod*rate))
}

// weighCandidates selects the candidates of a pick, sets their weights and returns the sum. For a first
// attempt it also raises the current weights. For a retry it adds as many servers again from zones
// without evidence of failure.
func (p *picker) weighCandidates(r *request, retry, withEjected bool) float64 {
	size := rotationSize(p.demand.rate())
	remaining, remainingHealthyZones := size, size // servers that may still be added
	total, fullWeights := 0.0, 0.0
	p.clearCandidates()
	for _, s := range p.servers {
		if remaining == 0 && (!retry || remainingHealthyZones == 0) {
			break
		}
		openSlots := &remaining
		if retry && s.zone.evidence == 0 {
			openSlots = &remainingHealthyZones
		}
		unfit := p.outliers.ejected(s) || !p.locality.admits(r, s.zone)
		if s.outsideGroup || *openSlots == 0 || !p.eligible(r, s) || unfit && !withEjected {
			continue
		}
		*openSlots--
		s.weight = p.weight(s)
		p.candidates = append(p.candidates, s)
		total += s.weight
		fullWeights += s.weight / p.slowStart.warmUpFraction(s)
	}
	p.markComparableLoads()
	if !retry {
		p.raiseCurrentWeights(total, fullWeights)
	}
	return total
}

// markComparableLoads marks the candidates whose loads can be compared: those with a fresh load report.
// If there is no fresh report, it marks all, as this process's own requests in flight are then all that
// is known of each.
func (p *picker) markComparableLoads() {
	reported := false
	for _, s := range p.candidates {
		s.loadComparable = p.reports.hasFreshReport(s)
		reported = reported || s.loadComparable
	}
	for _, s := range p.candidates {
		s.loadComparable = s.loadComparable || !reported
	}
}

// chooseCandidate selects one of the candidates and subtracts total from its current weight. It returns
// the server and its level (see locality.level).
func (p *picker) chooseCandidate(r *request, retry bool, firstTier int, total float64) (*server, int) {
	totalLoad, totalWeight := p.sumComparableLoads()
	var best *server
	lowestLevel := 0
	for _, s := range p.candidates {
		if p.slowStart.warmingUp(s) && !p.withinBudget(s) {
			continue
		}
		// Bounded load: a server above its share is slow, hung or loaded by other clients, even if it
		// returns no errors. It keeps its current weight, so that it is due as soon as its load has
		// fallen. Servers whose load cannot be compared count as above their share.
		load := p.load(s)
		overLimit := !s.loadComparable || load+1 > math.Ceil(boundedLoadFactor*totalLoad*s.weight/totalWeight)
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
		best.currentWeight = math.Max(best.currentWeight-total, -total)
	}
	return best, lowestLevel
}

// sumComparableLoads returns the sum of the comparable loads, including the attempt to be sent, and the
// sum of the weights of their servers.
func (p *picker) sumComparableLoads() (load, weight float64) {
	load = 1
	for _, s := range p.candidates {
		if s.loadComparable {
			load += p.load(s)
			weight += s.weight
		}
	}
	return load, weight
}

// preferred reports whether s precedes best on the same level. For a first attempt with both servers over
// their share, the lower load per weight decides. For a retry, the higher health decides, then the zone
// with less evidence of failure. In all other cases the higher current weight decides.
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
	return s.currentWeight > best.currentWeight
}

// eligible reports whether a request may be sent to a server now. If an attempt with an idempotency key
// may have run, the next one may go only to servers that recognise this key.
func (p *picker) eligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	latestStart := p.now + p.cfg.ConnectTimeout // the attempt may have to open a connection first
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

// weight returns the SWRR weight of a server: its size times its health, lowered while the server warms
// up.
func (p *picker) weight(s *server) float64 {
	size := baseWeight * s.Rating * p.capacity.size(s)
	return math.Max(size*p.health(s)*p.slowStart.warmUpFraction(s), minWeight)
}

// health returns the multiplier m of a server: 1 without errors, lowered by a penalty for each
// consecutive error. The penalty decays exponentially.
func (p *picker) health(s *server) float64 {
	errors := float64(s.consecutiveErrors) * math.Exp(-math.Ln2*(p.now-s.lastErrorAt)/halfLife)
	return bound(1-penaltyPerError*errors, minHealth, 1)
}

// load returns the number of requests that a server has in flight. With a fresh load report these are the
// reported requests and the attempts sent since; otherwise they are this process's own attempts.
func (p *picker) load(s *server) float64 {
	if p.reports.hasFreshReport(s) {
		return s.reportedLoad + s.sentSinceReport
	}
	return float64(s.inFlight)
}

func (p *picker) withinBudget(s *server) bool {
	return p.slowStart.withinBudget(s, &p.totals, p.pickingForRoute)
}

// raiseCurrentWeights adds the weight of each candidate to its current weight, up to the sum of weights
// total. fullWeights is the sum that the weights would have if no candidate were warming up.
func (p *picker) raiseCurrentWeights(total, fullWeights float64) {
	for _, s := range p.candidates {
		s.currentWeight = math.Min(s.currentWeight+s.weight, total)
	}
	p.limitOtherCurrentWeights(total)
	if total > 0 {
		p.totals.update(p.now, rateSpanObjectives*p.maxObjective, total, total/fullWeights)
	}
}

// limitOtherCurrentWeights limits the current weights of all servers that are not candidates to the sum
// of weights. The upper bound maxOtherCurrentWeight makes it unnecessary to visit all servers in most
// picks.
func (p *picker) limitOtherCurrentWeights(total float64) {
	// In a pick for a route the current weights are those of the route, to which the upper bound does not
	// apply.
	if total >= p.maxOtherCurrentWeight && !p.pickingForRoute {
		return
	}
	p.maxOtherCurrentWeight = math.Inf(-1)
	for _, s := range p.servers {
		if s.weight == 0 {
			s.currentWeight = math.Min(s.currentWeight, total)
			p.maxOtherCurrentWeight = math.Max(p.maxOtherCurrentWeight, s.currentWeight)
		}
	}
}

// allowForNewServers raises maxOtherCurrentWeight to the highest current weight that new servers may
// start with.
func (p *picker) allowForNewServers() {
	p.maxOtherCurrentWeight = math.Max(p.maxOtherCurrentWeight, maxInitialWeight)
}

// clearCandidates resets the candidates of the previous pick.
func (p *picker) clearCandidates() {
	for _, s := range p.candidates {
		s.weight = 0
		p.maxOtherCurrentWeight = math.Max(p.maxOtherCurrentWeight, s.currentWeight)
	}
	p.candidates = p.candidates[:0]
}

// saveCurrentWeights saves the current weights and the totals before a pick for a route. It returns a
// function that restores them.
func (p *picker) saveCurrentWeights() (restore func()) {
	for _, s := range p.servers {
		s.savedCurrentWeight = s.currentWeight
	}
	totals := p.totals
	p.pickingForRoute = true
	return func() {
		p.pickingForRoute, p.totals, p.maxOtherCurrentWeight = false, totals, math.Inf(1)
		for _, s := range p.servers {
			s.currentWeight, s.outsideGroup = s.savedCurrentWeight, false
		}
	}
}
