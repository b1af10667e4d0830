package upstream

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/sidecartest"
)

// If the process is delayed once during an attempt, the time that the server is given exceeds what the client has left
// by at most that delay.
func TestHeldUp_timeLeftHeader(t *testing.T) {
	const slack = 50 * time.Millisecond // for the transfer through sockets
	for at, maxExcess := range map[checkpoint.Checkpoint]time.Duration{checkpoint.AttemptDecided: slack, checkpoint.ClockRead: sidecartest.StallTime + slack} {
		for _, upload := range []bool{false, true} {
			t.Run(string(at)+", forwarded "+strconv.FormatBool(upload), func(t *testing.T) {
				lag := sidecartest.MachineLag(t)
				excess := make(chan time.Duration, 1)
				var deadline time.Time
				b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
					ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
					if err != nil {
						t.Error(err)
					}
					excess <- time.Duration(ms)*time.Millisecond - time.Until(deadline)
					return sidecartest.OK(c, r, body)
				})
				p, a, conn, _ := newExchange(t, b)
				p.release(conn)
				p.post = func(any) {}
				a.Call.Outbound = outboundPost([]byte("plate 12-34"))
				if upload {
					setReceivedUpload(t, a, sidecartest.WaitTimeout)
					a.Deadline = a.Call.Outbound.Upload.CompletedAt().Add(sidecartest.WaitTimeout)
				}
				deadline = a.Deadline
				p.hook = func(c checkpoint.Checkpoint) {
					if c == at {
						time.Sleep(sidecartest.StallTime)
					}
				}
				if r := p.Send(a); r.Result != balance.OK {
					t.Fatalf("result %v", r.Result)
				}
				if over := <-excess; over > maxExcess+lag() {
					t.Errorf("the server was given %v more than the client has left, want %v at most", over, maxExcess)
				}
			})
		}
	}
}

// A retry that is delayed until the window of its idempotency key has ended is not sent.
func TestHeldUp_keyWindowEnds(t *testing.T) {
	for _, at := range []checkpoint.Checkpoint{checkpoint.AttemptDecided, checkpoint.ClockRead} {
		t.Run(string(at), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true))
			p, a, conn, _ := newExchange(t, b)
			p.release(conn)
			setKeyWindow(p, a, sidecartest.StallTime, []byte("plate 12-34"))
			if r := p.Send(a); r.Result != balance.Failed {
				t.Fatalf("the first attempt: result %v", r.Result)
			}
			p.hook = func(c checkpoint.Checkpoint) {
				if c == at {
					<-time.After(time.Until(a.Call.Outbound.MayHaveRunSince.Add(sidecartest.StallTime)))
					time.Sleep(20 * time.Millisecond) // so that the deadline of the connection has passed, too
				}
			}
			if r := p.Send(nextAttempt(a)); r.Result != balance.NotSent {
				t.Errorf("result %v, want not sent", r.Result)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("the server got %d attempts, want only the first", n)
			}
		})
	}
}
