// Package sidecar assembles the sidecar process from the packages below it: it accepts requests of clients, forwards
// them to servers and follows the endpoint lists of discovery. All load-balancing decisions are made by package
// balance.
package sidecar
