// Package configtest makes configuration files for the tests of the sidecar.
package configtest
