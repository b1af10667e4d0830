package balance

import "math"

const (
	// An attempt is overdue this many mean deviations above the mean latency of its class.
	overdueDeviations      = 4
	minLatencySamples      = 5 // least number of responses of a class for its mean and deviation to be used
	errorsToEject          = 2 // consecutive errors after which a server is ejected
	maxPauseDoublings      = 3 // limit for the doublings of an ejection, or of the suspension of a zone
	maxPauseDoublingsStale = 6 // limit for ejections after refused connections while the list is stale
)

// outlierDetector detects failing servers by the outcomes of attempts (outlier ejection). A server that
// fails or cannot be reached is ejected: it gets no requests for a while. The duration doubles with each
// consecutive ejection.
type outlierDetector struct {
	*shared
	locality *locality
	capacity *capacityModel
	list     *endpointList
}

// failureRecord is the recent failure history of a server.
type failureRecord struct {
	consecutiveErrors    int
	lastErrorAt          milliseconds
	ejectedUntil         milliseconds // end of the ejection; 0: not ejected
	consecutiveEjections int
	healthCheckFailed    bool // the last health check was not answered
	processDown          bool // the last attempt could not connect to the process
}

// reset clears the errors and ejections of a server.
func (f *failureRecord) reset() { *f = failureRecord{lastErrorAt: f.lastErrorAt} }

// ejected reports whether a server is ejected now.
func (d *outlierDetector) ejected(s *server) bool { return d.now < s.ejectedUntil }

// eject ejects a server for the longest latency objective, doubled for each consecutive ejection before
// this one.
func (d *outlierDetector) eject(s *server) {
	s.ejectedUntil = d.now + d.maxObjective*float64(int(1)<<min(s.consecutiveEjections, d.ejectionLimit(s)))
	s.consecutiveEjections++
}

// ejectionLimit returns how often the ejection of a server may double. The limit is higher for a server
// that refuses connections while the list is stale: no list event would report its removal.
func (d *outlierDetector) ejectionLimit(s *server) int {
	if d.list.stale && s.processDown {
		return maxPauseDoublingsStale
	}
	return maxPauseDoublings
}

// ejectForQueue ejects a server that reports a long queue for about one round of requests over all
// servers, as it stays slow until its queue is empty.
func (d *outlierDetector) ejectForQueue(s *server, requestRate float64) {
	s.ejectedUntil = d.now + math.Min(d.maxObjective, float64(len(d.servers))/requestRate)
}

// recordFailure counts an error of a server. The server is ejected if it is unreachable, or after several
// consecutive errors. weight is the weight of the evidence against its zone.
func (d *outlierDetector) recordFailure(s *server, unreachable bool, weight float64) {
	s.consecutiveErrors++
	s.lastErrorAt = d.now
	d.locality.recordLatency(s.zone.tier, maxLatency)
	d.locality.addEvidence(s, weight)
	d.capacity.learn(s, maxRelativeLatency)
	if unreachable || s.consecutiveErrors >= errorsToEject {
		d.eject(s)
		if s.suspectedSince > 0 {
			d.list.removeSuspected(s)
		}
	}
}

// recordFailedAttempt evaluates an attempt that ended without a response.
func (d *outlierDetector) recordFailedAttempt(r *request, a *attempt, ev Outcome) {
	unreachable := ev.Result.serverUnreachable()
	if !unreachable && (a.overdue || d.excused(r, a, ev.Result)) {
		return
	}
	weight := partialEvidence
	// Full evidence needs a connect timeout. A refused connection ends sooner, and shows that the machine
	// runs.
	if unreachable && ev.Elapsed >= d.cfg.ConnectTimeout/2 {
		weight = fullEvidence
	}
	s := a.server
	s.processDown = s.processDown || ev.Result == ConnectFailed // after Unreachable it may still run
	d.recordFailure(s, unreachable, weight)
}

// onConnectionReady clears the failures of a server whose connection was established after its attempt
// had given up: the server is up.
func (d *outlierDetector) onConnectionReady(ev ConnectionReady) {
	if s := d.byID[ev.Server]; s != nil && s.processDown {
		s.reset()
		d.locality.withdrawEvidence(s)
	}
}

// checkOverdue counts an error for an attempt that takes far longer than usual for its class. Without
// this a hung server would be detected only by timeouts.
func (d *outlierDetector) checkOverdue(r *request, a *attempt) {
	if !a.overdue && d.now >= d.overdueAt(r, a) {
		a.overdue = true
		d.recordFailure(a.server, false, partialEvidence)
	}
}

// overdueAt returns when an attempt becomes overdue. The limit follows the latencies of the class,
// because in a congested fleet all responses are late and no single server is at fault.
func (d *outlierDetector) overdueAt(r *request, a *attempt) milliseconds {
	return a.sentAt + d.overdueAfter(r)
}

// overdueAfter returns the time after which an attempt of a request is overdue.
func (d *outlierDetector) overdueAfter(r *request) milliseconds {
	if r.stats.samples < minLatencySamples {
		return r.class.LatencyObjective / 2
	}
	return r.stats.mean + overdueDeviations*r.stats.deviation
}

// excused reports whether an attempt timed out without a fault of its server: it was ended at the latency
// objective, or had less time than responses usually take. A server may drop requests that it cannot
// answer in time.
func (d *outlierDetector) excused(r *request, a *attempt, result Result) bool {
	needed := r.class.LatencyObjective / 2
	if r.stats.samples >= minLatencySamples {
		needed = r.stats.mean
	}
	return result == TimedOut && (a.endsAtObjective || a.sentAt <= d.now && d.now-a.sentAt < needed)
}

// forgetErrors clears the errors of all servers that are not ejected, after an idle period: they occurred
// under another load.
func (d *outlierDetector) forgetErrors() {
	for _, s := range d.servers {
		if !d.ejected(s) {
			s.consecutiveErrors, s.consecutiveEjections = 0, 0
		}
	}
}
