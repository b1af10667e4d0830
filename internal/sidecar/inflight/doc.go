// Package inflight defines the types of a request in flight that several packages share: the client's call, the request
// that is sent to servers, the outcome of an attempt, and the response.
//
// It starts no goroutines. Upload.mu synchronizes the goroutine that receives a body with the attempt that sends it. An
// attempt holds Call.WriteLock while it writes its request.
package inflight
