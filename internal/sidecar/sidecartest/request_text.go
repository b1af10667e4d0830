package sidecartest

// RequestText returns the text of a request of class charge. The extra header lines, each with CRLF, are added to the
// head.
func RequestText(id, lines, body string) string {
	return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: charge\r\n" +
		"X-Tenant-Id: kita\r\nX-Timeout-Ms: 1000\r\n" + lines + "\r\n" + body
}
