// Package config reads and checks the configuration file of a sidecar.
package config
