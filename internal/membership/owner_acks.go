package membership

// This file requests and sends acknowledgements, and schedules push/pulls with processes whose digests differ.

import (
	"math/rand/v2"
	"time"

	"marblelane/internal/membership/roster"
)

const (
	// ackRequestInterval is how often a joining process requests the missing acknowledgements.
	ackRequestInterval = 200 * time.Millisecond
	// forcedAckRequestInterval replaces ackRequestInterval for a process that was admitted by timeout (Forced).
	forcedAckRequestInterval = time.Second

	// maxAckRequests is the number of acknowledgements requested at a time.
	maxAckRequests = 16
	// ackRequestFraction raises maxAckRequests to 1/ackRequestFraction of the reachable members while digests match.
	ackRequestFraction = 5
	// reducedAckRequests replaces maxAckRequests while most digests differ, as it is too early for more
	// requests to succeed.
	reducedAckRequests = 4
)

// Pauses between two exchanges with processes whose digests differ. An exchange is a push/pull, whose cost grows with
// the fleet, and while many processes join, all digests differ for a short time.
const (
	// minExchangePause is the pause after the first exchange.
	minExchangePause = 500 * time.Millisecond
	// maxExchangePause bounds the pause, which grows while digests differ.
	maxExchangePause = 8 * time.Second
	// forcedExchangePause is the pause of a process that was admitted by timeout (Forced).
	forcedExchangePause = 10 * time.Second
	// exchangePauseFleet is the number of reachable members above which the shortest pause grows with that number.
	exchangePauseFleet = 400
	// exchangeQuietTime is the time for which the roster must be unchanged before an exchange.
	exchangeQuietTime = 20 * time.Millisecond
	// maxExchangeDelay bounds the time for which changes of the roster delay an exchange.
	maxExchangeDelay = 500 * time.Millisecond
)

// ackProgress tracks the acknowledgements that this process needs to be admitted.
type ackProgress struct {
	missing     bool // some process has not acknowledged this one
	lastRequest time.Duration
	// Numbers of acknowledgements since the last request whose digest matched or differed.
	matching, differing int
}

// exchangeSchedule limits the rate of push/pulls with processes whose digests differ.
type exchangeSchedule struct {
	wantedSince time.Duration // time of the first differing digest or of the last exchange; 0 means that digests match
	notBefore   time.Duration // earliest time of the next exchange
	pause       time.Duration // mean pause after the last exchange
}

// handleAck records an acknowledgement. If its digest differs, it requests a push/pull with the process that sent it.
func (o *owner) handleAck(now time.Duration, by roster.ID, digest uint64) {
	if o.roster.HandleDigest(by, digest) {
		o.acks.matching++
		o.exchange.wantedSince, o.exchange.pause = 0, minExchangePause
		return
	}
	o.acks.differing++
	if n := o.reachable[by]; n != nil {
		o.requestExchange(now, n.addr)
	}
}

// requestExchange requests a push/pull with another process from the joiner, unless the last one was too recent. While
// many processes join, broadcasts resolve most differences, so it also waits until the roster no longer changes.
func (o *owner) requestExchange(now time.Duration, addr string) {
	schedule := &o.exchange
	if schedule.wantedSince == 0 {
		schedule.wantedSince = now
	}
	quietTime := min(exchangeQuietTime, 2*o.scanPause())
	rosterBusy := now-o.rosterChangedAt < quietTime && now-schedule.wantedSince < maxExchangeDelay
	if now < schedule.notBefore || rosterBusy {
		return
	}
	select {
	case o.exchanges <- exchangeRequest{addr}:
	default: // another request is pending, whose exchange may resolve the difference
		return
	}
	schedule.wantedSince = now
	shortest := minExchangePause * time.Duration(max(len(o.reachable), exchangePauseFleet)) / exchangePauseFleet
	schedule.pause = min(max(schedule.pause*3/2, shortest), maxExchangePause)
	schedule.notBefore = now + schedule.pause/2 + rand.N(schedule.pause)
	if o.view.Load().Forced {
		schedule.notBefore = now + forcedExchangePause
	}
}

// requestAcks requests the missing acknowledgements, if the interval between two requests has passed.
func (o *owner) requestAcks(now time.Duration) {
	interval := ackRequestInterval
	if o.view.Load().Forced {
		interval = forcedAckRequestInterval
	}
	if now-o.acks.lastRequest < interval {
		return
	}
	unacknowledged := o.roster.Unacknowledged(o.ackRequestLimit())
	o.acks = ackProgress{missing: len(unacknowledged) > 0, lastRequest: now}
	if !o.acks.missing {
		return
	}
	self, i := o.roster.Self(), o.current.Load()
	request := encodeEntries(kindAckRequest, roster.Entry{Name: self.Name, Start: self.Start, Addr: o.addr})
	request.Sender, request.Digest = processID(self), o.roster.Digest()
	text := request.bytes()
	for _, e := range unacknowledged {
		if e.Addr != "" {
			o.send(i, idOf(e), e.Addr, text)
		}
	}
}

// ackRequestLimit returns the number of acknowledgements to request now.
func (o *owner) ackRequestLimit() int {
	switch {
	case o.acks.differing > o.acks.matching:
		return reducedAckRequests
	case o.acks.matching > 0:
		return max(maxAckRequests, len(o.reachable)/ackRequestFraction)
	}
	return maxAckRequests
}

// sendAcks sends the requested acknowledgements. It must run after publish, as the view must count those processes.
func (o *owner) sendAcks() {
	for _, e := range o.ackRequests {
		ack := message{Kind: kindAck, Sender: processID(o.roster.Self()), Acknowledged: processID(idOf(e)),
			Digest: o.roster.Digest()}
		o.send(o.current.Load(), idOf(e), e.Addr, ack.bytes())
	}
	o.ackRequests = nil
}
