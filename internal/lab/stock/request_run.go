package stock

// This file runs a request at a server, from the faults drawn for it to its response.

import (
	"sync/atomic"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// requestRun is the processing of one request on a connection.
type requestRun struct {
	server *Server
	conn   *relay.Conn
	serial int16 // number of the connection at its server
	id     uint64
	job    *job          // nil until the request is queued
	ended  chan struct{} // closed once nothing more is written for the request
	closed atomic.Bool   // whether the end of the connection has been recorded
	// replied is set once the response is completely written.
	replied atomic.Bool
}

// record adds an event of the request to the log of the run.
func (v *requestRun) record(k record.Kind, status int) {
	v.server.log.Add(record.Event{Kind: k, Request: v.id, Sidecar: int32(v.conn.Caller),
		Server: int32(v.server.Number), Attempt: v.serial, Status: int32(status), Class: record.None})
}

// recordSidecarClosed records once that the sidecar has closed the connection.
func (v *requestRun) recordSidecarClosed() {
	if !v.closed.Swap(true) {
		v.record(record.SidecarClosed, 0)
	}
}

// process rejects a request, fails it, or queues its work, depending on the faults in force.
func (s *Server) process(v *requestRun, request ClientRequest, handshakeWork float64) {
	b := s.behaviour.Load()
	if b.Drain {
		s.reject(v, "draining")
		return
	}
	if affects(b.FailClasses, request.Class) && s.drawChance(b.Fail) {
		v.record(record.WorkStarted, 0)
		s.finish(v, 500, nil, "")
		return
	}
	if s.drawChance(b.RejectLate) {
		time.AfterFunc(s.randomWorkTime(request.Work), func() { s.reject(v, "full") })
		return
	}
	s.enqueue(v, s.newJob(v, b, request, handshakeWork))
}

// reject responds that the request was not processed.
func (s *Server) reject(v *requestRun, reason string) {
	v.record(record.Rejected, 503)
	s.finish(v, 503, []byte(reason+"\n"), "X-Not-Processed: 1\r\n")
}

// newJob returns the job of a request, with the faults that are drawn for it.
func (s *Server) newJob(v *requestRun, b *Behaviour, request ClientRequest, handshakeWork float64) *job {
	loseResponse := s.drawChance(b.Drop) || v.conn.LosesResponse()
	work := request.Work
	if request.WorkFactor != nil {
		work *= request.WorkFactor(v.id, s.Number)
	}
	if b.Heavy > 0 && affects(b.HeavyClasses, request.Class) {
		work *= b.Heavy
	}
	work += handshakeWork
	resets := s.drawChance(b.Reset)
	return &job{
		work: work, remaining: work,
		onStart: func() {
			v.record(record.WorkStarted, 0)
			if resets {
				time.AfterFunc(s.randomWorkTime(work), func() { v.reset() })
			}
		},
		onDone: func(ran bool) {
			switch {
			case !ran:
				close(v.ended)
			case loseResponse:
				go func() { // blocks until the sidecar closes the connection
					<-v.conn.Done()
					close(v.ended)
				}()
			default:
				go s.finish(v, 200, s.body(v.id, request.ResponseBytes), "")
			}
		},
	}
}

// enqueue queues the job of a request. If the queue is full, it rejects the request. If the server crashes under the
// work, it records the crash and calls OnOverload.
func (s *Server) enqueue(v *requestRun, j *job) {
	v.job = j
	full, overloaded := false, false
	s.pod.update(func(now time.Duration) {
		j.arrived = now
		if s.model.overloads(now, j.work) {
			overloaded = true
			return
		}
		if s.model.isFull() {
			full = true
			return
		}
		j.state = queued
		s.model.queue = append(s.model.queue, j)
	})
	switch {
	case overloaded:
		s.log.Add(record.Event{Kind: record.OverloadCrash, Request: v.id, Sidecar: int32(v.conn.Caller),
			Server: int32(s.Number), Class: record.None, Note: "overloaded during slow start"})
		close(v.ended)
		if s.OnOverload != nil {
			go s.OnOverload()
		}
	case full:
		s.reject(v, "queue full")
	}
}

// reset resets the connection, unless the request has ended.
func (v *requestRun) reset() {
	select {
	case <-v.ended:
	default:
		v.conn.Reset()
	}
}

// randomWorkTime draws a time between 0 and the duration of the work on a server that runs nothing else.
func (s *Server) randomWorkTime(work float64) time.Duration {
	alone := work * max(s.behaviour.Load().Slow, 1) / s.spec.Speed
	return time.Duration(s.randomFraction() * alone * float64(time.Millisecond))
}

// randomFraction draws a number from 0 to 1.
func (s *Server) randomFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// body returns the response body; with the planted defect "wrong-body", that of another request.
func (s *Server) body(id uint64, n int) []byte {
	if s.behaviour.Load().Defect == "wrong-body" {
		return Body(id+1, n)
	}
	return Body(id, n)
}

// cancel cancels a request whose sidecar has closed the connection.
func (s *Server) cancel(v *requestRun) {
	v.recordSidecarClosed()
	if v.job == nil {
		return
	}
	stopped := false
	s.pod.update(func(time.Duration) {
		if v.job.state != inactive && (v.job.state == queued || !s.spec.NoCancel) {
			s.model.remove(v.job)
			stopped = true
		}
	})
	_ = v.conn.Close()
	if stopped {
		close(v.ended)
	}
}

// finish writes the response and ends the request.
func (s *Server) finish(v *requestRun, status int, body []byte, header string) {
	defer close(v.ended)
	if err := writeResponse(v.conn, status, body, header); err != nil {
		v.recordSidecarClosed()
		return
	}
	v.replied.Store(true)
	s.markIdle(v.conn)
	v.record(record.ResponseSent, status)
	if s.drawChance(s.behaviour.Load().ExtraResponse) {
		s.writeExtra(v.conn, status, body)
	}
}
