package membership

// This file requests and sends acknowledgements, and decides when to exchange all knowledge with another process.

import (
	"math/rand/v2"
	"time"

	"marblelane/internal/membership/roster"
)

const (
	// ackRequestInterval is how often a joining process requests the missing acknowledgements.
	ackRequestInterval = 200 * time.Millisecond
	// forcedAckRequestInterval is the same for a process that was admitted by timeout (Forced).
	forcedAckRequestInterval = time.Second

	// maxAckRequests is how many processes are requested at a time.
	maxAckRequests = 16
	// ackRequestFraction: if the last answers matched, one in so many reachable members may be requested at a time.
	ackRequestFraction = 5
	// reducedAckRequests is how many are requested while most answers differ: it is too early to request more.
	reducedAckRequests = 4
)

// Pauses between two exchanges with processes whose knowledge differs. An exchange is a push/pull and costs the more the
// larger the fleet is, and while many processes join all of them differ for a moment.
const (
	// minExchangePause is the pause after the first exchange.
	minExchangePause = 500 * time.Millisecond
	// maxExchangePause bounds the pause, which grows while answers differ.
	maxExchangePause = 8 * time.Second
	// forcedExchangePause is the pause of a process that was admitted by timeout (Forced).
	forcedExchangePause = 10 * time.Second
	// exchangePauseFleet is the fleet size from which on the shortest pause grows with the fleet.
	exchangePauseFleet = 400
	// exchangeQuietTime is how long the roster must be unchanged before an exchange.
	exchangeQuietTime = 20 * time.Millisecond
	// maxExchangeDelay is how long changes of the roster may delay an exchange.
	maxExchangeDelay = 500 * time.Millisecond
)

// ackProgress follows the acknowledgements that this process needs to be admitted.
type ackProgress struct {
	missing     bool // somebody has not acknowledged this process
	lastRequest time.Duration
	// Answers since the last request, by whether their digest matched.
	matching, differing int
}

// exchangeSchedule decides when to exchange all knowledge with a process whose digest differs.
type exchangeSchedule struct {
	wantedSince time.Duration // 0: no exchange is wanted
	notBefore   time.Duration
	pause       time.Duration // the mean pause after the next one
}

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

// requestExchange has the joiner exchange all knowledge with another process, if it is time. While many join, broadcasts
// bring most processes together, so it waits for the roster to be quiet.
func (o *owner) requestExchange(now time.Duration, addr string) {
	x := &o.exchange
	if x.wantedSince == 0 {
		x.wantedSince = now
	}
	quietTime := min(exchangeQuietTime, 2*o.scanPause())
	rosterBusy := now-o.rosterChangedAt < quietTime && now-x.wantedSince < maxExchangeDelay
	if now < x.notBefore || rosterBusy {
		return
	}
	select {
	case o.exchanges <- exchangeRequest{addr}:
	default: // another request waits, whose exchange may be enough
		return
	}
	x.wantedSince = now
	shortest := minExchangePause * time.Duration(max(len(o.reachable), exchangePauseFleet)) / exchangePauseFleet
	x.pause = min(max(x.pause*3/2, shortest), maxExchangePause)
	x.notBefore = now + x.pause/2 + rand.N(x.pause)
	if o.view.Load().Forced {
		x.notBefore = now + forcedExchangePause
	}
}

// requestAcks asks processes that have not acknowledged this one to do so, if it is time.
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
	request.By, request.Digest = processID(self), o.roster.Digest()
	text := request.bytes()
	for _, e := range unacknowledged {
		if e.Addr != "" {
			o.send(i, idOf(e), e.Addr, text)
		}
	}
}

// ackRequestLimit returns how many processes to request at a time.
func (o *owner) ackRequestLimit() int {
	switch {
	case o.acks.differing > o.acks.matching:
		return reducedAckRequests
	case o.acks.matching > 0:
		return max(maxAckRequests, len(o.reachable)/ackRequestFraction)
	}
	return maxAckRequests
}

// sendAcks acknowledges the processes that requested it. The published view counts them by then.
func (o *owner) sendAcks() {
	for _, e := range o.ackRequests {
		ack := message{Kind: kindAck, By: processID(o.roster.Self()), To: processID(idOf(e)), Digest: o.roster.Digest()}
		o.send(o.current.Load(), idOf(e), e.Addr, ack.bytes())
	}
	o.ackRequests = nil
}
