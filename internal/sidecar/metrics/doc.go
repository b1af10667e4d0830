// Package metrics holds the metrics of a sidecar process and writes them in the Prometheus text format.
package metrics
