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
	"sync/atomic"
	"testing"
	"time"

	"marblelane/balance"
)

// faults are what becomes of a watch that discovery has accepted, before the change.
var faults = map[string]func(c net.Conn, held string){
	"silent at once": func(net.Conn, string) {},
	"head, no line":  func(c net.Conn, _ string) { io.WriteString(c, watchHead) },
	"silent late":    func(c net.Conn, held string) { io.WriteString(c, watchHead+held+"\n\n") },
	"stops in a line": func(c net.Conn, held string) {
		io.WriteString(c, watchHead+held+"\n"+held[:len(held)/2])
	},
	"empty lines in a line that stops": func(c net.Conn, held string) {
		io.WriteString(c, watchHead+held+"\n"+held[:len(held)/2]+"\n\n\n")
	},
	"reset": func(c net.Conn, held string) {
		io.WriteString(c, watchHead+held+"\n")
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"reset at once": func(c net.Conn, _ string) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"ended early": func(c net.Conn, held string) {
		io.WriteString(c, watchHead+held+"\n")
		c.Close()
	},
	"ended in place of telling": func(c net.Conn, _ string) {
		io.WriteString(c, watchHead)
		c.Close()
	},
	"turned away": func(c net.Conn, _ string) {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	},
	"a line that is no list": func(c net.Conn, held string) {
		io.WriteString(c, watchHead+held+"\n"+`{"rev": 42, "targets": [{"uid": 5, "boot_ms": "now"}]}`+"\n"+held+"\n")
	},
	"a line that is no JSON": func(c net.Conn, held string) { io.WriteString(c, watchHead+held+"\n}{ gone\n") },
}

// forms are how the change then comes, as the answer to the next call.
var forms = map[string]func(c net.Conn, text string){
	"whole":    func(c net.Conn, text string) { io.WriteString(c, watchHead+text+"\n") },
	"indented": func(c net.Conn, text string) { io.WriteString(c, watchHead+indent(text)+"\n") },
	"in pieces": func(c net.Conn, text string) {
		for _, b := range []byte(watchHead + indent(text) + "\n") {
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

func indent(text string) string {
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		panic(err)
	}
	out, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err)
	}
	return string(out)
}

// Whatever becomes of a watch, the list held serves on, the next call is made, and what a whole list then leaves out gets
// nothing more, though it still answers: where lists are pushed and where they are asked for.
func TestEachWayToAChange(t *testing.T) {
	formNames := []string{"whole", "indented", "in pieces", "chunked"}
	turn := 0
	for _, mode := range []string{"subscribe", "automatic"} {
		for fault, misbehave := range faults {
			form := formNames[turn%len(formNames)]
			turn++
			t.Run(mode+"/"+fault+"/"+form, func(t *testing.T) {
				t.Parallel()
				a, b := newBackend(t, "a", ok), newBackend(t, "b", ok)
				var answering sync.WaitGroup
				t.Cleanup(answering.Wait) // once the sidecar and discovery are closed, in that order
				disc, addr := newHandAgent(t)
				c := newConf(addr, a.target, b.target).setting(`"discovery": "subscribe"`, `"discovery": "`+mode+`"`)
				cfg, err := c.load(t)
				if err != nil {
					t.Fatal(err)
				}
				s, err := New(cfg)
				if err != nil {
					t.Fatal(err)
				}
				s.drainAccept = 0
				s.loop.disc.lag, s.loop.disc.callWait, s.loop.disc.silence = 100*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond
				ctx, end := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- s.Run(ctx) }()
				r := &running{Sidecar: s, t: t, client: &http.Client{Transport: &http.Transport{}, Timeout: patience}}
				t.Cleanup(func() {
					r.client.CloseIdleConnections()
					end()
					if err := <-ended; err != nil {
						t.Error(err)
					}
				})
				held, left := mustJSON(t, list{Rev: 41, All: true, Targets: []target{a.target, b.target}}), mustJSON(t, list{Rev: 43, All: true, Targets: []target{b.target}})
				misbehave(disc.next(t), held)
				for range 4 { // whatever became of the watch
					if got := r.do(r.request("charge", time.Second)); got.status != http.StatusOK {
						t.Errorf("after the fault: %+v", got)
					}
				}
				answering.Go(func() {
					for conn := range disc.conns {
						answering.Go(func() {
							defer conn.Close()
							if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
								forms[form](conn, left)
								io.Copy(io.Discard, conn) // it stays until the sidecar ends it
							}
						})
					}
				})
				until(t, "the whole list", func() bool { return s.loop.disc.rev.Load() == 43 })
				before := a.requests.Load()
				for range 8 {
					if got := r.do(r.request("charge", time.Second)); got.status != http.StatusOK {
						t.Errorf("after the list: %+v", got)
					}
				}
				if got := a.requests.Load() - before; got > 0 {
					t.Errorf("what the whole list left out got %d requests", got)
				}
			})
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

// heldDial lets the first connection wait until it is released, and says that it waits.
func heldDial(d *discovery) (waits chan struct{}, release chan struct{}) {
	transport := d.client.Transport.(*http.Transport)
	dial := transport.DialContext
	waits, release = make(chan struct{}), make(chan struct{})
	var begun atomic.Bool
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if begun.CompareAndSwap(false, true) {
			close(waits)
			<-release
		}
		return dial(ctx, network, addr)
	}
	return waits, release
}

// A move between the moment at which a call has taken the old address and the one at which its connection is up, and one
// after that, before any answer: the call goes on at the new address at once and tells what is there, once.
func TestMoveUnderACallThatBegins(t *testing.T) {
	begin := map[string]func(context.Context, *discovery){
		"asked":  func(ctx context.Context, d *discovery) { d.watch(ctx, 0) },
		"pushed": func(ctx context.Context, d *discovery) { d.subscribe(ctx) },
	}
	for mode, watch := range begin {
		t.Run(mode, func(t *testing.T) {
			before, after := newAgent(t), newAgent(t)
			d, heard := hearing(t, before.addr())
			d.lag = time.Hour // one call at a time
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			waits, release := heldDial(d)
			watch(ctx, d)
			receive(t, "the connection to begin", waits)
			d.move([]string{after.addr()})
			first := receive(t, "the call at the new address", after.calls)
			close(release) // the old connection comes up only now
			d.move([]string{before.addr()})
			receive(t, "the call before its answer to end", first.gone)
			second := receive(t, "the call back at the first address", before.calls)
			second.send(t, list{Rev: 7})
			if n := receive(t, "what is there", heard); n.kind != balance.ListDelta || n.list.Rev != 7 {
				t.Errorf("%+v", n)
			}
			if len(heard) > 0 {
				t.Errorf("something else is heard: %+v", <-heard)
			}
		})
	}
}

// What is wrong in a line is told by its key.
func TestMalformedLineIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		`{"rev": "x"}`: "list: rev: a string", `{"rev": 1, "targets": [{"boot_ms": "now"}]}`: "list: targets.boot_ms: a string", `}`: "list: byte 1: ",
	} {
		d, heard := serving(t, text)
		err := d.read(t.Context(), d.changes(), listEvent{}, alone, time.Hour, time.Hour)
		if err == nil || !strings.Contains(err.Error(), want) || len(heard) > 0 {
			t.Errorf("%s: error %v, want %q; %d heard", text, err, want, len(heard))
		}
	}
}
