package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["half-heads"] = halfHeads }

const (
	hhPeers = 1000
	hhHead  = 31000 // bytes that each peer sends of a head
	hhStay  = 2 * time.Second
)

// halfHeads lets many peers send most of a long head, and then no more for 2 s. The platform kills the sidecar if its
// memory exceeds the limit.
func halfHeads(c *Case) (broken bool) {
	var targets []Target
	for i := range 4 {
		s := listenStock(c.Record, fmt.Sprintf("s-%d", i), "limerick-dc")
		s.Handle = func(conn net.Conn, r *Request) bool {
			time.Sleep(20 * time.Millisecond)
			return answer200(conn, r.ID)
		}
		go s.Serve()
		targets = append(targets, s.Target)
	}
	d := startDiscovery(c.Record, targets)
	limits := Limits{Cores: 1, MemoryMB: 64, Sockets: 1024}
	sidecar := startSidecar(c.Record, c.Root, c.Dir, "n1", limits, settings(1), d.Addr, targets)
	killed := make(chan int, 1)
	go watchMemory(c, sidecar, limits.MemoryMB, killed)
	end := time.Now().Add(10 * time.Second)
	var clients sync.WaitGroup
	var served, other atomic.Int64
	for n := range 4 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				status, _, err := callKept(client, sidecar.Listen, http.MethodGet, "stock-lookup", id)
				c.Add("client %d: %s: %d %v", n, id, status, err)
				if status == http.StatusOK && err == nil {
					served.Add(1)
				} else {
					other.Add(1)
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if c.Trouble {
		text := longHead()
		var peers sync.WaitGroup
		for i := range hhPeers {
			peers.Go(func() {
				conn, err := net.Dial("tcp", sidecar.Listen)
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, text)
				time.Sleep(hhStay)
			})
			if i%50 == 49 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		c.Add("the peers are there")
		peers.Wait()
	}
	clients.Wait()
	c.Say("%d requests served, %d not", served.Load(), other.Load())
	select {
	case mb := <-killed:
		c.Say("the platform killed the sidecar at %d MB of %d", mb, limits.MemoryMB)
		return true
	default:
		return false
	}
}

// longHead returns the start of a head, in lines of some 40 bytes.
func longHead() string {
	text := "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Priority-Class: parcel-issue\r\n"
	for i := 0; len(text) < hhHead; i++ {
		text += fmt.Sprintf("X-Attrs-%03d: warehouse=limerick-17,shelf=4\r\n", i)
	}
	return text
}

// watchMemory kills the sidecar once its own memory is over the limit: pages of the program's file do not count here.
func watchMemory(c *Case, s *Sidecar, limitMB int, killed chan<- int) {
	highest := 0
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		kb := ownMemoryKB(s.cmd.Process.Pid)
		if kb/1024 > highest {
			highest = kb / 1024
			c.Add("the sidecar's memory: %d MB", highest)
		}
		if kb > limitMB*1024 {
			killed <- kb / 1024
			_ = syscall.Kill(s.cmd.Process.Pid, syscall.SIGKILL)
			return
		}
	}
}

// ownMemoryKB returns the resident memory of a process that is not backed by a file.
func ownMemoryKB(pid int) (kb int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			n, _ := strconv.Atoi(fields[1])
			kb += n
		}
	}
	return kb
}
