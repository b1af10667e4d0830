// Package framing records the head of the HTTP message that is being read from a connection. The head is used for
// checks that net/http does not make: which headers state the length of the message, and whether another message
// follows.
//
// It starts no goroutines. HeadConn.mu guards the head, because net/http continues to read while a handler runs.
package framing
