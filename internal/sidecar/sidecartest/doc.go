// Package sidecartest provides fake servers, a fake list service and failing connections for the tests of the sidecar.
package sidecartest
