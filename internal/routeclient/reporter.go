package routeclient

// This file reports to the leader what this process acts on, and gets canary leases.

import (
	"context"
	"math"
	"time"

	"marblelane/internal/route"
)

// reporter is the state of the duty to report.
type reporter struct {
	client   *Client
	caller   caller
	seq      int64
	echo     route.LeaderTime // stamp of the newest answer
	term     time.Duration    // of the newest answer's lease; 0: none
	reason   string           // why there was no lease, as logged
	accepted bool             // the leader has taken this process for the newest of its name
}

// reportPeriodically reports until ctx ends, and then once more.
func (c *Client) reportPeriodically(ctx context.Context) {
	r := reporter{client: c, caller: caller{client: c}}
	backoff, failing := c.newBackoff(c.timings.noLeaseReportInterval), false
	for {
		err := r.report(ctx)
		interval := r.interval()
		switch {
		case err == nil:
			failing = false
			backoff.Reset()
		case ctx.Err() == nil:
			interval = min(backoff.next(), interval)
			if !failing {
				c.cfg.Log.Warn("routes: report not answered", "err", err)
			}
			failing = true
		}
		// Report soon after a later revision is acted on, so that the one before can be closed.
		shortest := c.timings.minReportInterval
		if !wait(ctx, shortest, nil) || !wait(ctx, interval-shortest, c.actingRevChanged) {
			break
		}
	}
	if !failing {
		c.finalCall(ctx, r.report)
	}
}

// interval is the time until the next report.
func (r *reporter) interval() time.Duration {
	timings := &r.client.timings
	if r.term <= 0 {
		return timings.noLeaseReportInterval
	}
	return min(max(r.term/reportsPerTerm, timings.minReportInterval), timings.maxReportInterval)
}

// report sends one report and takes in the answer.
func (r *reporter) report(ctx context.Context) error {
	requestedAt := r.client.cfg.Now() // the lease counts from here, before the report is made
	r.seq++
	report := r.client.makeReport(r.seq, r.echo)
	var answer route.ReportResponse
	if err := r.caller.post(ctx, route.ReportPath, &report, &answer); err != nil {
		return err
	}
	r.echo = answer.Stamp
	r.term = time.Duration(min(max(answer.LeaseMS, 0), maxLeaseTerm.Milliseconds())) * time.Millisecond
	if answer.Reason != r.reason && answer.Reason != "" {
		r.client.cfg.Log.Warn("routes: no lease", "why", answer.Reason)
	}
	r.reason = answer.Reason
	r.raiseStart(answer.NewestStart)
	r.client.dropReceivedCounts(&report)
	r.client.setLease(requestedAt, r.term)
	if answer.Resync {
		r.client.resync(answer.Table)
	}
	return nil
}

// raiseStart raises this process's start above that of an earlier process of its name: the wall clock was stepped back
// between the two, and the process with the lower start counts as the one that has ended. It is for a process that was
// never accepted as the newest one, which has counted only attempts without a lease, and has no grants. An accepted process
// gives way to a later one: it is being replaced.
func (r *reporter) raiseStart(newest int64) {
	if newest == 0 {
		r.accepted = true
	}
	if r.accepted || newest == math.MaxInt64 {
		return
	}
	c := r.client
	c.mu.Lock()
	before := c.start
	c.start = max(before, newest+1)
	c.mu.Unlock()
	if before <= newest {
		c.cfg.Log.Warn("routes: start raised above that of an earlier process of this name",
			"start", before, "above", newest)
		signal(c.actingRevChanged) // the next report need not wait
	}
}

// finalCall makes a call once more after ctx has ended, for a short time.
func (c *Client) finalCall(ctx context.Context, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timings.finalCallTimeout)
	defer cancel()
	if err := call(ctx); err != nil {
		c.cfg.Log.Info("routes: final call failed", "err", err)
	}
}
