// Package clientserver serves HTTP to the application: it reads requests, passes them to the event loop and writes
// exactly one response to each.
//
// Server is the HTTP handler. pendingCall handles one request from its parsed head until its response is written.
// Limiter is the listener that limits the number of client connections, and ClientConn is one such connection.
//
// Goroutines: net/http runs one for each connection, which ends with the connection. A request whose body is streamed
// to the server has one more, which passes the body to the attempts and ends before the handler of the request returns.
// A connection that is closed after a response has one that discards input until the client closes its side, for at
// most CloseWindow.
//
// Locks: Limiter.mu guards the connections and the state of their requests. ClientConn.readLock guards the input of one
// connection. openBodies.mu guards the bodies that are being read. readLock is the only one of them that may be taken while
// another lock is held, which is then Limiter.mu or openBodies.mu. While readLock is held only inputClock.mu is taken. A
// memory.Budget has a lock of its own, which may be taken while any of them but readLock is held.
package clientserver
