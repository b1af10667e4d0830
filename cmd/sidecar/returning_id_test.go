package main

import (
	"fmt"
	"testing"
	"time"

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
