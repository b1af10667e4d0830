package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["short-rest"] = shortRest }

// shortRest: clients stop in the middle of a request and stay: here after its first two bytes, on a connection that has
// already served a request. They get their error or close within 3 s.
func shortRest(r *record) {
	const (
		clients = 20
		owed    = 3050 * time.Millisecond
		watched = 20 * time.Second
	)
	var targets []target
	for i := range 4 {
		uid := fmt.Sprintf("s-%d", i)
		targets = append(targets, newStock(uid, func(q *request) bool {
			r.add("%s ran %s", uid, q.ID)
			time.Sleep(60*time.Millisecond + rand.N(50*time.Millisecond))
			_, err := io.WriteString(q.Conn, answerOK(q.ID, uid))
			return err == nil
		}).entry())
	}
	sc := startSidecar(tempDir(), config(newAgent(targets...)))
	var wg sync.WaitGroup
	var silent, inTime, late atomic.Int64
	for w := range clients {
		wg.Go(func() {
			c := dial(sc.addr)
			defer c.Close()
			in := bufio.NewReader(c)
			id := fmt.Sprintf("c%d-1", w)
			status, body, keep := roundTrip(c, in, lookup(id, 1500), 2050*time.Millisecond)
			r.add("%s: status %d %q", id, status, body)
			if status != 200 || !keep {
				return
			}
			next := lookup(fmt.Sprintf("c%d-2", w), 1500)
			if !trouble() {
				status, body, _ = roundTrip(c, in, next, 2050*time.Millisecond)
				r.add("c%d-2: status %d %q", w, status, body)
				if status != 0 {
					inTime.Add(1)
				}
				return
			}
			at := time.Now()
			io.WriteString(c, next[:2])
			r.add("client %d stops after the bytes %q of its next request", w, next[:2])
			c.SetReadDeadline(at.Add(watched))
			_, err := in.ReadByte()
			took := time.Since(at)
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				silent.Add(1)
				r.add("BROKEN: client %d: neither an error nor a close within %v", w, watched)
				return
			}
			r.add("client %d: answer or close after %v", w, took.Round(time.Millisecond))
			if took > owed {
				late.Add(1)
			} else {
				inTime.Add(1)
			}
		})
	}
	wg.Wait()
	verdict(r, silent.Load()+late.Load() > 0, "%d clients: %d got an answer, an error or a close in time, %d later than 3 s, %d not within %v", clients, inTime.Load(), late.Load(), silent.Load(), watched)
}
