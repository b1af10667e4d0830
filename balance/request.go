package balance

import "slices"

// requestState says how far a request is.
type requestState uint8

const (
	requestQueued     requestState = iota // no attempt is in flight
	requestAttempting                     // an attempt is in flight
	requestResponding                     // its streamed answer has started: the client owns the attempt
	requestDone                           // it has its final answer, or its client is gone
)

func (s requestState) String() string {
	return [...]string{"queued", "attempting", "answering", "answered"}[s]
}

// requestTransitions are the states that may follow each state.
var requestTransitions = [...][]requestState{
	requestQueued:     {requestAttempting, requestDone},
	requestAttempting: {requestQueued, requestResponding, requestDone},
	requestResponding: {requestDone},
	requestDone:       {},
}

// transitionTo moves the request to a state, if that may follow the present one, and reports whether it does.
func (r *request) transitionTo(next requestState) bool {
	if !slices.Contains(requestTransitions[r.state], next) {
		return false
	}
	r.state = next
	return true
}

// attemptState says how far an attempt is.
type attemptState uint8

const (
	attemptSent       attemptState = iota // it is at the server, or on its way there
	attemptConnecting                     // it waits for a new connection
	attemptResponding                     // its streamed answer has started
	attemptEnded                          // its Outcome has come
)

func (s attemptState) String() string {
	return [...]string{"sent", "connecting", "answering", "ended"}[s]
}

// attemptTransitions are the states that may follow each state.
var attemptTransitions = [...][]attemptState{
	attemptSent:       {attemptConnecting, attemptResponding, attemptEnded},
	attemptConnecting: {attemptSent, attemptResponding, attemptEnded},
	attemptResponding: {attemptEnded},
	attemptEnded:      {},
}

// transitionTo moves the attempt to a state, if that may follow the present one, and reports whether it does.
func (a *attempt) transitionTo(next attemptState) bool {
	if !slices.Contains(attemptTransitions[a.state], next) {
		return false
	}
	a.state = next
	return true
}

// attempt is one send of a request to a server.
type attempt struct {
	server          *server
	sentAt          milliseconds // when its time began; +Inf while the request's body is still coming
	state           attemptState
	neverRan        bool // proved not to have been executed
	uncounted       bool // it counts as no attempt of its request
	overdue         bool // it took so long that it counts as an error of its server
	inLoad          bool // it counts in the load in flight
	endsAtObjective bool // it is given up at the latency objective
	zoneTrial       bool // it is one of the few requests to a zone that is being tried

	budget        *CanaryBudget // that it has a unit reserved of; nil: none
	lateIsFailure bool          // an answer after the objective is a failure of its canary
	lateForCanary bool          // its answer started too late for its canary, or never
}

// request is a client's request without its final answer, or one with attempts that have not ended.
type request struct {
	Request
	class  *Class
	stats  *classStats
	tenant *requestCounts
	state  requestState

	arrivedAt milliseconds // when its time began; +Inf while its body is still coming
	deadline  milliseconds // when the client gives it up
	wakeAt    milliseconds // when its next timer comes
	retryAt   milliseconds // nothing is sent before it; 0: at any time

	attempts        []attempt
	liveAttempts    int   // those that have not ended
	revokedAttempts uint8 // attempts that count as none, as their route was revoked
	localFailures   uint8 // attempts that count as none, as this machine could not send them
	bodyConsumed    bool  // it cannot be sent again

	healthChecked     []*server    // health-checked before the first attempt
	healthChecksUntil milliseconds // until when the first attempt waits for the health checks

	hasCanaryPosition bool
	canaryPosition    float64 // in [0, 1): below the canary fraction of its route it prefers the canary
}

// countedAttempts is how many attempts count.
func (r *request) countedAttempts() int {
	return len(r.attempts) - int(r.revokedAttempts) - int(r.localFailures)
}

// liveAttempt returns an attempt by its number, nil if it does not exist or has ended.
func (r *request) liveAttempt(number int) *attempt {
	if number >= len(r.attempts) || r.attempts[number].state == attemptEnded {
		return nil
	}
	return &r.attempts[number]
}

// resetDeadline lets the time of a request begin now.
func (r *request) resetDeadline(now, remaining milliseconds) {
	r.arrivedAt, r.deadline = now, now+remaining
}

// endAttempt notes that an attempt has ended.
func (r *request) endAttempt(a *attempt) {
	a.transitionTo(attemptEnded)
	r.liveAttempts--
	if r.liveAttempts == 0 {
		r.transitionTo(requestQueued)
	}
}

// endZoneTrial ends an attempt's part in the trial of its zone: it has ended, or its answer has started.
func (a *attempt) endZoneTrial() {
	if a.zoneTrial {
		a.zoneTrial = false
		a.server.zone.trialsInFlight--
	}
}
