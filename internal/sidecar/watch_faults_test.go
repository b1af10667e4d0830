package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// watchFaults are faults of a watch that the list service has accepted. held is the list that the sidecar already has.
var watchFaults = map[string]func(c net.Conn, held string){
	"silent at once": func(net.Conn, string) {},
	"head, no line":  func(c net.Conn, _ string) { io.WriteString(c, sidecartest.WatchHead) },
	"silent late":    func(c net.Conn, held string) { io.WriteString(c, sidecartest.WatchHead+held+"\n\n") },
	"stops in a line": func(c net.Conn, held string) {
		io.WriteString(c, sidecartest.WatchHead+held+"\n"+held[:len(held)/2])
	},
	"empty lines in a line that stops": func(c net.Conn, held string) {
		io.WriteString(c, sidecartest.WatchHead+held+"\n"+held[:len(held)/2]+"\n\n\n")
	},
	"reset": func(c net.Conn, held string) {
		io.WriteString(c, sidecartest.WatchHead+held+"\n")
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"reset at once": func(c net.Conn, _ string) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"ended early": func(c net.Conn, held string) {
		io.WriteString(c, sidecartest.WatchHead+held+"\n")
		c.Close()
	},
	"ended without a list": func(c net.Conn, _ string) {
		io.WriteString(c, sidecartest.WatchHead)
		c.Close()
	},
	"rejected": func(c net.Conn, _ string) {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	},
	"a line that is no list": func(c net.Conn, held string) {
		io.WriteString(c, sidecartest.WatchHead+held+"\n"+`{"rev": 42, "targets": [{"uid": 5, "boot_ms": "now"}]}`+"\n"+held+"\n")
	},
	"a line that is no JSON": func(c net.Conn, held string) { io.WriteString(c, sidecartest.WatchHead+held+"\n}{ gone\n") },
}

// responseForms are forms of the response to the next call, which carries the change.
var responseForms = map[string]func(c net.Conn, text string){
	"complete": func(c net.Conn, text string) { io.WriteString(c, sidecartest.WatchHead+text+"\n") },
	"indented": func(c net.Conn, text string) { io.WriteString(c, sidecartest.WatchHead+indent(text)+"\n") },
	"in pieces": func(c net.Conn, text string) {
		for _, b := range []byte(sidecartest.WatchHead + indent(text) + "\n") {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
		}
	},
	"chunked": func(c net.Conn, text string) {
		w := bufio.NewWriter(c)
		resp := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, TransferEncoding: []string{"chunked"},
			Body: io.NopCloser(strings.NewReader(text + "\n"))}
		resp.Write(w)
		w.Flush()
	},
}

// indent returns JSON over several lines.
func indent(text string) string {
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		panic(err)
	}
	indented, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err)
	}
	return string(indented)
}

// After any fault of a watch the sidecar keeps using the list that it has and makes the next call. A server that the
// next full list leaves out gets no more requests, although it still responds. This holds for pushed lists and for
// polled ones.
func TestWatch_faultThenChange(t *testing.T) {
	formNames := []string{"complete", "indented", "in pieces", "chunked"}
	formIndex := 0
	for _, mode := range []string{"subscribe", "automatic"} {
		for fault, misbehave := range watchFaults {
			form := formNames[formIndex%len(formNames)]
			formIndex++
			t.Run(mode+"/"+fault+"/"+form, func(t *testing.T) {
				t.Parallel()
				a, b := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK)
				var responding sync.WaitGroup
				t.Cleanup(responding.Wait) // runs after the sidecar and the list service are closed, in that order
				service, addr := sidecartest.NewRawDiscovery(t)
				r := startWithShortTimeouts(t, configtest.NewConf(addr, a.Target, b.Target).ReplaceSetting(`"discovery": "subscribe"`, `"discovery": "`+mode+`"`))
				held := mustJSON(t, endpointlist.List{Rev: 41, All: true, Targets: []endpointlist.Target{a.Target, b.Target}})
				changed := mustJSON(t, endpointlist.List{Rev: 43, All: true, Targets: []endpointlist.Target{b.Target}})
				misbehave(service.NextCall(t), held)
				r.expectChargesServed(4, "after the fault")
				responding.Go(func() {
					for conn := range service.Conns {
						responding.Go(func() {
							defer conn.Close()
							if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
								responseForms[form](conn, changed)
								io.Copy(io.Discard, conn) // until the sidecar closes it
							}
						})
					}
				})
				sidecartest.Until(t, "the full list", func() bool { return r.loop.Discovery.Revision.Load() == 43 })
				before := a.Requests.Load()
				r.expectChargesServed(8, "after the list")
				if got := a.Requests.Load() - before; got > 0 {
					t.Errorf("the server that the full list left out got %d requests", got)
				}
			})
		}
	}
}

// startWithShortTimeouts runs a sidecar whose calls to list services time out early. Unlike start it allows parallel
// tests.
func startWithShortTimeouts(t *testing.T, c configtest.Conf) *running {
	t.Helper()
	s := newFromConf(t, c)
	s.drainAccept = 0
	s.loop.Discovery.SetTimeouts(discovery.Timeouts{
		PushedDelay: 100 * time.Millisecond, Call: 300 * time.Millisecond, Watch: 300 * time.Millisecond,
	})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	r := &running{Sidecar: s, t: t, client: &http.Client{Transport: &http.Transport{}, Timeout: sidecartest.WaitTimeout}}
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		end()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return r
}

// expectChargesServed sends n requests of class charge, each of which has to be served.
func (r *running) expectChargesServed(n int, when string) {
	r.t.Helper()
	for range n {
		if got := r.do(r.request("charge", time.Second)); got.status != http.StatusOK {
			r.t.Errorf("%s: %+v", when, got)
		}
	}
}

func mustJSON(t *testing.T, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
