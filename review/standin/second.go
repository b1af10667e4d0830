package main

import (
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

const (
	saServers  = 4
	saClients  = 8
	saLength   = 60 * time.Second // in the second half the clients pause for less
	saWork     = 20 * time.Millisecond
	saSpoilt   = 20                   // one of so many answers is sent a second time
	saLateness = 3 * time.Millisecond // how late the second answer comes
	saFull     = 10                   // one of so many requests is turned away, as the queue is full
)

// ledger counts how often each request ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// run counts a run of a request and returns how often it has run.
func (l *ledger) run(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	return l.runs[id]
}

// secondAnswer lets stock servers send some of their answers twice, some milliseconds apart. Clients check that each 200
// has the body that a stock server made for their request, and stock servers that no unsafe request runs twice.
func secondAnswer(c *Case) (broken bool) {
	var targets []Target
	var answers, spoilt, foreign, twice atomic.Int64
	ran := &ledger{runs: map[string]int{}}
	for i := range saServers {
		s := listenStock(c.Record, fmt.Sprintf("s-%d", i), "limerick-dc")
		var arrived atomic.Int64
		s.Handle = func(conn net.Conn, r *Request) bool {
			text := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
			outcome := "turned away"
			if arrived.Add(1)%saFull != 0 {
				outcome = "ran"
				if ran.run(r.ID) > 1 && r.Method == http.MethodPost {
					twice.Add(1)
					c.Say("%s: unsafe request %s runs a second time", s.Name, r.ID)
				}
				time.Sleep(saWork)
				text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.ID), r.ID)
			}
			if _, err := io.WriteString(conn, text); err != nil {
				c.Add("%s %s %s %s: %v", s.Name, outcome, r.Method, r.ID, err)
				return false
			}
			second := c.Trouble && answers.Add(1)%saSpoilt == 0
			c.Add("%s %s %s %s on %s, second answer: %v", s.Name, outcome, r.Method, r.ID, conn.RemoteAddr(), second)
			if second {
				spoilt.Add(1)
				time.AfterFunc(saLateness, func() {
					_, err := io.WriteString(conn, text)
					c.Add("%s sent the second answer to %s on %s: %v", s.Name, r.ID, conn.RemoteAddr(), err)
				})
			}
			return true
		}
		go s.Serve()
		targets = append(targets, s.Target)
	}
	d := startDiscovery(c.Record, targets)
	sidecar := startSidecar(c.Record, c.Root, c.Dir, "n1", defaultLimits, settings(1), d.Addr, targets)
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	end := time.Now().Add(saLength)
	for n := range saClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			for i := 0; time.Now().Before(end) && twice.Load() < 3; i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				method, class := http.MethodGet, "stock-lookup"
				if n%2 == 1 {
					method, class = http.MethodPost, "parcel-issue"
				}
				sent.Add(1)
				status, body, err := callKept(client, sidecar.Listen, method, class, id)
				c.Add("client %d: %s %s: %d %q %v", n, method, id, status, body, err)
				switch {
				case err == nil && status == http.StatusOK && body != id:
					foreign.Add(1)
					c.Add("client %d: request %s was answered 200 with %q", n, id, body)
				case err == nil && status == http.StatusOK:
					served.Add(1)
				default:
					time.Sleep(50 * time.Millisecond)
				}
				longest := 200 // some 67 requests a second
				if time.Until(end) < saLength/2 {
					longest = 10 // some 300 requests a second
				}
				time.Sleep(time.Duration(rand.IntN(longest)) * time.Millisecond)
			}
		})
	}
	clients.Wait()
	c.Say("%d requests, %d served, %d second answers; %d requests got another's answer, %d unsafe requests ran twice",
		sent.Load(), served.Load(), spoilt.Load(), foreign.Load(), twice.Load())
	return foreign.Load() > 0 || twice.Load() > 0
}
