package lab

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

// resendRule selects the requests that a planted defect sends again, and how it does so.
type resendRule struct {
	defect   string // name of the defect; empty means none
	sidecars []int  // numbers of the sidecars whose requests are sent again
}

// resendDelay is the delay before "send-again", "tell-whole" and "send-often" send a request again. The first
// request has ended by then.
const resendDelay = 1500 * time.Millisecond

// observeRequest is called for each request that reaches a server. It sends the request again to another server if a
// planted defect requires it.
func (r *run) observeRequest(server, sidecar int, req *http.Request, body []byte) {
	rule := r.resendRule.Load()
	if rule == nil || rule.defect == "" || req.Header.Get("X-Overheard") != "" {
		return
	}
	if !slices.Contains(rule.sidecars, sidecar) || r.resendCount.Add(1) > maxResends {
		return
	}
	other := r.servers[(server+1)%len(r.servers)].Port.Addr(sidecar)
	id := req.Header.Get("X-Request-ID")
	r.Tasks.Go(func() {
		timeoutHeader := ""
		if rule.defect == "tell-whole" {
			timeoutHeader = "X-Timeout-Ms: " + req.Header.Get("X-Timeout-Ms") + "\r\n" // not reduced by resendDelay
		}
		// A resend that fails is no defect, so its error is ignored.
		send := func(id string) { _ = resend(other, req, id, timeoutHeader, body) }
		switch rule.defect {
		case "send-twice":
			send(id)
		case "send-again", "tell-whole":
			time.Sleep(resendDelay)
			send(id)
		case "send-often":
			time.Sleep(resendDelay)
			for range 3 {
				send(id)
			}
		case "invent":
			send("00000000deadbeef")
		}
	})
}

// maxResends is the largest number of requests that are sent again in a run.
const maxResends = 5

// resend sends a request as a sidecar would and waits for the response. extraHeader is a whole header line, or empty.
func resend(addr string, req *http.Request, id, extraHeader string, body []byte) error {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Overheard: 1\r\n%sContent-Length: %d\r\n\r\n",
		req.Method, id, extraHeader, len(body))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1<<10))
	return err
}
