package balance

import "math"

// fleetHalfLife is the time in which the estimated size of the fleet halves at most.
const fleetHalfLife milliseconds = 10_000

const (
	overloadReserve = 2 // the budget fills at OverloadMultiple divided by this
	budgetParts     = 4 // the bucket holds the tokens of OverloadTime divided by this
)

// slowStart bounds what is sent to servers that have just started, by all processes of the fleet together.
type slowStart struct {
	*shared
	admission      *admission
	processes      float64 // of this sidecar: two during an upgrade
	assumedAnswers float64 // of this sidecar in each warm-up budget: its part of one for each peer
	fleet          FleetEstimate
}

// warmUp is the slow start of a server.
type warmUp struct {
	slowStartAt milliseconds // -Inf: long ago
	tokens      float64      // attempts left in its budget, a token bucket
	tokensAt    milliseconds
}

func newSlowStart(s *shared, admission *admission) *slowStart {
	return &slowStart{shared: s, admission: admission, processes: 1, assumedAnswers: 1}
}

// begin starts the warm-up of a server. The random budget keeps the first attempts of all sidecars apart.
func (w *slowStart) begin(s *server, since milliseconds) {
	s.slowStartAt, s.tokens, s.tokensAt = since, w.random(), w.now
}

func (w *slowStart) warmingUp(s *server) bool { return w.now < s.slowStartAt+w.cfg.SlowStartTime }

// warmth is the fraction of its capacity that a server has at least.
func (w *slowStart) warmth(s *server) float64 {
	age := math.Max(0, w.now-s.slowStartAt) / w.cfg.SlowStartTime
	return w.cfg.SlowStartCapacity + (1-w.cfg.SlowStartCapacity)*math.Min(1, age)
}

// withinBudget reports whether a server that warms up may get one more attempt, retries included. The budget
// is a token bucket.
//
// It fills at OverloadMultiple / overloadReserve times the rate of answers that warm servers of the same size
// give to this sidecar, lowered by the server's warmth, but at least at the rate that it would have if all
// servers were alike. Answers count rather than requests, as clients repeat requests that fail. The rate is
// of a while ago; pool.cooling lowers it where servers were warmer then.
//
// Along a route only the rate of equal servers counts, and idle time adds little: a route may bring all
// sidecars to a server at once.
func (w *slowStart) withinBudget(s *server, pool *candidatePool, alongRoute bool) bool {
	fraction := s.weight / math.Max(pool.weight, s.weight) * pool.cooling
	fraction *= math.Max(1, w.cfg.OverloadMultiple/overloadReserve)
	span := w.now - s.tokensAt
	if alongRoute {
		fraction, span = 0, math.Min(span, w.cfg.OverloadTime)
	}
	equalRate := w.admission.answerRate(w.assumedAnswers/w.processes) * w.warmth(s) / float64(len(w.servers))
	ownRate := w.admission.answerRate(math.Min(w.assumedAnswers, 1)/w.processes) * fraction
	rate := math.Max(ownRate, equalRate)
	s.tokens = math.Min(s.tokens+rate*span, math.Max(1, rate*w.cfg.OverloadTime/budgetParts))
	s.tokensAt = w.now
	return s.tokens >= 1
}

func (w *slowStart) onProcessCount(ev ProcessCount) {
	w.processes = math.Max(1, float64(ev.Processes))
}

func (w *slowStart) onFleetSize(ev FleetSize) {
	w.assumedAnswers = float64(w.cfg.Peers) * w.fleet.Quota(w.now, ev)
}

// FleetEstimate is how many processes share what the fleet allows together, as far as one of them may rely on
// it.
type FleetEstimate struct {
	size float64
	at   milliseconds
}

// Quota updates the estimate by a FleetSize and returns the part of this process; 0: others do not know of it
// yet. A larger fleet counts at once. A smaller one counts gradually, and not while half of the processes or
// more are silent: this one may be cut off.
func (e *FleetEstimate) Quota(now milliseconds, size FleetSize) float64 {
	if 2*size.Reachable > size.Known {
		e.size *= math.Exp2(math.Min(e.at-now, 0) / fleetHalfLife)
	}
	e.size, e.at = math.Max(e.size, math.Max(float64(size.Known), 1)), now
	if !size.Admitted {
		return 0
	}
	return 1 / e.size
}
