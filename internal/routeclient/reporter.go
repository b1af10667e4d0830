package routeclient

// This file reports the state of this process to the leader, and gets canary leases.

import (
	"context"
	"math"
	"time"

	"marblelane/internal/route"
)

// reporter is the state of the task that sends reports.
type reporter struct {
	client   *Client
	caller   caller
	seq      int64
	echo     route.LeaderTime // stamp of the newest response
	term     time.Duration    // term of the lease in the newest response; 0: no lease
	reason   string           // last logged reason for granting no lease
	accepted bool             // the leader has accepted this process as the newest of its name
}

// reportPeriodically sends reports until ctx ends, and then a final one unless reports fail at present.
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
				c.cfg.Log.Warn("routes: failed to send the report", "err", err)
			}
			failing = true
		}
		// Report soon after the acting revision has increased, so that the service can close the one before.
		shortest := c.timings.minReportInterval
		if !wait(ctx, shortest, nil) || !wait(ctx, interval-shortest, c.actingRevChanged) {
			break
		}
	}
	if !failing {
		c.finalCall(ctx, r.report)
	}
}

// interval returns the time until the next report.
func (r *reporter) interval() time.Duration {
	timings := &r.client.timings
	if r.term <= 0 {
		return timings.noLeaseReportInterval
	}
	return min(max(r.term/reportsPerTerm, timings.minReportInterval), timings.maxReportInterval)
}

// report sends one report and applies the response.
func (r *reporter) report(ctx context.Context) error {
	requestedAt := r.client.cfg.Now() // start of the lease, before the report is made
	r.seq++
	report := r.client.makeReport(r.seq, r.echo)
	var response route.ReportResponse
	if err := r.caller.post(ctx, route.ReportPath, &report, &response); err != nil {
		return err
	}
	r.echo = response.Stamp
	r.term = time.Duration(min(max(response.LeaseMS, 0), maxLeaseTerm.Milliseconds())) * time.Millisecond
	if response.Reason != r.reason && response.Reason != "" {
		r.client.cfg.Log.Warn("routes: lease not granted", "why", response.Reason)
	}
	r.reason = response.Reason
	r.raiseStart(response.NewestStart)
	r.client.dropReceivedCounts(&report)
	r.client.setLease(requestedAt, r.term)
	if response.Resync {
		r.client.resync(response.Table)
	}
	return nil
}

// raiseStart raises the start number of this process above newest, that of an earlier process of the same name. It is
// lower if the wall clock was stepped back between the two starts, and the leader treats the process with the lower
// number as ended. Only a process that the leader has never accepted as the newest one may raise its number: it has
// counted only attempts without a lease, and has no grants. An accepted process keeps its number, as the later process
// replaces it.
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
		c.cfg.Log.Warn("routes: start number raised above that of an earlier process of the same name",
			"start", before, "above", newest)
		signal(c.actingRevChanged) // send the next report without delay
	}
}

// finalCall makes a call after ctx has ended, with finalCallTimeout.
func (c *Client) finalCall(ctx context.Context, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timings.finalCallTimeout)
	defer cancel()
	if err := call(ctx); err != nil {
		c.cfg.Log.Info("routes: failed to make the final call", "err", err)
	}
}
