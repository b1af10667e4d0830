package sidecar

// This file makes one attempt: it writes a request to a connection once, with the last checks before its first byte.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"marblelane/balance"
)

const (
	streamWait = 5 * time.Second // for the next bytes of a streamed body, either way
	probeWait  = 250 * time.Millisecond
)

// pastDeadline as a deadline ends whatever waits on a connection.
var pastDeadline = time.Unix(1, 0)

// outbound is a request as servers get it.
type outbound struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end headers only
	body   []byte
	upload *upload // in place of body: it is passed on as it comes
	// The first bytes of the latest attempt, and of the first that may have run; zero: none. Its attempts follow each
	// other, so there is no lock.
	begun, ran time.Time
}

// reply is how an attempt or probe ended.
type reply struct {
	result balance.Result
	answer answer
	report []float32
	spent  bool // the request's body is used up
	void   bool // its route is not acted on any more
}

// repeatWindow is for how long servers know a class's key; 0: it has none, or no end that matters.
func repeatWindow(class *balance.Class) time.Duration {
	if class.Idempotency != balance.IdempotentWithKey || class.KeyWindow >= float64(maxWait/time.Millisecond) {
		return 0
	}
	return max(millis(class.KeyWindow), 1)
}

// send makes one attempt and tells how it ended.
func (p *upstreams) send(a *attempt) reply {
	p.hook.at(attemptDecided)
	r := p.exchangeCall(a)
	if out := a.call.out; out.ran.IsZero() && !r.result.NeverRan() {
		out.ran = out.begun
	}
	return a.look.ended(r)
}

// repeatUntil is when the last byte of an attempt has to be out, as servers forget its key; zero: whenever.
func (p *upstreams) repeatUntil(a *attempt) time.Time {
	if a == nil || a.call.out.ran.IsZero() || p.windows[a.call.ev.Class] == 0 {
		return time.Time{}
	}
	return a.call.out.ran.Add(p.windows[a.call.ev.Class])
}

// exchangeCall is exchange with the client's request and its times.
func (p *upstreams) exchangeCall(a *attempt) reply {
	c := a.call
	req := &http.Request{
		Method: c.out.method, URL: c.out.url, Host: c.out.host, Header: c.out.header.Clone(),
		ContentLength: int64(len(c.out.body)),
	}
	if u := c.out.upload; u != nil {
		req.ContentLength = u.length
		cut := time.Now().Add(maxWait)
		if received := u.whole(); !received.IsZero() && !u.broken() {
			// It came to its end while nobody took it, so nobody has told the loop.
			cut = received.Add(c.wait)
			p.offer(bodyComplete{c})
		}
		r := p.exchange(a.ctx, a.up, cut, req, a)
		r.spent = u.spent()
		return r
	}
	return p.exchange(a.ctx, a.up, a.cut, req, a)
}

// probe asks a server how it is.
func (p *upstreams) probe(ctx context.Context, up *upstream) reply {
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: p.probePath}, Host: up.endpoint, Header: http.Header{},
	}
	r := p.exchange(ctx, up, time.Now().Add(probeWait), req, nil)
	if len(r.report) == 0 {
		r.report = parseReport(string(r.answer.body), p.reportNames)
	}
	return r
}

// exchange writes a request once and reads its answer; a is nil for a probe. net/http's Transport would
// send again by itself on a broken kept connection, which is one more attempt; here a request moves to
// another connection only while its last byte has not been written.
func (p *upstreams) exchange(ctx context.Context, up *upstream, cut time.Time, req *http.Request, a *attempt) reply {
	until := p.repeatUntil(a)
	sendBy := cut
	if !until.IsZero() && until.Before(cut) {
		sendBy = until
	}
	for {
		conn, kept, err := p.get(ctx, up, sendBy, a)
		if err != nil {
			return reply{result: unsent(ctx, sendBy, err)}
		}
		conn.head.next()
		conn.left.N = mostAnswer
		out := &sender{conn: conn, kept: kept, until: until, hook: p.hook}
		stop := context.AfterFunc(ctx, out.stop)
		if a == nil || a.call.out.upload == nil {
			out.limit(cut)
		}
		all, err := out.write(cut, req, a)
		if all && a != nil {
			p.figures.calls.Add(1)
		}
		if !all {
			stop()
			result := balance.Rejected
			if !out.answered || !p.turnedAway(conn, req) {
				result = unwritten(ctx, sendBy, err)
			}
			p.discard(conn)
			if errors.Is(err, errVoid) {
				return reply{result: balance.NotSent, void: true}
			}
			unfit := err == errStaleConn || errors.As(err, new(*net.OpError))
			elsewhere := result != balance.Rejected && result != balance.LocalFailure
			if kept && elsewhere && ctx.Err() == nil && unfit &&
				time.Now().Before(sendBy) && (a == nil || a.call.out.upload == nil || !a.call.out.upload.spent()) {
				continue // the server closed it while idle; nothing of the request has run
			}
			return reply{result: result}
		}
		if a != nil && a.call.out.upload != nil {
			cut = a.call.out.upload.whole().Add(a.call.wait)
			out.limit(cut)
			p.offer(bodyComplete{a.call})
			<-out.peeked
		}
		idle := time.Duration(0)
		if kept {
			idle = time.Since(conn.since)
		}
		r, keep := p.readReply(ctx, conn, cut, req, a, idle)
		if stop() && keep {
			p.put(conn)
		} else {
			p.discard(conn)
		}
		return r
	}
}

// errNotNeeded: between decision and first byte the request was concluded, its client left, its time ran out or its server
// was retired. It is checked last of all, as dialing takes time in which the list changes.
var errNotNeeded = errors.New("not to be sent any more")

// errStaleConn: a kept connection was closed by its server while it was idle, or holds bytes that answer nothing.
var errStaleConn = errors.New("the kept connection is closed or out of step")

// unsent is the result where no connection came up.
func unsent(ctx context.Context, cut time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil, err == errNotNeeded, err == errNoSocket, !time.Now().Before(cut):
		return balance.NotSent // no fault of the server
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return balance.WriteFailed // something answered
	case localErrnos.has(err):
		return balance.LocalFailure
	case unreachableErrnos.has(err):
		return balance.Unreachable
	default:
		return balance.ConnectFailed
	}
}

// unwritten is the result where the last byte was not written to a connection that was up. The system's errors, but for
// this machine's own trouble, tell then that it is over, and not that nobody is there.
func unwritten(ctx context.Context, cut time.Time, err error) balance.Result {
	result := unsent(ctx, cut, err)
	failed := result == balance.Unreachable || result == balance.ConnectFailed
	if failed && errors.As(err, new(syscall.Errno)) {
		return balance.WriteFailed
	}
	return result
}
