// Package upstream sends attempts and health checks to servers: it opens and reuses connections, writes requests and
// reads responses.
//
// Pool.Send and Pool.HealthCheck run on the goroutine of their caller, one for each attempt, and return when the
// exchange is over. The package itself starts two kinds of goroutines:
//   - Pool.dial, one for each new connection. It may outlast the attempt that started it. Pool.Close cancels the dials
//     that are still running and waits for them.
//   - the watch for an early response (earlyResponseWatch), one for each body that is forwarded as it arrives. The
//     request writer waits until it is done before anything else reads the connection.
//
// Pool.mu guards the idle connections, the waiting attempts and the counts of the pool and of all its servers.
// requestWriter.mu guards the deadlines of a connection while a request is written to it. idleAges.mu guards the
// statistics of idle connections. No goroutine holds two of the three at once.
package upstream
