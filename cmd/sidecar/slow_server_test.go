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

// A request is served if its server has read it and responded in time, however long the client took to write it, and
// however long that is after the server began to read.
func TestSlowServer_soundUploadsServed(t *testing.T) {
	for name, row := range map[string]struct {
		pace   sidecartest.ReadPace
		upload sidecartest.Upload
	}{
		"slow client":         {sidecartest.ReadPace{}, sidecartest.Upload{Size: 200_000, Chunked: true, Piece: 1400, BytesPerSecond: 64_000}},
		"slow client, length": {sidecartest.ReadPace{}, sidecartest.Upload{Size: 2 << 20, Piece: 9000, BytesPerSecond: 700_000}},
		"slower server":       {sidecartest.ReadPace{BytesPerSecond: 1_000_000}, sidecartest.Upload{Size: 500_000, Chunked: true}},
		"long":                {sidecartest.ReadPace{BytesPerSecond: 8_000_000}, sidecartest.Upload{Size: 12_000_000, Chunked: true}},
		"long, length":        {sidecartest.ReadPace{BytesPerSecond: 8_000_000}, sidecartest.Upload{Size: 12_000_000}},
		"pauses of the client": {sidecartest.ReadPace{}, sidecartest.Upload{
			Size: 200_000, Chunked: true, Piece: 50_000, BytesPerSecond: 60_000}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := launchUploads(t, nil, sidecartest.NewSlowServer(t, "s", row.pace, 0, 10*time.Millisecond))
			row.upload.ID, row.upload.Class, row.upload.Timeout = "1", "unsafe", 1200*time.Millisecond
			if outcome := row.upload.Send(p.addr); outcome.Status != 200 {
				t.Errorf("not served: %v", outcome)
			}
			p.cmd.terminate(t)
		})
	}
}

// A server that stops reading bodies is avoided after a few requests, also if no other requests show that it is stuck.
func TestSlowServer_stoppedServerAvoided(t *testing.T) {
	t.Parallel()
	p := launchUploads(t, nil,
		sidecartest.NewSlowServer(t, "stopped", sidecartest.ReadPace{StopAfter: 20_000}, 4<<10, 0),
		sidecartest.NewSlowServer(t, "sound", sidecartest.ReadPace{}, 0, 0))
	const uploads, maxFailed = 16, 4
	failed := 0
	for i := range uploads {
		upload := sidecartest.Upload{
			ID: fmt.Sprintf("%016x", i), Class: "unsafe", Timeout: 700 * time.Millisecond, Size: 300_000, Chunked: true}
		if outcome := upload.Send(p.addr); outcome.Status != 200 {
			failed++
			t.Logf("not served: %v", outcome)
		}
	}
	if failed > maxFailed {
		t.Errorf("%d of %d requests failed, want at most %d", failed, uploads, maxFailed)
	}
	p.cmd.terminate(t)
}
