// Package metrics holds the figures of a sidecar's process, and writes them in Prometheus's text form.
package metrics
