// Package netcall adds to package net what the sidecar needs of the system. It classifies error numbers by the party at
// fault, repeats calls while the system is short of resources, queries the state of a connection without reading from
// it, and injects faults.
//
// It starts no goroutine and holds no lock. A call waits only where its name or comment says that it retries.
package netcall
