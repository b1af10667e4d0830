// Package discovery calls and watches the list services and posts their responses to the event loop. Package balance
// decides when to call. If an agent pushes the lists, the Client decides by itself and keeps one watch running.
//
// Client.Watch, Client.Fetch and Client.Subscribe start one goroutine each, through the start function passed to New.
// The goroutine of a watch ends when the next watch replaces it, that of a fetch after the response or failure, and all
// of them end with their context. While a watch of an agent waits for the first response it has two more goroutines
// (agentWatch) and waits for both.
//
// Client.mu guards the addresses of the list services. silenceGuard.mu guards the timer of one call.
package discovery
