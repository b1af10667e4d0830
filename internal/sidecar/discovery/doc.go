// Package discovery calls and watches the list services and posts what they answer to the event loop. Package balance decides
// when to call; where lists are pushed by an agent, the Client keeps a watch by itself.
//
// Client.Watch, Client.Fetch and Client.Subscribe start one goroutine each through the function that New was given. A watch's
// ends when the next one replaces it, a fetch's with its answer or failure, and all of them with their context. A watch of an
// agent has two more goroutines while it looks for a call that is answered (agentWatch); it waits for both.
//
// Client.mu guards the addresses of the list services. silenceGuard.mu guards the timer of one call.
package discovery
