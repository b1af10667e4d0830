package balance

import "slices"

// requestState is the state of a request.
type requestState uint8

const (
	requestQueued     requestState = iota // no attempt in flight
	requestAttempting                     // at least one attempt in flight
	requestResponding                     // the streamed response has started: the client controls the attempt
	requestDone                           // the final response was sent, or the client disconnected
)

func (s requestState) String() string {
	return [...]string{"queued", "attempting", "answering", "answered"}[s]
}

// requestTransitions lists the permitted next states of each state.
var requestTransitions = [...][]requestState{
	requestQueued:     {requestAttempting, requestDone},
	requestAttempting: {requestQueued, requestResponding, requestDone},
	requestResponding: {requestDone},
	requestDone:       {},
}

// transitionTo sets the next state if the transition is permitted, and reports whether it is.
func (r *request) transitionTo(next requestState) bool {
	if !slices.Contains(requestTransitions[r.state], next) {
		return false
	}
	r.state = next
	return true
}

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptSent       attemptState = iota // sent to the server, or being sent
	attemptConnecting                     // waiting for a new connection
	attemptResponding                     // the streamed response has started
	attemptEnded                          // the Outcome has been received
)

func (s attemptState) String() string {
	return [...]string{"sent", "connecting", "answering", "ended"}[s]
}

// attemptTransitions lists the permitted next states of each state.
var attemptTransitions = [...][]attemptState{
	attemptSent:       {attemptConnecting, attemptResponding, attemptEnded},
	attemptConnecting: {attemptSent, attemptResponding, attemptEnded},
	attemptResponding: {attemptEnded},
	attemptEnded:      {},
}

// transitionTo sets the next state if the transition is permitted, and reports whether it is.
func (a *attempt) transitionTo(next attemptState) bool {
	if !slices.Contains(attemptTransitions[a.state], next) {
		return false
	}
	a.state = next
	return true
}

// attempt is one attempt to send a request to a server.
type attempt struct {
	server          *server
	decidedAt       milliseconds // when the attempt was decided
	sentAt          milliseconds // start of the attempt; +Inf while the request body is still arriving
	state           attemptState
	neverRan        bool // the result proved that the server did not execute the request
	uncounted       bool // not counted in the number of attempts of the request
	overdue         bool // took so long that it was counted as an error of the server
	inLoad          bool // counted in the load in flight
	endsAtObjective bool // cancelled at the latency objective
	zoneTrial       bool // one of the few requests to a zone on trial

	budget        *CanaryBudget // canary budget with a unit reserved for the attempt; nil: none
	lateIsFailure bool          // a response after the latency objective is a failure of the canary
	lateForCanary bool          // missing or late response that counts as a failure of the canary
}

// request is a client's request that has no final response yet or has attempts in flight.
type request struct {
	Request
	class  *Class
	stats  *classStats
	tenant *requestCounts
	state  requestState

	arrivedAt milliseconds // start of the request's time; +Inf while the body is still arriving
	deadline  milliseconds // the client's deadline
	wakeAt    milliseconds // time of the next timer
	retryAt   milliseconds // no attempt is sent earlier; 0: no such limit

	attempts        []attempt
	liveAttempts    int   // attempts in flight
	revokedAttempts uint8 // attempts that are not counted because their route was revoked
	localFailures   uint8 // attempts that are not counted because this machine could not send them
	bodyConsumed    bool  // the body was consumed, so the request cannot be sent again

	healthChecked     []*server    // servers that are health-checked before the first attempt
	healthChecksUntil milliseconds // the first attempt waits for the health checks until then

	hasCanaryPosition bool
	canaryPosition    float64 // in [0, 1); the request prefers the canary if it is below the canary fraction
}

// countedAttempts returns the number of attempts that count towards Config.MaxAttempts.
func (r *request) countedAttempts() int {
	return len(r.attempts) - int(r.revokedAttempts) - int(r.localFailures)
}

// liveAttempt returns the attempt with this number, or nil if it does not exist or has ended.
func (r *request) liveAttempt(number int) *attempt {
	if number >= len(r.attempts) || r.attempts[number].state == attemptEnded {
		return nil
	}
	return &r.attempts[number]
}

// resetDeadline restarts the time of the request.
func (r *request) resetDeadline(now, remaining milliseconds) {
	r.arrivedAt, r.deadline = now, now+remaining
}

// endAttempt records that an attempt has ended.
func (r *request) endAttempt(a *attempt) {
	a.transitionTo(attemptEnded)
	r.liveAttempts--
	if r.liveAttempts == 0 {
		r.transitionTo(requestQueued)
	}
}

// endZoneTrial removes an attempt from the trial of its zone, when it has ended or its response has started.
func (a *attempt) endZoneTrial() {
	if a.zoneTrial {
		a.zoneTrial = false
		a.server.zone.trialsInFlight--
	}
}
