package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"marblelane/internal/sidecar/sidecartest"
)

// The time of a request that waits behind others on its connection runs from its last byte, not from when the sidecar
// turns to it: each gets its final answer in time.
func TestPipeline_finalAnswersInTime(t *testing.T) {
	const requests, work, timeout = 10, 200 * time.Millisecond, 500 * time.Millisecond
	for _, class := range []string{"safe", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			p := launchUploads(t, nil, sidecartest.NewSlowServer(t, "s", sidecartest.ReadPace{}, 0, work))
			lag := sidecartest.MachineLag(t)
			method := map[string]string{"safe": "GET", "unsafe": "POST"}[class]
			var text strings.Builder
			for i := range requests {
				fmt.Fprintf(&text, "%s /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: %d\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n\r\n",
					method, i, class, timeout.Milliseconds())
			}
			c := p.dial()
			c.send(strings.ReplaceAll(text.String(), "POST /api HTTP/1.1\r\n", "POST /api HTTP/1.1\r\nContent-Length: 0\r\n"))
			sentAt, in := time.Now(), bufio.NewReader(c)
			for i := range requests {
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				response.Write(new(strings.Builder)) // reads the body
				if took := time.Since(sentAt); took > timeout+sidecartest.FinalAnswerSlack+lag() {
					t.Errorf("request %d: status %d after %v", i, response.StatusCode, took)
				}
			}
			p.cmd.terminate(t)
		})
	}
}
