package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// answerSlack is how long after its time a request may get its final answer: half a second, and the 50 ms by which
	// each limit is longer on sockets.
	answerSlack = 550 * time.Millisecond
	// watchAfter is how long a client goes on to wait after that, so that the record shows whether an answer came at all.
	watchAfter = 20 * time.Second
)

// Outcome is how a request on a new connection ended, as its client saw it.
type Outcome struct {
	Status int           // of the answer; 0: there was none
	Body   string        // of the answer
	Took   time.Duration // from the last byte of the request to the last byte of the answer, or to the end without one
	Closed bool          // the connection was refused, or ended with no byte of an answer
	Err    error
}

// Lost reports whether a request with this much time was lost: it was taken, and no final answer came in time.
func (o *Outcome) Lost(timeout time.Duration) bool { return !o.Closed && o.Took > timeout+answerSlack }

func (o *Outcome) String() string {
	switch {
	case o.Closed:
		return fmt.Sprintf("refused or closed unanswered after %v: %v", o.Took.Round(time.Millisecond), o.Err)
	case o.Status == 0:
		return fmt.Sprintf("no answer within %v: %v", o.Took.Round(time.Millisecond), o.Err)
	}
	return fmt.Sprintf("answer %d after %v", o.Status, o.Took.Round(time.Millisecond))
}

// head returns the head of a request without its empty line.
func head(method, class, id string, timeout time.Duration, length int) string {
	text := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: shannonside\r\nX-Timeout-Ms: %d\r\n", method, id, class, timeout.Milliseconds())
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text
}

// callOnce sends one request on a new connection, which stays open until its answer has come or watchAfter is over.
func callOnce(addr, method, class, id string, timeout time.Duration, body []byte) *Outcome {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return &Outcome{Closed: true, Err: err}
	}
	defer conn.Close()
	_, err = io.WriteString(conn, head(method, class, id, timeout, len(body))+"\r\n")
	if err == nil {
		_, err = conn.Write(body)
	}
	written := time.Now()
	if err != nil {
		return &Outcome{Closed: true, Err: err}
	}
	conn.SetReadDeadline(written.Add(timeout + watchAfter))
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		timedOut, _ := err.(net.Error)
		return &Outcome{Took: time.Since(written), Closed: timedOut == nil || !timedOut.Timeout(), Err: err}
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return &Outcome{Took: time.Since(written), Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return &Outcome{Status: resp.StatusCode, Body: string(text), Took: time.Since(written), Err: err}
}

// callKept sends one request through a client that keeps its connections, and returns the answer.
func callKept(client *http.Client, addr, method, class, id string) (status int, body string, err error) {
	r, err := http.NewRequest(method, "http://"+addr+"/api", nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "backend.local"
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Tenant-Id", "shannonside")
	r.Header.Set("X-Timeout-Ms", "700")
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
