package balance

import "math"

const (
	overdueDeviations      = 4 // mean deviations above the mean of its class at which an attempt is overdue
	minLatencySamples      = 5 // answers of a class from which its mean and deviation count
	errorsToEject          = 2 // consecutive errors before a server is ejected
	maxPauseDoublings      = 3 // of an ejection, or of the pause of a zone
	maxPauseDoublingsStale = 6 // of an ejection for refused connections while the list is stale
)

// outlierDetector judges servers by the outcomes of attempts. It ejects those that fail or cannot be reached:
// they get no requests for a while, each time in a row for twice as long.
type outlierDetector struct {
	*shared
	locality *locality
	capacity *capacityModel
	list     *endpointList
}

// faultRecord is what is held against a server.
type faultRecord struct {
	consecutiveErrors int
	lastErrorAt       milliseconds
	ejectedUntil      milliseconds // 0: it is not ejected
	ejections         int          // in a row
	healthCheckFailed bool         // the last health check got no answer
	processDown       bool         // the last attempt could not connect
}

// pardon clears the errors and ejections of a server.
func (f *faultRecord) pardon() { *f = faultRecord{lastErrorAt: f.lastErrorAt} }

// ejected reports whether a server gets no requests now.
func (d *outlierDetector) ejected(s *server) bool { return d.now < s.ejectedUntil }

// eject keeps a server out of the rotation.
func (d *outlierDetector) eject(s *server) {
	s.ejectedUntil = d.now + d.maxObjective*float64(int(1)<<min(s.ejections, d.ejectionLimit(s)))
	s.ejections++
}

// ejectionLimit is how often the ejection of a server doubles. While the list is stale, no list event would
// tell that a server which refuses connections is gone.
func (d *outlierDetector) ejectionLimit(s *server) int {
	if d.list.stale && s.processDown {
		return maxPauseDoublingsStale
	}
	return maxPauseDoublings
}

// ejectForQueue ejects a server with a long queue for one round of requests, as it stays slow until the queue
// is empty.
func (d *outlierDetector) ejectForQueue(s *server, requestRate float64) {
	s.ejectedUntil = d.now + math.Min(d.maxObjective, float64(len(d.servers))/requestRate)
}

// recordFailure counts an error of a server. It is ejected if it is away, or after several errors in a row.
// The weight is that of the evidence against its zone.
func (d *outlierDetector) recordFailure(s *server, away bool, weight float64) {
	s.consecutiveErrors++
	s.lastErrorAt = d.now
	d.locality.recordLatency(s.zone.tier, maxLatency)
	d.locality.addEvidence(s, weight)
	d.capacity.learn(s, maxRelativeLatency)
	if away || s.consecutiveErrors >= errorsToEject {
		d.eject(s)
		if s.suspectedSince > 0 {
			d.list.removeSuspected(s)
		}
	}
}

// recordFailedAttempt judges a server by an attempt that ended without an answer.
func (d *outlierDetector) recordFailedAttempt(r *request, a *attempt, ev Outcome) {
	away := ev.Result.serverUnreachable()
	if !away && (a.overdue || d.excused(r, a, ev.Result)) {
		return
	}
	weight := partialEvidence
	if away && ev.Elapsed >= d.cfg.ConnectTimeout/2 { // a refusal comes sooner: the machine runs
		weight = fullEvidence
	}
	s := a.server
	s.processDown = s.processDown || ev.Result == ConnectFailed // on an unreachable machine it may still run
	d.recordFailure(s, away, weight)
}

// onConnectionReady clears what was held against a server whose connection was late: it is there.
func (d *outlierDetector) onConnectionReady(ev ConnectionReady) {
	if s := d.byID[ev.Server]; s != nil && s.processDown {
		s.pardon()
		d.locality.withdrawEvidence(s)
	}
}

// checkOverdue counts an error for each attempt that takes far longer than its class usually does, as a hung
// server would show late.
func (d *outlierDetector) checkOverdue(r *request, a *attempt) {
	if !a.overdue && d.now >= d.overdueAt(r, a) {
		a.overdue = true
		d.recordFailure(a.server, false, partialEvidence)
	}
}

// overdueAt is when an attempt becomes overdue. It follows the answers of the class: in a congested fleet all
// answers are late, by no server's fault.
func (d *outlierDetector) overdueAt(r *request, a *attempt) milliseconds {
	return a.sentAt + d.overdueAfter(r)
}

func (d *outlierDetector) overdueAfter(r *request) milliseconds {
	if r.stats.samples < minLatencySamples {
		return r.class.LatencyObjective / 2
	}
	return r.stats.mean + overdueDeviations*r.stats.deviation
}

// excused reports whether an attempt timed out by no fault of its server: it ended at the latency objective,
// or had less time than answers take. A server may drop what it cannot answer in time.
func (d *outlierDetector) excused(r *request, a *attempt, result Result) bool {
	needed := r.class.LatencyObjective / 2
	if r.stats.samples >= minLatencySamples {
		needed = r.stats.mean
	}
	return result == TimedOut && (a.endsAtObjective || a.sentAt <= d.now && d.now-a.sentAt < needed)
}

// forgetErrors drops the errors of the servers in use after an idle time: they are of another load.
func (d *outlierDetector) forgetErrors() {
	for _, s := range d.servers {
		if !d.ejected(s) {
			s.consecutiveErrors, s.ejections = 0, 0
		}
	}
}
