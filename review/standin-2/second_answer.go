package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// secondAnswer: some stock servers spoil some answers: the same answer comes once more, some milliseconds later. No client
// may be served with an answer that was made for another request.
func secondAnswer(r *record) {
	// The load of a sidecar in the operators' report event1393: 8 stock servers, 390 requests a second at 2 sidecars, half of
	// them answered within 13 ms; there work, aims and deadlines are a sixth.
	const (
		servers  = 8
		rate     = 190.0 // requests a second
		scale    = 6
		timeout  = 1500 / scale // ms
		duration = 40 * time.Second
	)
	var spoilt atomic.Int64
	var targets []target
	for i := range servers {
		uid := fmt.Sprintf("s-%d", i)
		bad := trouble()
		s := newStock(uid, func(q *request) bool {
			r.add("%s ran %s", uid, q.ID)
			time.Sleep(60*time.Millisecond/scale + rand.N(50*time.Millisecond/scale))
			text := answerOK(q.ID, uid)
			if _, err := io.WriteString(q.Conn, text); err != nil {
				return false
			}
			if bad && rand.IntN(20) == 0 {
				spoilt.Add(1)
				late := 2*time.Millisecond + rand.N(7*time.Millisecond)
				c, id := q.Conn, q.ID
				time.AfterFunc(late, func() {
					r.add("%s sends a second answer to %s, %v after the first", uid, id, late.Round(time.Millisecond))
					_, _ = io.WriteString(c, text)
				})
			}
			return true
		})
		targets = append(targets, s.entry())
	}
	cfg := config(newAgent(targets...))
	scaled(cfg["settings"].(map[string]any), scale)
	sc := startSidecar(tempDir(), cfg)
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var sent, served, foreign, other atomic.Int64
	idle := make(chan *keptConn, 1000) // clients keep their connections and open more once all are busy
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		id := fmt.Sprintf("c-%d", k)
		wg.Go(func() {
			var c *keptConn
			select {
			case c = <-idle:
			default:
				conn := dial(sc.addr)
				c = &keptConn{conn, bufio.NewReader(conn)}
			}
			sent.Add(1)
			r.add("client sends %s", id)
			status, body, keep := roundTrip(c.Conn, c.in, lookup(id, timeout), (timeout+550)*time.Millisecond)
			switch {
			case status == 200 && answerID(body) == id:
				served.Add(1)
			case status == 200:
				foreign.Add(1)
				r.add("BROKEN: %s was served with %q", id, body)
			default:
				other.Add(1)
				r.add("%s: status %d", id, status)
			}
			if keep {
				idle <- c
			} else {
				c.Close()
			}
		})
	}
	wg.Wait()
	verdict(r, foreign.Load() > 0, "%d requests, %d served, %d not served, %d second answers sent, %d requests served with an answer made for another one",
		sent.Load(), served.Load(), other.Load(), spoilt.Load(), foreign.Load())
}

// keptConn is a client's connection.
type keptConn struct {
	net.Conn
	in *bufio.Reader
}

// answerOK is a stock server's 200 answer to a request.
func answerOK(id, uid string) string {
	body := "stock of " + id + " from " + uid
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// answerID returns the request that an answer's body was made for.
func answerID(body string) string {
	var id, uid string
	if n, _ := fmt.Sscanf(body, "stock of %s from %s", &id, &uid); n != 2 {
		return ""
	}
	return id
}

// roundTrip sends a request and reads its answer. The status is 0 if no whole answer has come within wait.
func roundTrip(c net.Conn, in *bufio.Reader, text string, wait time.Duration) (status int, body string, keep bool) {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, "", false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", false
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", false
	}
	return resp.StatusCode, string(b), !resp.Close
}

// verdict writes the result and ends the case.
func verdict(r *record, broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("%s", text)
	fmt.Println(text)
	if broken {
		fmt.Println("the rule was broken")
		end(1)
	}
	fmt.Println("the rule held")
	end(0)
}
