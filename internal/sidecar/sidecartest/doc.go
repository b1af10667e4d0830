// Package sidecartest has stand-ins for servers and discovery, and connections that fail, for the tests of the sidecar.
package sidecartest
