package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["options"] = options }

// options: a peer sends `OPTIONS *`, which is no proper request of the protocol. It is owed an error or a close, and must
// not be served as though its request had run.
func options(r *record) {
	var targets []target
	var ran sync.Map
	for i := range 4 {
		uid := fmt.Sprintf("s-%d", i)
		targets = append(targets, newStock(uid, func(q *request) bool {
			r.add("%s ran %s", uid, q.ID)
			ran.Store(q.ID, true)
			time.Sleep(60*time.Millisecond + rand.N(50*time.Millisecond))
			_, err := io.WriteString(q.Conn, answerOK(q.ID, uid))
			return err == nil
		}).entry())
	}
	sc := startSidecar(tempDir(), config(newAgent(targets...)))
	sent, served, asRun := 0, 0, 0
	for k := range 20 {
		c := dial(sc.addr)
		in := bufio.NewReader(c)
		id := fmt.Sprintf("c-%d", k)
		r.add("client sends %s", id)
		status, body, _ := roundTrip(c, in, lookup(id, 1500), 2050*time.Millisecond)
		r.add("%s: status %d %q", id, status, body)
		if status == 200 && answerID(body) == id {
			served++
		}
		c.Close()
		if !trouble() {
			continue
		}
		c = dial(sc.addr)
		id = fmt.Sprintf("p-%d", k)
		text := fmt.Sprintf("OPTIONS * HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: parcel-issue\r\nX-Tenant-Id: shannonside\r\nX-Timeout-Ms: 1500\r\nContent-Length: 9\r\n\r\nparcel 17", id)
		r.add("peer sends %s, with OPTIONS * in place of POST /api", id)
		sent++
		status, body, _ = roundTrip(c, bufio.NewReader(c), text, 3050*time.Millisecond)
		_, has := ran.Load(id)
		r.add("%s: status %d %q, run by a stock server: %v", id, status, body, has)
		if status >= 200 && status < 300 {
			asRun++
			r.add("BROKEN: %s was answered as served", id)
		}
		c.Close()
	}
	verdict(r, asRun > 0, "20 requests of a client, %d served; %d improper requests of a peer, %d answered with 200 though no stock server had them", served, sent, asRun)
}
