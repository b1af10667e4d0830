package stock

// This file runs a request at a server: its work, and how it ends.

import (
	"sync/atomic"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// requestRun is one request on a connection.
type requestRun struct {
	server *Server
	conn   *relay.Conn
	serial int16
	id     uint64
	job    *job
	ended  chan struct{} // closed once nothing more is written for it
	closed atomic.Bool   // its connection has been observed to end
	// replied is set once its answer is completely written.
	replied atomic.Bool
}

// record adds an event of the request to the records of the run.
func (v *requestRun) record(k record.Kind, status int) {
	v.server.log.Add(record.Event{Kind: k, Request: v.id, Sidecar: int32(v.conn.Caller),
		Server: int32(v.server.Number), Attempt: v.serial, Status: int32(status), Class: record.None})
}

func (v *requestRun) sidecarClosed() {
	if !v.closed.Swap(true) {
		v.record(record.SidecarClosed, 0)
	}
}

// process runs a request, and answers it when it is done.
func (s *Server) process(v *requestRun, request ClientRequest, extra float64) {
	b := s.behaviour.Load()
	if b.Drain {
		s.reject(v, "draining")
		return
	}
	if affects(b.FailOf, request.Class) && s.chance(b.Fail) {
		v.record(record.WorkStarted, 0)
		s.finish(v, 500, nil, "")
		return
	}
	if s.chance(b.RejectLate) {
		time.AfterFunc(s.partOf(request.Work), func() { s.reject(v, "full") })
		return
	}
	s.enqueue(v, s.newJob(v, b, request, extra))
}

// reject answers that the request has not run.
func (s *Server) reject(v *requestRun, reason string) {
	v.record(record.Rejected, 503)
	s.finish(v, 503, []byte(reason+"\n"), "X-Not-Processed: 1\r\n")
}

// newJob returns the work of a request, with the faults that are drawn for it.
func (s *Server) newJob(v *requestRun, b *Behaviour, request ClientRequest, extra float64) *job {
	loseAnswer := s.chance(b.Drop) || v.conn.LosesAnswer()
	work := request.Work
	if request.WorkFactor != nil {
		work *= request.WorkFactor(v.id, s.Number)
	}
	if b.Heavy > 0 && affects(b.HeavyOf, request.Class) {
		work *= b.Heavy
	}
	work += extra
	resets := s.chance(b.Reset)
	return &job{
		work: work, remaining: work,
		onStart: func() {
			v.record(record.WorkStarted, 0)
			if resets {
				time.AfterFunc(s.partOf(work), func() { v.reset() })
			}
		},
		onDone: func(ran bool) {
			switch {
			case !ran:
				close(v.ended)
			case loseAnswer:
				go func() { // until the caller closes
					<-v.conn.Done()
					close(v.ended)
				}()
			default:
				go s.finish(v, 200, s.body(v.id, request.Answer), "")
			}
		},
	}
}

// enqueue queues the job of a request, unless the queue is full or the server crashes under it.
func (s *Server) enqueue(v *requestRun, j *job) {
	v.job = j
	full, overloaded := false, false
	s.pod.update(func(now time.Duration) {
		j.arrived = now
		if s.model.overloads(now, j.work) {
			overloaded = true
			return
		}
		if s.model.full() {
			full = true
			return
		}
		j.state = queued
		s.model.queue = append(s.model.queue, j)
	})
	switch {
	case overloaded:
		s.log.Add(record.Event{Kind: record.OverloadCrash, Request: v.id, Sidecar: int32(v.conn.Caller),
			Server: int32(s.Number), Class: record.None, Note: "sent more than it can bear while cold"})
		close(v.ended)
		if s.OnOverload != nil {
			go s.OnOverload()
		}
	case full:
		s.reject(v, "queue full")
	}
}

// reset resets a request's connection, unless the request has its answer.
func (v *requestRun) reset() {
	select {
	case <-v.ended:
	default:
		v.conn.Reset()
	}
}

// partOf draws a time within the duration of a work, as if the server ran nothing else.
func (s *Server) partOf(work float64) time.Duration {
	alone := work * max(s.behaviour.Load().Slow, 1) / s.spec.Speed
	return time.Duration(s.draw() * alone * float64(time.Millisecond))
}

func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

func (s *Server) body(id uint64, n int) []byte {
	if s.behaviour.Load().Defect == "wrong-body" {
		return Body(id+1, n)
	}
	return Body(id, n)
}

// cancel cancels a request whose caller has gone.
func (s *Server) cancel(v *requestRun) {
	v.sidecarClosed()
	if v.job == nil {
		return
	}
	stopped := false
	s.pod.update(func(time.Duration) {
		if v.job.state != notHeld && (v.job.state == queued || !s.spec.NoCancel) {
			s.model.remove(v.job)
			stopped = true
		}
	})
	_ = v.conn.Close()
	if stopped {
		close(v.ended)
	}
}

// finish writes the answer.
func (s *Server) finish(v *requestRun, status int, body []byte, header string) {
	defer close(v.ended)
	if err := answer(v.conn, status, body, header); err != nil {
		v.sidecarClosed()
		return
	}
	v.replied.Store(true)
	s.startIdle(v.conn)
	v.record(record.ResponseSent, status)
	if s.chance(s.behaviour.Load().ExtraAnswer) {
		s.writeExtra(v.conn, status, body)
	}
}
