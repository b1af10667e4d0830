package main

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/sidecartest"
)

// An unsafe request whose client leaves runs once at most, also if its ID comes again on another connection.
func TestReturningID_runsOnce(t *testing.T) {
	server := sidecartest.NewSlowServer(t, "s", sidecartest.ReadPace{}, 0, 100*time.Millisecond)
	p := launchUploads(t, nil, server)
	for _, size := range []int{200, 200_000} {
		for _, reset := range []bool{false, true} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d bytes, reset %v, again after %v", size, reset, pause), func(t *testing.T) {
					upload := sidecartest.Upload{ID: t.Name(), Class: "unsafe", Timeout: time.Second, Size: size, Chunked: true}
					if err := upload.SendAndLeave(p.addr, 30*time.Millisecond, reset); err != nil {
						t.Fatal(err)
					}
					time.Sleep(pause)
					o := upload.Send(p.addr)
					if runs := server.Runs(upload.ID); runs > 1 || o.Status == 0 || o.Status == 503 && runs > 0 {
						t.Errorf("run %d times, the second time: %v", runs, o)
					}
				})
			}
		}
	}
	fresh := sidecartest.Upload{ID: "fresh", Class: "unsafe", Timeout: time.Second, Size: 200}
	for range 2 { // an ID whose request was answered may come again
		if o := fresh.Send(p.addr); o.Status != 200 {
			t.Errorf("not served: %v", o)
		}
	}
	p.cmd.terminate(t)
}

// The same holds for the other process of an upgrade, whether the client left before that one started or after.
func TestReturningID_acrossUpgrade(t *testing.T) {
	for _, leftBefore := range []bool{true, false} {
		t.Run(fmt.Sprintf("left before %v", leftBefore), func(t *testing.T) {
			server := sidecartest.NewSlowServer(t, "s", sidecartest.ReadPace{}, 0, 100*time.Millisecond)
			changes := conf{
				"listen": sidecartest.BindAddr(t, unix.SO_REUSEPORT), "management": "127.0.0.1:0", "TMPDIR": shortDir(t),
			}
			old := launchUploads(t, changes, server)
			old.awaitHandoverSocket(changes["TMPDIR"].(string))
			upload := sidecartest.Upload{ID: "returning", Class: "unsafe", Timeout: time.Second, Size: 200}
			conn := old.dial()
			leave := func() {
				go upload.SendOn(conn.TCPConn)
				time.Sleep(30 * time.Millisecond)
				conn.Close()
				time.Sleep(50 * time.Millisecond) // for the other process to be notified
			}
			if leftBefore {
				leave()
			}
			next := launchUploads(t, changes, server)
			old.awaitLine("the successor started serving")
			old.sigterm()
			time.Sleep(50 * time.Millisecond) // for the listener of the older process to be closed
			if !leftBefore {
				leave()
			}
			if o := upload.Send(next.addr); server.Runs(upload.ID) != 1 || o.Status != 502 {
				t.Errorf("run %d times, the second time: %v", server.Runs(upload.ID), o)
			}
			old.awaitEnd()
			next.cmd.terminateLogged(t, next.log)
		})
	}
}
