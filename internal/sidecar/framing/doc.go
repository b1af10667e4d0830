// Package framing keeps the head of the HTTP message that is being read from a connection, to check what net/http does
// not check: which headers give the length of the message, and whether another message follows it.
//
// It starts no goroutines. HeadConn.mu guards the head, as net/http reads on while a handler works.
package framing
