// Package upstream sends attempts and health checks to servers: it opens and reuses connections, writes requests and reads
// answers.
//
// Pool.Send and Pool.HealthCheck run on the goroutine of their caller, one for each attempt, and return when the exchange has
// ended. The package starts two kinds of goroutines itself:
//   - a dial, one for each new connection (Pool.dial). It may outlast the attempt that started it. Pool.Close cancels the
//     dials that are still running and waits for them.
//   - the watch for an early answer (earlyAnswer), one for each body that is forwarded as it arrives. The request writer
//     waits for its end before anything else reads the connection.
//
// Pool.mu guards the idle connections, the waiting attempts and the counts of the pool and of all its servers.
// requestWriter.mu guards the deadlines of a connection while a request is written to it. idleAges.mu guards what is learned
// of idle connections. None of the three is held while another is taken.
package upstream
