// Package netcall holds what the sidecar asks of the system beside package net: which party an errno blames, calls that are
// repeated while the system is short of resources, the state of a connection without reading from it, and planted faults.
//
// It starts no goroutine and holds no lock. Its calls wait only where their name or comment says that they retry.
package netcall
