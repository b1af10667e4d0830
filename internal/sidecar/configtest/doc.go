// Package configtest creates configuration files of sidecars for tests.
package configtest
