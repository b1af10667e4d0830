// Package framing keeps the head of the HTTP message that is being read from a connection, to check what net/http does not.
package framing
