// Package sidecar joins the packages below it to one process: applications in front, servers behind, discovery beside. All
// decisions are those of package balance.
package sidecar
