package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["half-written"] = halfWritten }

const (
	hwPeers    = 2000 // connections that are half written
	hwRequests = 40   // requests on new connections, one each 100 ms
	hwTimeout  = 700 * time.Millisecond
)

// halfWritten lets many peers send the head of a request and ten bytes of its body, and then no more. Beside them a client
// sends requests on new connections.
func halfWritten(c *Case) (broken bool) {
	var targets []Target
	for i := range 4 {
		s := listenStock(c.Record, fmt.Sprintf("s-%d", i), "limerick-dc")
		s.Handle = func(conn net.Conn, r *Request) bool {
			c.Add("%s runs %s, X-Timeout-Ms %s", s.Name, r.ID, r.Header.Get("X-Timeout-Ms"))
			time.Sleep(20 * time.Millisecond)
			return answer200(conn, r.ID)
		}
		go s.Serve()
		targets = append(targets, s.Target)
	}
	d := startDiscovery(c.Record, targets)
	limits := Limits{Cores: 1, MemoryMB: 128, Sockets: 512}
	sidecar := startSidecar(c.Record, c.Root, c.Dir, "n1", limits, settings(1), d.Addr, targets)
	var peers, clients sync.WaitGroup
	var connected, heard, inTime, lost atomic.Int64
	if c.Trouble {
		for i := range hwPeers {
			peers.Go(func() { halfWrittenPeer(sidecar.Listen, i, &connected, &heard, &inTime) })
			if i%100 == 99 {
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	c.Add("the peers are there")
	for i := range hwRequests {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0xa000+i)
			c.Add("client sends %s", id)
			outcome := callOnce(sidecar.Listen, http.MethodGet, "stock-lookup", id, hwTimeout, nil)
			if outcome.Lost(hwTimeout) {
				lost.Add(1)
				c.Say("request %s, time %v: %v: lost", id, hwTimeout, outcome)
				return
			}
			c.Add("request %s, time %v: %v", id, hwTimeout, outcome)
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	peers.Wait()
	c.Say("%d half-written connections, %d got an error or a close, %d of them within 3 s of connecting",
		connected.Load(), heard.Load(), inTime.Load())
	c.Say("%d of %d requests on new connections were lost", lost.Load(), hwRequests)
	return lost.Load() > 0
}

// halfWrittenPeer connects, sends a part of a request and stays until it is answered or closed.
func halfWrittenPeer(addr string, i int, connected, heard, inTime *atomic.Int64) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	connected.Add(1)
	started := time.Now()
	text := head(http.MethodPost, "parcel-issue", fmt.Sprintf("%016x", 0xb0000+i), hwTimeout, 1000)
	if _, err := io.WriteString(conn, text+"\r\n0123456789"); err != nil {
		return
	}
	conn.SetReadDeadline(started.Add(40 * time.Second))
	_, err = bufio.NewReader(conn).Peek(1)
	if timedOut, _ := err.(net.Error); timedOut != nil && timedOut.Timeout() {
		return
	}
	heard.Add(1)
	if time.Since(started) <= 3*time.Second {
		inTime.Add(1)
	}
}
