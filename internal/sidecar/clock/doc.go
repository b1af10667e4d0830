// Package clock converts between the balancer's milliseconds and Go's times, and detects steps of the wall clock.
package clock
