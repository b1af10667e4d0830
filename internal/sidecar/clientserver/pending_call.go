package clientserver

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/inflight"
)

const (
	// overdueWait is how long after the deadline and the answer slack the event loop's answer is awaited.
	overdueWait = 25 * time.Millisecond
	// unarmed is the first span of the overdue timer, which is reset once the request is complete.
	unarmed = time.Hour
)

// callState is how far a request has come, as this package sees it. docs/architecture.md has the states of a request.
type callState int

const (
	callReceived   callState = iota // parsed; the event loop does not know it yet
	callPending                     // queued or attempting: the event loop decides its answer
	callAnswered                    // a server's answer goes to the client
	callRejected                    // 503: running it again does no harm
	callFailed                      // 502, 504, or the status of a body that was not received as announced
	callClientGone                  // no client is left to be answered
)

// String names the state for logs and tests.
func (s callState) String() string {
	switch s {
	case callReceived:
		return "received"
	case callPending:
		return "pending"
	case callAnswered:
		return "answered"
	case callRejected:
		return "rejected"
	case callFailed:
		return "failed"
	case callClientGone:
		return "client gone"
	default:
		return "unknown"
	}
}

// stateOf is the state of a request for which the event loop has decided an answer.
func stateOf(answer inflight.Response) callState {
	switch {
	case answer.ClientDisconnected:
		return callClientGone
	case answer.Status == http.StatusOK:
		return callAnswered
	case answer.Status == inflight.StatusRejected:
		return callRejected
	default:
		return callFailed
	}
}

// pendingCall carries one request from its parsed head to its written answer. It belongs to the goroutine of its
// handler; the one goroutine that it starts feeds the upload, and ends before release returns.
type pendingCall struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	call    *inflight.Call

	state   callState
	answer  inflight.Response // valid in the states after callPending
	overdue *time.Timer       // fires when the event loop has given no answer in time
	watch   *clientWatch
	counted bool // in the gauge of requests in flight

	// uploadEnded has the result of the goroutine that feeds the upload. It is nil where there is no upload, or where
	// the result was received.
	uploadEnded <-chan error
	uploadErr   error // why the body could not be received
}

// serve answers a parsed request. body is what is still to come of one whose body is streamed to the server.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, call *inflight.Call, body io.Reader) {
	p := s.newPendingCall(w, r, call)
	defer p.release()
	p.receiveBody(body)
	s.options.Checkpoints.At(checkpoint.RequestRead)
	p.submit()
	for p.state == callPending {
		p.awaitEvent()
	}
	if p.state == callClientGone {
		p.failForClientGone()
	}
	s.options.Checkpoints.At(checkpoint.ResponseDecided)
	p.awaitAttemptWriter()
	s.limitWrite(w)
	p.receiveUploadFailure()
	p.respond()
}

func (s *Server) newPendingCall(w http.ResponseWriter, r *http.Request, call *inflight.Call) *pendingCall {
	return &pendingCall{
		server: s, writer: w, request: r, control: http.NewResponseController(w), call: call,
		overdue: time.NewTimer(unarmed),
		watch:   newClientWatch(s.watchClient(r, call), s.options.ClientPollInterval),
	}
}

// release ends what the request holds, also when its answer was broken off by a panic. The body is not read after it.
func (p *pendingCall) release() {
	if upload := p.call.Outbound.Upload; upload != nil {
		upload.Abort()
		if p.uploadEnded != nil {
			p.uploadErr = <-p.uploadEnded
		}
	}
	p.watch.stop()
	if p.counted {
		p.server.options.Metrics.InFlight.Add(-1)
	}
	p.overdue.Stop()
}

// receiveBody starts to feed the upload, or starts the client's time where the body is complete.
func (p *pendingCall) receiveBody(body io.Reader) {
	upload := p.call.Outbound.Upload
	if upload == nil {
		p.bodyReceived(p.call.Deadline.Add(-p.call.Timeout))
		return
	}
	_ = p.control.EnableFullDuplex()
	ended := make(chan error, 1)
	p.uploadEnded = ended
	go func() { ended <- upload.Feed(body) }()
}

// bodyReceived starts the client's time: the last byte of the request came at the given time.
func (p *pendingCall) bodyReceived(at time.Time) {
	p.overdue.Reset(time.Until(at.Add(p.call.Timeout)) + clock.Duration(p.server.options.Config.Balance.AnswerSlack) + overdueWait)
	p.counted = true
	p.server.options.Metrics.InFlight.Add(1)
}

// submit gives the request to the event loop.
func (p *pendingCall) submit() {
	p.state = callPending
	p.server.options.Post(Arrival{p.call})
}

// awaitEvent waits for the next thing that happens to a pending request, and takes it in.
func (p *pendingCall) awaitEvent() {
	select {
	case answer := <-p.call.Response:
		p.takeAnswer(answer)
	case err := <-p.uploadEnded:
		p.takeUploadEnd(err)
	case <-p.request.Context().Done():
		p.conclude(callClientGone, inflight.Response{})
	case <-p.watch.received:
		p.watch.schedule()
	case <-p.watch.due:
		if p.watch.clientGone(p.call) {
			p.conclude(callClientGone, inflight.Response{})
		}
	case <-p.overdue.C:
		p.expire()
	}
}

// takeAnswer ends the request with the answer that the event loop has decided.
func (p *pendingCall) takeAnswer(answer inflight.Response) {
	p.state, p.answer = stateOf(answer), answer
}

// takeUploadEnd takes in that the body was received, or why it could not be.
func (p *pendingCall) takeUploadEnd(err error) {
	p.uploadEnded = nil
	if err == nil {
		p.bodyReceived(p.call.Outbound.Upload.CompletedAt())
		return
	}
	p.uploadErr = err
	p.conclude(callFailed, inflight.Response{})
}

// expire answers a request for which the event loop has decided nothing in time. That is a bug of the sidecar, but the
// client is not left without an answer.
func (p *pendingCall) expire() {
	if p.conclude(callFailed, inflight.Response{Status: inflight.StatusTimedOut}) {
		slog.Error("clients: no answer from the event loop in time", "request", p.request.Header.Get("X-Request-ID"))
	}
}

// conclude ends the request here and tells the event loop, and reports true. Where the event loop has decided an answer
// before, that answer holds.
func (p *pendingCall) conclude(state callState, answer inflight.Response) bool {
	if !p.call.Finish() {
		p.takeAnswer(<-p.call.Response)
		return false
	}
	p.server.options.Post(CallAbandoned{p.call})
	p.state, p.answer = state, answer
	return true
}

// failForClientGone gives a client that has gone a failure and the end of its connection. One that closed only its
// sending side still reads, and a handler that returns without an answer would answer 200.
func (p *pendingCall) failForClientGone() {
	if p.uploadEnded != nil { // the error of the body says how the client left
		p.call.Outbound.Upload.Abort()
		p.uploadErr, p.uploadEnded = <-p.uploadEnded, nil
	}
	p.answer = inflight.Response{Status: inflight.StatusFailed}
	p.writer.Header().Set("Connection", "close")
}

// awaitAttemptWriter waits for an attempt that passed its last check before the answer was decided, and may still be
// writing.
func (p *pendingCall) awaitAttemptWriter() {
	p.call.WriteLock.Lock()
	//lint:ignore SA2001 it only waits for the attempt that holds it
	p.call.WriteLock.Unlock()
}

// receiveUploadFailure takes in the failure of the body where the attempt that read it ended before its feeder did.
func (p *pendingCall) receiveUploadFailure() {
	upload := p.call.Outbound.Upload
	if p.uploadErr == nil && upload != nil && upload.Failed() {
		p.uploadErr, p.uploadEnded = <-p.uploadEnded, nil
	}
}

// respond writes the answer.
func (p *pendingCall) respond() {
	if p.uploadErr != nil {
		writeError(p.writer, p.uploadErr, errorStatus(p.uploadErr))
		return
	}
	bodyComing := p.uploadEnded != nil
	if bodyComing {
		p.writer.Header().Set("Connection", "close")
	} else if p.server.Draining() { // the drain may have started after the head was read
		closeAfterAnswer(p.writer, p.request)
	}
	if p.answer.Stream != nil {
		p.server.streamAnswer(p.writer, p.request, p.call, p.answer)
		return
	}
	p.server.options.Metrics.CountResponse(p.call.Request.Class, p.answer.Status)
	writeAnswer(p.writer, p.answer)
	if bodyComing {
		_ = p.control.Flush() // the client may go on sending for long
	}
}
