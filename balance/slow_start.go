package balance

import "math"

// fleetHalfLife is the half-life of the estimated fleet size while smaller sizes are reported.
const fleetHalfLife milliseconds = 10_000

const (
	overloadSafetyFactor = 2 // the budget fills at OverloadMultiple divided by this factor
	budgetDivisor        = 4 // the token bucket holds the tokens of OverloadTime divided by this number
)

// slowStart limits the requests that all processes of the fleet together send to servers that have just
// started.
type slowStart struct {
	*shared
	admission *admission
	processes float64 // processes of this sidecar; 2 during an upgrade
	// Responses that this sidecar assumes in each warm-up budget, beside those observed. All sidecars
	// together assume as many as Config.Peers.
	assumedResponses float64
	fleet            FleetEstimate
}

// warmUp is the state of a server's slow start.
type warmUp struct {
	slowStartAt milliseconds // when the slow start began; -Inf: long ago
	tokens      float64      // attempts that the budget, a token bucket, allows now
	tokensAt    milliseconds // when tokens was last updated
}

func newSlowStart(s *shared, admission *admission) *slowStart {
	return &slowStart{shared: s, admission: admission, processes: 1, assumedResponses: 1}
}

// begin starts the warm-up of a server. The initial budget is random, so that the first attempts of all
// sidecars do not come at the same time.
func (w *slowStart) begin(s *server, since milliseconds) {
	s.slowStartAt, s.tokens, s.tokensAt = since, w.random(), w.now
}

// warmingUp reports whether a server is in its slow start.
func (w *slowStart) warmingUp(s *server) bool { return w.now < s.slowStartAt+w.cfg.SlowStartTime }

// warmUpFraction returns the fraction of its full capacity that a server has at least. It grows linearly
// from SlowStartCapacity to 1 within SlowStartTime.
func (w *slowStart) warmUpFraction(s *server) float64 {
	age := math.Max(0, w.now-s.slowStartAt) / w.cfg.SlowStartTime
	return w.cfg.SlowStartCapacity + (1-w.cfg.SlowStartCapacity)*math.Min(1, age)
}

// withinBudget reports whether a server that warms up may get another attempt, retries included. The
// budget is a token bucket.
//
// The bucket fills at OverloadMultiple / overloadSafetyFactor times the rate of responses that this
// sidecar gets from a warm server of the same size, multiplied by the server's warm-up fraction. It fills
// at least at the rate that would result if all servers had the same size. Responses are counted rather than
// requests, as clients repeat requests that fail. The rate of responses is an average over past seconds;
// totals.warmUpRatio lowers it if servers were warmer then.
//
// In a pick for a route, only the rate for servers of the same size counts, and idle time beyond
// OverloadTime adds no tokens: a route may direct all sidecars to one server at the same time.
func (w *slowStart) withinBudget(s *server, totals *candidateTotals, forRoute bool) bool {
	fraction := s.weight / math.Max(totals.weight, s.weight) * totals.warmUpRatio
	fraction *= math.Max(1, w.cfg.OverloadMultiple/overloadSafetyFactor)
	span := w.now - s.tokensAt
	if forRoute {
		fraction, span = 0, math.Min(span, w.cfg.OverloadTime)
	}
	equalRate := w.admission.responseRate(w.assumedResponses / w.processes)
	equalRate = equalRate * w.warmUpFraction(s) / float64(len(w.servers))
	ownRate := w.admission.responseRate(math.Min(w.assumedResponses, 1)/w.processes) * fraction
	rate := math.Max(ownRate, equalRate)
	s.tokens = math.Min(s.tokens+rate*span, math.Max(1, rate*w.cfg.OverloadTime/budgetDivisor))
	s.tokensAt = w.now
	return s.tokens >= 1
}

func (w *slowStart) onProcessCount(ev ProcessCount) {
	w.processes = math.Max(1, float64(ev.Processes))
}

func (w *slowStart) onFleetSize(ev FleetSize) {
	w.assumedResponses = float64(w.cfg.Peers) * w.fleet.Quota(w.now, ev)
}

// FleetEstimate estimates how many processes share the limits of the fleet. The estimate is high rather
// than low, so that the quotas of all processes add up to 1 at most.
type FleetEstimate struct {
	size      float64 // estimated number of processes; 0: no FleetSize has come yet
	updatedAt milliseconds
}

// Quota updates the estimate from a FleetSize and returns the share of this process. The share is 0 until
// all known processes know this one. A larger size takes effect at once. A smaller one takes effect
// gradually, and only while more than half of the processes are reachable, as this process may be
// partitioned from the others.
func (e *FleetEstimate) Quota(now milliseconds, size FleetSize) float64 {
	if 2*size.Reachable > size.Known {
		e.size *= math.Exp2(math.Min(e.updatedAt-now, 0) / fleetHalfLife)
	}
	e.size, e.updatedAt = math.Max(e.size, math.Max(float64(size.Known), 1)), now
	if !size.Admitted {
		return 0
	}
	return 1 / e.size
}
