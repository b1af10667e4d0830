package sidecar

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"marblelane/balance"
)

// holdAt holds up whoever comes to a checkpoint until the barrier is released.
func holdAt(at checkpoint, g *barrier) checkpointHook {
	return func(c checkpoint) {
		if c == at {
			g.pass()
		}
	}
}

// A client that leaves while its attempt is held up, after the clock was read for its first byte, is still seen.
func TestNoFirstByteForAClientThatLeavesWhileHeldUp(t *testing.T) {
	for name, body := range map[string]string{"held whole": "", "passed on": string(pattern(holdMost / 2))} {
		for _, at := range []checkpoint{attemptDecided, clockRead} {
			t.Run(name+", "+string(at), func(t *testing.T) {
				b, held := newBackend(t, "a", ok), newBarrier()
				s := start(t, newConf(newRegistry(t).addr(), b.target), func(s *Sidecar) {
					s.frontend.clientPoll = never
					s.loop.pool.hook = holdAt(at, held)
				})
				t.Cleanup(held.release)
				if body != "" {
					s.frontend.memory.set(0) // nothing more than the least is held
				}
				client := s.leaver(t, "charge", "HTTP/1.1", "Content-Length: "+strconv.Itoa(len(body))+"\r\n", body)
				held.waitFor(t, 1)
				client.leave(ends["close"])
				held.release()
				s.nothingSent(t, b)
			})
		}
	}
}

// A server that begins to drain while an attempt is held up on its way to it gets nothing: another one does.
func TestDrainIsToldWhileHeldUp(t *testing.T) {
	a, b, held := newBackend(t, "a", ok), newBackend(t, "b", ok), newBarrier()
	registry := newRegistry(t)
	s := start(t, newConf(registry.addr(), a.target), func(s *Sidecar) {
		s.loop.pool.hook = holdAt(attemptDecided, held)
	})
	t.Cleanup(held.release)
	watch := receive(t, "the watch", registry.calls)
	done := s.goDo(s.request("charge", patience))
	held.waitFor(t, 1)
	watch.send(t, toggled(2, a, b, "Terminating"))
	watch.line(t, "") // taken only after the line before was written
	until(t, "the list to be taken", func() bool { return s.loop.disc.rev.Load() == 2 })
	held.release()
	if got := receive(t, "the answer", done); got.status != 200 {
		t.Errorf("%+v", got)
	}
	if n, m := a.requests.Load(), b.requests.Load(); n != 0 || m != 1 {
		t.Errorf("the server that drains got %d requests, the other one %d", n, m)
	}
}

// What a server is told that the client has left is too much by no more than one hold.
func TestTimeToldWhileHeldUp(t *testing.T) {
	const slack = 50 * time.Millisecond // of sockets
	for at, most := range map[checkpoint]time.Duration{attemptDecided: slack, clockRead: hold + slack} {
		for _, upload := range []bool{false, true} {
			t.Run(string(at)+", passed on "+strconv.FormatBool(upload), func(t *testing.T) {
				lag := machineLag(t)
				excess := make(chan time.Duration, 1)
				var cut time.Time
				b := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
					ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
					if err != nil {
						t.Error(err)
					}
					excess <- time.Duration(ms)*time.Millisecond - time.Until(cut)
					return ok(c, r, body)
				})
				p, a, conn, _ := exchanging(t, b)
				p.put(conn)
				p.offer = func(any) {}
				a.call.out = outboundPost([]byte("plate 12-34"))
				if upload {
					wholeUpload(t, a, patience)
					a.cut = a.call.out.upload.whole().Add(patience)
				}
				cut = a.cut
				p.hook = func(c checkpoint) {
					if c == at {
						time.Sleep(hold)
					}
				}
				if r := p.send(a); r.result != balance.OK {
					t.Fatalf("result %v", r.result)
				}
				if over := <-excess; over > most+lag() {
					t.Errorf("the server is told %v more than the client has left, want %v at most", over, most)
				}
			})
		}
	}
}

// The window of a key that ends while a further attempt is held up ends the attempt: it is not written.
func TestWindowOfAKeyEndsWhileHeldUp(t *testing.T) {
	for _, at := range []checkpoint{attemptDecided, clockRead} {
		t.Run(string(at), func(t *testing.T) {
			b := newBackend(t, "a", respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true))
			p, a, conn, _ := exchanging(t, b)
			p.put(conn)
			keyedWindow(p, a, hold, []byte("plate 12-34"))
			if r := p.send(a); r.result != balance.Failed {
				t.Fatalf("the first attempt: result %v", r.result)
			}
			p.hook = func(c checkpoint) {
				if c == at {
					<-time.After(time.Until(a.call.out.ran.Add(hold)))
					time.Sleep(20 * time.Millisecond) // the deadline on the connection has passed, too
				}
			}
			if r := p.send(further(a)); r.result != balance.NotSent {
				t.Errorf("result %v, want that nothing was sent", r.result)
			}
			if n := b.requests.Load(); n != 1 {
				t.Errorf("%d attempts at the server, want the first alone", n)
			}
		})
	}
}
