package stock

// This file is a request at a server: its work, and how it ends.

import (
	"sync/atomic"
	"time"

	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
)

// visit is one request on a connection.
type visit struct {
	server *Server
	conn   *relay.Conn
	serial int16
	id     uint64
	job    *job
	ended  chan struct{} // closed once nothing more is written for it
	closed atomic.Bool   // its connection is seen to be over
	// replied: its answer is written whole
	replied atomic.Bool
}

func (v *visit) note(k record.Kind, status int, sum uint64) {
	v.server.log.Add(record.Event{Kind: k, Request: v.id, Sidecar: int32(v.conn.Caller),
		Server: int32(v.server.Number), Attempt: v.serial, Status: int32(status), Sum: sum, Class: record.None})
}

func (v *visit) gone() {
	if !v.closed.Swap(true) {
		v.note(record.SidecarClosed, 0, 0)
	}
}

// work decides what becomes of a request, and answers it when it is done.
func (s *Server) work(v *visit, ask Ask, extra float64) {
	b := s.behave.Load()
	turn := func(why string) {
		v.note(record.Rejected, 503, 0)
		s.finish(v, 503, []byte(why+"\n"), "X-Not-Processed: 1\r\n")
	}
	if b.Drain {
		turn("draining")
		return
	}
	if concerns(b.FailOf, ask.Class) && s.chance(b.Fail) {
		v.note(record.WorkStarted, 0, 0)
		s.finish(v, 500, nil, "")
		return
	}
	if s.chance(b.Turn) {
		time.AfterFunc(s.part(ask.Work), func() { turn("full") })
		return
	}
	dropped := s.chance(b.Drop) || v.conn.LosesAnswer()
	work := ask.Work
	if ask.Vary != nil {
		work *= ask.Vary(v.id, s.Number)
	}
	if b.Heavy > 0 && concerns(b.HeavyOf, ask.Class) {
		work *= b.Heavy
	}
	work += extra
	j := &job{work: work, left: work}
	v.job = j
	resets := s.chance(b.Reset)
	j.onStart = func() {
		v.note(record.WorkStarted, 0, 0)
		if resets {
			time.AfterFunc(s.part(work), func() { v.reset() })
		}
	}
	j.done = func(ran bool) {
		if !ran || dropped {
			if !ran {
				close(v.ended)
			} else {
				go func() { // until the caller gives up
					<-v.conn.Done()
					close(v.ended)
				}()
			}
			return
		}
		go s.finish(v, 200, s.body(v.id, ask.Answer), "")
	}
	full, fell := false, false
	s.pod.change(func(now time.Duration) {
		j.arrived = now
		if s.model.topples(now, work) {
			fell = true
			return
		}
		if s.model.full() {
			full = true
			return
		}
		j.where = queued
		s.model.queue = append(s.model.queue, j)
	})
	switch {
	case fell:
		s.log.Add(record.Event{Kind: record.OverloadCrash, Request: v.id, Sidecar: int32(v.conn.Caller),
			Server: int32(s.Number), Class: record.None, Note: "sent more than it can bear while cold"})
		close(v.ended)
		if s.OnFall != nil {
			go s.OnFall()
		}
	case full:
		turn("queue full")
	}
}

// reset ends a request's connection in the middle, unless it has its answer.
func (v *visit) reset() {
	select {
	case <-v.ended:
	default:
		v.conn.Reset()
	}
}

// part draws a time within a work, as if it had the server to itself.
func (s *Server) part(work float64) time.Duration {
	alone := work * max(s.behave.Load().Slow, 1) / s.spec.Speed
	return time.Duration(s.draw() * alone * float64(time.Millisecond))
}

func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

func (s *Server) body(id uint64, n int) []byte {
	if s.behave.Load().Defect == "wrong-body" {
		return Body(id+1, n)
	}
	return Body(id, n)
}

// cancel takes back a request whose caller is gone.
func (s *Server) cancel(v *visit) {
	v.gone()
	if v.job == nil {
		return
	}
	stopped := false
	s.pod.change(func(time.Duration) {
		if v.job.where != nowhere && (v.job.where == queued || !s.spec.NoCancel) {
			s.model.drop(v.job)
			stopped = true
		}
	})
	_ = v.conn.Close()
	if stopped {
		close(v.ended)
	}
}

// finish writes the answer.
func (s *Server) finish(v *visit, status int, body []byte, header string) {
	defer close(v.ended)
	if err := answer(v.conn, status, body, header); err != nil {
		v.gone()
		return
	}
	v.replied.Store(true)
	s.rests(v.conn)
	v.note(record.Replied, status, 0)
	if s.chance(s.behave.Load().Second) {
		s.sayMore(v.conn, status, body)
	}
}
