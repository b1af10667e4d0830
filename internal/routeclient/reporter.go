package routeclient

// This file reports to the list service what this process acts on.

import (
	"context"
	"math"
	"time"

	"marblelane/internal/route"
)

// reporter is the state of one duty.
type reporter struct {
	s    *Client
	to   caller
	seq  int64
	echo route.Moment
	term time.Duration // of the last answer; 0: none
	why  string        // there was no permission, as logged
	told bool          // the leader has taken this process for the newest of its name
}

// report says what this process acts on, and takes in what it may.
func (s *Client) report(ctx context.Context) {
	r := reporter{s: s, to: caller{s: s}}
	pause, failing := s.newBackoff(s.timings.first), false
	for {
		err := r.tell(ctx)
		wait := s.timings.first
		if r.term > 0 {
			wait = min(max(r.term/5, s.timings.soon), s.timings.late)
		}
		switch {
		case err == nil:
			failing = false
			pause.Reset()
		case ctx.Err() == nil:
			wait = min(pause.next(), wait)
			if !failing {
				s.cfg.Log.Warn("routes: a report was not answered", "error", err)
			}
			failing = true
		}
		// Soon after a later revision is acted on, so that the one before can be closed.
		if !rest(ctx, s.timings.soon, nil) || !rest(ctx, wait-s.timings.soon, s.acted) {
			break
		}
	}
	if !failing {
		s.finally(ctx, r.tell)
	}
}

// tell reports once.
func (r *reporter) tell(ctx context.Context) error {
	asked := r.s.cfg.Now() // the permission counts from here: whatever takes its time is on the safe side
	r.seq++
	report := r.s.sample(r.seq, r.echo)
	var a route.ReportResponse
	if err := r.to.post(ctx, route.ReportPath, &report, &a); err != nil {
		return err
	}
	r.echo = a.Stamp
	r.term = time.Duration(min(max(a.LeaseMS, 0), longest.Milliseconds())) * time.Millisecond
	if a.Reason != r.why && a.Reason != "" {
		r.s.cfg.Log.Warn("routes: no permission", "why", a.Reason)
	}
	r.why = a.Reason
	r.outdo(a.NewestStart)
	r.s.received(&report)
	r.s.permit(asked, r.term)
	if a.Resync {
		r.s.anew(a.Table)
	}
	return nil
}

// outdo says a later start than an earlier process of this name has said: the wall clock was stepped back between the two,
// and whoever says the lower number counts as the one that has ended. It is for a process that was never taken for the
// newest, which has counted nothing but what it began without permission, and was granted no units. One that was gives way
// to a later one: it is being replaced.
func (r *reporter) outdo(start int64) {
	if start == 0 {
		r.told = true
	}
	if r.told || start == math.MaxInt64 {
		return
	}
	s := r.s
	s.mu.Lock()
	was := s.start
	s.start = max(was, start+1)
	s.mu.Unlock()
	if was <= start {
		s.cfg.Log.Warn("routes: an earlier process of this name had a later start, this one is raised above it", "start", was, "above", start)
		signal(s.acted) // the next report need not wait
	}
}

// anew takes in a whole table and begins the watch anew.
func (s *Client) anew(table []byte) {
	if len(table) > 0 {
		if err := s.read(table); err != nil {
			s.cfg.Log.Warn("routes: the table of an answer is not taken", "error", err)
		}
	}
	s.mu.Lock()
	s.breakWatch(errAnew)
	s.mu.Unlock()
}

// finally says something once more after the end, for a short time: nobody waits for it.
func (s *Client) finally(ctx context.Context, say func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timings.last)
	defer cancel()
	if err := say(ctx); err != nil {
		s.cfg.Log.Info("routes: the last word was not heard", "error", err)
	}
}
