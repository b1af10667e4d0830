// Package clientserver serves HTTP to the application: it reads requests, gives them to the event loop and writes the
// one answer of each.
//
// Server is the handler. pendingCall carries one request from its parsed head to its written answer. Limiter is the
// listener that bounds the connections of clients, and ClientConn one such connection.
//
// Goroutines: net/http runs one for each connection, which ends with it. A request whose body is streamed to the server
// has one more, which feeds the body to the attempt and ends before the request's handler returns. A connection that is
// closed after an answer has one that discards input until the client closes too, CloseWindow at most.
//
// Locks: Limiter.mu guards the connections and what they say about their requests. ClientConn.readLock guards the input
// of one connection. openBodies.mu guards the bodies that are being read, and bodyMemory.mu the memory for bodies. Only
// readLock may be taken while another one is held, which is Limiter.mu or openBodies.mu; nothing is locked under it.
package clientserver
