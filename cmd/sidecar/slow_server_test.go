package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"marblelane/internal/sidecar/sidecartest"
)

// uploadSettings have short objectives, so that an upload is not in time at a server that takes seconds to read it.
var uploadSettings = settings(600*time.Millisecond, 1500*time.Millisecond)

// launchUploads starts a sidecar whose list contains slow servers.
func launchUploads(t *testing.T, changes conf, servers ...*sidecartest.SlowServer) *process {
	t.Helper()
	targets := []any{}
	for _, s := range servers {
		targets = append(targets, s.Target)
	}
	c := conf{
		"known":    conf{"rev": 1, "all": true, "targets": targets},
		"limits":   conf{"cores": 1, "memory_mb": 64, "sockets": 512},
		"settings": uploadSettings,
	}
	for key, value := range changes {
		c[key] = value
	}
	return launch(t, c)
}

// sendUploads sends requests at the same time, each on its own connection, and returns their outcomes.
func (p *process) sendUploads(uploads []sidecartest.Upload) []sidecartest.UploadOutcome {
	outcomes := make([]sidecartest.UploadOutcome, len(uploads))
	var sent sync.WaitGroup
	for i, u := range uploads {
		sent.Go(func() { outcomes[i] = u.Send(p.addr) })
	}
	sent.Wait()
	return outcomes
}

// A request whose server reads its body slowly, or stops reading it, gets its final answer in time: the client's time
// runs from the last byte that it has written, whether or not the sidecar has read it.
func TestSlowServer_finalAnswerInTime(t *testing.T) {
	for name, pace := range map[string]sidecartest.ReadPace{
		"slow": {BytesPerSecond: 90_000}, "stopped": {StopAfter: 20_000},
	} {
		for framing, upload := range map[string]sidecartest.Upload{
			"chunked":          {Chunked: true, Size: 200_000},
			"chunked, long":    {Chunked: true, Size: 800_000},
			"chunked, pieces":  {Chunked: true, Size: 600_000, Piece: 8000, BytesPerSecond: 400_000},
			"length over 1 MB": {Size: 2 << 20},
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				lag := sidecartest.MachineLag(t)
				p := launchUploads(t, nil, sidecartest.NewSlowServer(t, "s", pace, 4<<10, 0))
				var uploads []sidecartest.Upload
				for i := range 4 {
					upload.ID, upload.Class = fmt.Sprintf("%016x", i), "unsafe"
					upload.Timeout = time.Duration(600+100*i) * time.Millisecond
					uploads = append(uploads, upload)
				}
				for _, outcome := range p.sendUploads(uploads) {
					if outcome.Late(lag()) {
						t.Errorf("late: %v", outcome)
					}
				}
				p.cmd.terminate(t)
			})
		}
	}
}
