package main

import (
	"fmt"
	"testing"
	"time"

	"marblelane/internal/sidecar/sidecartest"
)

// An answer that a server is still writing within the client's time is not cut off, whatever its framing, its size and
// the load: the server has run the request.
func TestSlowServer_answerNotCutOff(t *testing.T) {
	for _, framing := range []sidecartest.AnswerFraming{
		sidecartest.AnswerWithLength, sidecartest.AnswerChunked, sidecartest.AnswerUntilClose,
	} {
		for _, size := range []int{3_000, 60_000, 90_000} {
			t.Run(fmt.Sprintf("%s, %d bytes", framing, size), func(t *testing.T) {
				t.Parallel()
				server := sidecartest.NewBackend(t, "s", sidecartest.SlowAnswer(size, size/2, framing))
				p := launch(t, conf{
					"known":    conf{"rev": 1, "all": true, "targets": []any{server.Target}},
					"settings": settings(time.Second, 5*time.Second),
				})
				var uploads []sidecartest.Upload
				for i := range 12 {
					uploads = append(uploads, sidecartest.Upload{
						ID: fmt.Sprint(i), Class: "unsafe", Timeout: 4 * time.Second, Size: 10, StartAfter: time.Duration(i) * 100 * time.Millisecond,
					})
				}
				for _, outcome := range p.sendUploads(uploads) {
					if outcome.Status != 200 && outcome.Status != 503 { // 503: nothing of it has run
						t.Errorf("cut off: %v", outcome)
					}
				}
				p.cmd.terminate(t)
			})
		}
	}
}
