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
	// overdueSlack is how long to wait for the event loop's response after the deadline plus AnswerSlack.
	overdueSlack = 25 * time.Millisecond
	// overdueUnset is the initial duration of the overdue timer. The timer is reset when the request has been received.
	overdueUnset = time.Hour
)

// callState is the state of a request in this package. docs/architecture.md describes all states of a request.
type callState int

const (
	callReceived     callState = iota // the head is parsed; the request was not passed to the event loop yet
	callPending                       // queued or attempting; the event loop decides the response
	callResponded                     // a server's response is sent to the client
	callRejected                      // 503: retrying the request does no harm
	callFailed                        // 502, 504, or the status for a body that was not received as announced
	callDisconnected                  // the client has disconnected
)

// String returns the name of the state for logs and tests.
func (s callState) String() string {
	switch s {
	case callReceived:
		return "received"
	case callPending:
		return "pending"
	case callResponded:
		return "answered"
	case callRejected:
		return "rejected"
	case callFailed:
		return "failed"
	case callDisconnected:
		return "client gone"
	default:
		return "unknown"
	}
}

// stateOfResponse returns the state of a request for which the event loop has decided on a response.
func stateOfResponse(response inflight.Response) callState {
	switch {
	case response.ClientDisconnected:
		return callDisconnected
	case response.Status == http.StatusOK:
		return callResponded
	case response.Status == inflight.StatusRejected:
		return callRejected
	default:
		return callFailed
	}
}

// pendingCall handles one request from its parsed head until its response is written. It is used only by the goroutine
// of the request's handler. The one goroutine that it starts receives the streamed body, and ends before release
// returns.
type pendingCall struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	call    *inflight.Call

	state           callState
	response        inflight.Response // set in the states after callPending
	overdue         *time.Timer       // fires if the event loop has not decided on a response in time
	bodyTime        *time.Timer       // fires when the client's time can be over before its body was received; nil: held body
	watch           *clientWatch
	countedInFlight bool // the request is counted in the metric of requests in flight

	// uploadDone receives the result of the goroutine that receives the streamed body. It is nil if the body is not
	// streamed, or if the result has already been read from it.
	uploadDone <-chan error
	uploadErr  error // why the body could not be received; nil: no failure is known
}

// serve handles a parsed request and writes the response. body reads the rest of a body that is streamed to the server;
// it is nil for other requests.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, call *inflight.Call, body io.Reader) {
	p := s.newPendingCall(w, r, call)
	defer p.release()
	p.receiveBody(body)
	s.options.Checkpoints.At(checkpoint.RequestRead)
	p.submit()
	for p.state == callPending {
		p.awaitEvent()
	}
	if p.state == callDisconnected {
		p.failForDisconnect()
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
		overdue: time.NewTimer(overdueUnset),
		watch:   newClientWatch(s.watchClient(r, call), s.options.ClientPollInterval),
	}
}

// release releases the resources of the request, also if a panic has broken off its response. The body is not read
// after release has returned.
func (p *pendingCall) release() {
	if upload := p.call.Outbound.Upload; upload != nil {
		upload.Abort()
		if p.uploadDone != nil {
			p.uploadErr = <-p.uploadDone
		}
	}
	p.watch.stop()
	if p.bodyTime != nil {
		p.bodyTime.Stop()
	}
	if p.countedInFlight {
		p.server.options.Metrics.InFlight.Add(-1)
	}
	p.overdue.Stop()
}

// receiveBody starts the goroutine that receives a streamed body. If the body is complete it starts the client's
// timeout.
func (p *pendingCall) receiveBody(body io.Reader) {
	upload := p.call.Outbound.Upload
	if upload == nil {
		p.bodyReceived(p.call.Deadline.Add(-p.call.Timeout))
		return
	}
	_ = p.control.EnableFullDuplex()
	p.bodyTime = time.NewTimer(p.call.Timeout)
	ended := make(chan error, 1)
	p.uploadDone = ended
	go func() { ended <- upload.Feed(body) }()
}

// bodyReceived starts the client's timeout at the given time, when the last byte of the request was received.
func (p *pendingCall) bodyReceived(at time.Time) {
	p.overdue.Reset(time.Until(at.Add(p.call.Timeout)) + p.overdueAfter())
	p.countedInFlight = true
	p.server.options.Metrics.InFlight.Add(1)
}

// overdueAfter returns how long after the client's deadline the response of the event loop is overdue.
func (p *pendingCall) overdueAfter() time.Duration {
	return clock.Duration(p.server.options.Config.Balance.AnswerSlack) + overdueSlack
}

// submit passes the request to the event loop.
func (p *pendingCall) submit() {
	p.state = callPending
	p.server.options.Post(Arrival{p.call})
}

// awaitEvent waits for the next event of a pending request and handles it.
func (p *pendingCall) awaitEvent() {
	select {
	case response := <-p.call.Response:
		p.setResponse(response)
	case err := <-p.uploadDone:
		p.handleUploadEnd(err)
	case <-p.bodyTimeOver():
		p.handleBodyTimeOver()
	case <-p.request.Context().Done():
		p.finish(callDisconnected, inflight.Response{})
	case <-p.watch.received:
		p.watch.schedule()
	case <-p.watch.due:
		if p.watch.clientDisconnected(p.call) {
			p.finish(callDisconnected, inflight.Response{})
		}
	case <-p.overdue.C:
		p.handleOverdue()
	}
}

// setResponse sets the response that the event loop has decided on, and the state that follows from it.
func (p *pendingCall) setResponse(response inflight.Response) {
	p.state, p.response = stateOfResponse(response), response
}

// handleUploadEnd handles the end of a streamed body. err is nil if the whole body was received.
func (p *pendingCall) handleUploadEnd(err error) {
	p.uploadDone = nil
	p.bodyTime.Stop()
	if err == nil {
		receivedAt := p.call.Outbound.Upload.CompletedAt()
		p.bodyReceived(receivedAt)
		p.server.options.Post(TimeStarted{p.call, receivedAt})
		return
	}
	p.uploadErr = err
	p.finish(callFailed, inflight.Response{})
}

// bodyTimeOver returns the channel of bodyTime. It is nil if the body is not streamed.
func (p *pendingCall) bodyTimeOver() <-chan time.Time {
	if p.bodyTime == nil {
		return nil
	}
	return p.bodyTime.C
}

// handleBodyTimeOver ends a request whose client can have written the last byte a whole timeout ago, although it was not
// received: a server reads the body slowly or not at all, so that its end waits to be read.
func (p *pendingCall) handleBodyTimeOver() {
	timeLeft := p.call.UploadTimeLeft()
	if timeLeft > 0 {
		p.bodyTime.Reset(timeLeft)
		return
	}
	p.recordUnreadBody()
	p.overdue.Reset(p.overdueAfter())
	p.server.options.Post(TimeStarted{p.call, time.Now().Add(timeLeft - p.call.Timeout)})
}

// recordUnreadBody counts and logs a request that ends because its body was not received in time.
func (p *pendingCall) recordUnreadBody() {
	options, upload := &p.server.options, p.call.Outbound.Upload
	options.Metrics.UnreadBodies.Add(1)
	p.server.unreadBodyLog.Warn("clients: the time of a request is over before its body was read, as no server takes it",
		"request", p.request.Header.Get("X-Request-ID"), "class", options.Config.ClassNames[p.call.Request.Class],
		"received_bytes", upload.Received(), "length", upload.Length, "timeout", p.call.Timeout)
}

// handleOverdue fails a request for which the event loop has not decided on a response in time. That is a bug of the
// sidecar, but the client still gets a response.
func (p *pendingCall) handleOverdue() {
	if p.finish(callFailed, inflight.Response{Status: inflight.StatusTimedOut}) {
		slog.Error("clients: no response from the event loop before the deadline", "request", p.request.Header.Get("X-Request-ID"))
	}
}

// finish sets the state and the response of the request, notifies the event loop and returns true. If the event loop
// has already decided on a response, finish uses that one and returns false.
func (p *pendingCall) finish(state callState, response inflight.Response) bool {
	if !p.call.Finish() {
		p.setResponse(<-p.call.Response)
		return false
	}
	p.server.options.Post(CallAbandoned{p.call})
	p.state, p.response = state, response
	return true
}

// failForDisconnect prepares a failure response and the end of the connection for a client that has disconnected. The
// response is needed because a client that has closed only its sending side still reads, and because net/http sends a
// 200 if a handler returns without writing one.
func (p *pendingCall) failForDisconnect() {
	if p.uploadDone != nil { // the error of the body states how the client disconnected
		p.call.Outbound.Upload.Abort()
		p.uploadErr, p.uploadDone = <-p.uploadDone, nil
	}
	p.response = inflight.Response{Status: inflight.StatusFailed}
	p.writer.Header().Set("Connection", "close")
}

// awaitAttemptWriter waits for an attempt that may still be writing, because it passed its last check before the
// response was decided.
func (p *pendingCall) awaitAttemptWriter() {
	p.call.WriteLock.Lock()
	//lint:ignore SA2001 locked only to wait for the attempt that holds it
	p.call.WriteLock.Unlock()
}

// receiveUploadFailure records the failure to receive the body if the attempt that reads the body has ended before the
// goroutine that receives it.
func (p *pendingCall) receiveUploadFailure() {
	upload := p.call.Outbound.Upload
	if p.uploadErr == nil && upload != nil && upload.Failed() {
		p.uploadErr, p.uploadDone = <-p.uploadDone, nil
	}
}

// respond writes the response.
func (p *pendingCall) respond() {
	if p.uploadErr != nil {
		writeError(p.writer, p.uploadErr, errorStatus(p.uploadErr))
		return
	}
	bodyIncomplete := p.uploadDone != nil
	if bodyIncomplete {
		p.writer.Header().Set("Connection", "close")
	} else if p.server.Draining() { // the drain may have started after the head was read
		closeAfterResponse(p.writer, p.request)
	}
	if p.response.Stream != nil {
		p.server.streamResponse(p.writer, p.request, p.call, p.response)
		return
	}
	p.server.options.Metrics.CountResponse(p.call.Request.Class, p.response.Status)
	writeResponse(p.writer, p.response)
	if bodyIncomplete {
		_ = p.control.Flush() // the client may continue to send its body for a long time
	}
}
