package sidecar

// This file has what clients' connections tell the event loop.

// arrival is a new request.
type arrival struct{ call *call }

// clientGoneEvent tells that the client is gone, or its answer was overdue.
type clientGoneEvent struct{ call *call }
