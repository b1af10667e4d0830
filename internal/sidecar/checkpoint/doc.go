// Package checkpoint names points in the handling of a request and in the shutdown where tests can hold up the process.
package checkpoint
