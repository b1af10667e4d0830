package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answerOK is a stock server's 200 answer to a request.
func answerOK(id, uid string) string {
	body := "stock of " + id + " from " + uid
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// answerID returns the request that an answer's body was made for.
func answerID(body string) string {
	var id, uid string
	if n, _ := fmt.Sscanf(body, "stock of %s from %s", &id, &uid); n != 2 {
		return ""
	}
	return id
}

// roundTrip sends a request and reads its answer. The status is 0 if no whole answer has come within wait.
func roundTrip(c net.Conn, in *bufio.Reader, text string, wait time.Duration) (status int, body string, keep bool) {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, "", false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", false
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", false
	}
	return resp.StatusCode, string(b), !resp.Close
}

// verdict writes the result and ends the case.
func verdict(r *record, broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("%s", text)
	fmt.Println(text)
	if broken {
		fmt.Println("the rule was broken")
		end(1)
	}
	fmt.Println("the rule held")
	end(0)
}
