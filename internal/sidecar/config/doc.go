// Package config reads the configuration file of a sidecar.
package config
