// Package netcall holds what the sidecar asks of the system beside net: which party an errno blames, calls that are made again
// while the system is short of resources, looks at a connection that take nothing from it, and planted faults.
package netcall
