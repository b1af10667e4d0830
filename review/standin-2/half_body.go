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

func init() { cases["half-body"] = halfBody }

// halfBody: peers connect, send something that is no proper request, stop in the middle of it and stay. Each is owed an
// error or a close within 3 s of connecting, and requests of sound clients still get their final answer.
func halfBody(r *record) {
	const (
		peers    = 320
		clients  = 8
		duration = 15 * time.Second
		timeout  = 1500 * time.Millisecond
		// A final answer is due half a second after the request's time at the latest; every limit is 50 ms longer.
		patience = timeout + 550*time.Millisecond
		owed     = 3050 * time.Millisecond
	)
	var targets []target
	for i := range 8 {
		uid := fmt.Sprintf("s-%d", i)
		targets = append(targets, newStock(uid, func(q *request) bool {
			r.add("%s ran %s", uid, q.ID)
			time.Sleep(60*time.Millisecond + rand.N(50*time.Millisecond))
			_, err := io.WriteString(q.Conn, answerOK(q.ID, uid))
			return err == nil
		}).entry())
	}
	cfg := config(newAgent(targets...))
	cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512} // the limits of scored days, cut by half
	sc := startSidecar(tempDir(), cfg)

	var wg sync.WaitGroup
	var silent, heard atomic.Int64
	stop := make(chan struct{})
	if trouble() {
		for i := range peers {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				c, err := net.Dial("tcp", sc.addr)
				if err != nil {
					heard.Add(1)
					return
				}
				defer func() { // it stays, also after an error
					<-stop
					c.Close()
				}()
				connected := time.Now()
				io.WriteString(c, "POST /stock HTTP/1.1\r\nHost: backend.local\r\nContent-Length: 40\r\n\r\nhalf of a bod")
				c.SetReadDeadline(connected.Add(owed))
				if _, err := c.Read(make([]byte, 1)); err != nil && err.(net.Error).Timeout() {
					silent.Add(1)
					r.add("peer %d: neither an error nor a close %v after connecting", i, time.Since(connected).Round(time.Millisecond))
					return
				}
				heard.Add(1)
			})
		}
		time.Sleep(peers*3*time.Millisecond + owed)
	}
	end := time.Now().Add(duration)
	var sent, answered, unread, lost atomic.Int64
	var callers sync.WaitGroup
	for w := range clients {
		callers.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("c%d-%d", w, k)
				c, err := net.DialTimeout("tcp", sc.addr, time.Second)
				if err != nil {
					r.add("%s: no connection: %v", id, err)
					unread.Add(1)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				sent.Add(1)
				r.add("client %d sends %s on a new connection", w, id)
				at := time.Now()
				status, body, _ := roundTrip(c, bufio.NewReader(c), lookup(id, int(timeout.Milliseconds())), patience)
				switch {
				case status != 0:
					answered.Add(1)
					r.add("%s: status %d %q", id, status, body)
				case time.Since(at) < patience: // shut with no answer: the first request on a connection has then failed
					unread.Add(1)
					r.add("%s: the connection was closed after %v", id, time.Since(at).Round(time.Millisecond))
				default:
					lost.Add(1)
					r.add("BROKEN: %s has no final answer %v after it was sent, with a time of %v", id, time.Since(at).Round(time.Millisecond), timeout)
				}
				c.Close()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	close(stop)
	wg.Wait()
	verdict(r, lost.Load() > 0, "%d peers: %d got an error or a close in time, %d did not; %d requests of sound clients: %d answered, %d closed or not connected, %d without a final answer",
		silent.Load()+heard.Load(), heard.Load(), silent.Load(), sent.Load(), answered.Load(), unread.Load(), lost.Load())
}
