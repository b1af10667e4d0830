package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["term-pipeline"] = termPipeline }

// termPipeline: clients send two requests at once on connections that stay open after SIGTERM; the body of the first comes in
// two pieces, the second of them with the next request behind it. Each gets its answer.
func termPipeline(r *record) {
	const (
		clients = 12
		timeout = 1500
		crossed = 50 * time.Millisecond // a request that was written this long before the end has not crossed it
	)
	var targets []target
	var ran sync.Map
	for i := range 8 {
		uid := fmt.Sprintf("s-%d", i)
		targets = append(targets, newStock(uid, func(q *request) bool {
			r.add("%s ran %s", uid, q.ID)
			ran.Store(q.ID, true)
			time.Sleep(70*time.Millisecond + rand.N(40*time.Millisecond))
			_, err := io.WriteString(q.Conn, answerOK(q.ID, uid))
			return err == nil
		}).entry())
	}
	sc := startSidecar(tempDir(), config(newAgent(targets...)))
	type client struct {
		net.Conn
		in *bufio.Reader
	}
	var all []*client
	for w := range clients { // each has a connection that has served a request
		conn := dial(sc.addr)
		c := &client{conn, bufio.NewReader(conn)}
		if status, _, keep := roundTrip(c.Conn, c.in, lookup(fmt.Sprintf("c%d-0", w), timeout), 2050*time.Millisecond); status != 200 || !keep {
			cannotRun("a first request was answered with %d", status)
		}
		c.SetDeadline(time.Time{})
		all = append(all, c)
	}
	if trouble() {
		r.add("SIGTERM")
		sc.signal(syscall.SIGTERM)
		time.AfterFunc(3*time.Second+700*time.Millisecond, func() { // the longest deadline counts as 3 s
			r.add("SIGKILL")
			sc.signal(syscall.SIGKILL)
		})
	}
	var sent, answered, lost, other atomic.Int64
	var wg sync.WaitGroup
	for w, c := range all {
		wg.Go(func() {
			time.Sleep(time.Duration(w) * 20 * time.Millisecond)
			ids := []string{fmt.Sprintf("c%d-1", w), fmt.Sprintf("c%d-2", w)}
			first := issue(ids[0], timeout, "parcel 17, parcel 18, parcel 19")
			cut := len(first) - 10
			io.WriteString(c, first[:cut])
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(c, first[cut:]+lookup(ids[1], timeout)); err != nil {
				r.add("client %d: %v", w, err)
				return
			}
			at := time.Now()
			sent.Add(2)
			r.add("client %d has sent %v", w, ids)
			c.SetReadDeadline(at.Add(2*timeout*time.Millisecond + 550*time.Millisecond))
			for i, id := range ids {
				resp, err := http.ReadResponse(c.in, nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				took := time.Since(at)
				_, has := ran.Load(id)
				switch {
				case err == nil:
					answered.Add(1)
					r.add("%s: status %d %q, Connection: close %v", id, resp.StatusCode, body, resp.Close)
				case errors.Is(err, syscall.ECONNRESET) || took < crossed || i == 0 && !has:
					other.Add(1) // a close that crossed it, or over unread bytes: the client sends it once more
					r.add("%s: %v after %v", id, err, took.Round(time.Millisecond))
				default:
					lost.Add(1)
					r.add("BROKEN: %s: the sidecar ended the connection %v after the request's last byte, with no answer (%v; run %v)",
						id, took.Round(time.Millisecond), err, has)
				}
			}
			c.Close()
		})
	}
	wg.Wait()
	verdict(r, lost.Load() > 0, "%d requests sent, %d answered, %d crossed by a close, %d taken and not answered", sent.Load(), answered.Load(), other.Load(), lost.Load())
}
