package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"

	"marblelane/internal/route"
)

const (
	defaultKeyHeader = "X-Route-Key"

	// MaxRouteAddrs bounds the addresses of the section.
	MaxRouteAddrs   = 16
	maxHeaderName   = 100 // bytes
	headerNameChars = "-0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)

// Routes is the section routes.
type Routes struct {
	Addrs     []string // of the list services
	Schemas   []int    // of routes that this sidecar reads
	KeyHeader string   // header of a request's route key, in canonical form
	Digest    string   // SHA-256 of the configuration file, in hex
}

// routesFile is the JSON form of the section.
type routesFile struct {
	Addrs     []string `json:"addrs"`   // of the list services; empty: those of the server list
	Schemas   []int    `json:"schemas"` // that are read; empty: all that this program reads
	KeyHeader string   `json:"key_header"`
}

// routes reads the section, without Digest; nil: there is none.
func (f *file) routes(lists []string) (*Routes, error) {
	if len(f.Routes) == 0 || bytes.Equal(f.Routes, []byte("null")) {
		return nil, nil
	}
	var in routesFile
	dec := json.NewDecoder(bytes.NewReader(f.Routes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	if f.Name == "" {
		return nil, errors.New("name: empty, and a sidecar with routes is known by it")
	}
	if len(in.Addrs) > MaxRouteAddrs {
		return nil, fmt.Errorf("routes.addrs: %d addresses, more than %d", len(in.Addrs), MaxRouteAddrs)
	}
	for i, addr := range in.Addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("routes.addrs[%d]: %w", i, err)
		}
	}
	for i, schema := range in.Schemas {
		if schema < 1 || schema > route.Newest || slices.Contains(in.Schemas[:i], schema) {
			return nil, fmt.Errorf("routes.schemas[%d]: %d is not between 1 and %d, or there twice", i, schema, route.Newest)
		}
	}
	if in.KeyHeader == "" {
		in.KeyHeader = defaultKeyHeader
	}
	if len(in.KeyHeader) > maxHeaderName || strings.Trim(in.KeyHeader, headerNameChars) != "" {
		return nil, fmt.Errorf("routes.key_header: %.100q is no name of a header", in.KeyHeader)
	}
	cfg := &Routes{Addrs: in.Addrs, Schemas: in.Schemas, KeyHeader: http.CanonicalHeaderKey(in.KeyHeader)}
	if len(cfg.Addrs) == 0 {
		cfg.Addrs = lists
	}
	for schema := 1; len(in.Schemas) == 0 && schema <= route.Newest; schema++ {
		cfg.Schemas = append(cfg.Schemas, schema)
	}
	return cfg, nil
}

// RouteKey is the route key of a request as the balancer takes it; 0: it has none.
func (c *Routes) RouteKey(h http.Header) uint64 {
	v := h.Get(c.KeyHeader)
	if v == "" {
		return 0
	}
	return max(Hash(v), 1)
}

// Hash is the FNV-1a hash of a text.
func Hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// ProgramVersion is the version of this program as reports name it.
func ProgramVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return fmt.Sprintf("%.100s", info.Main.Version)
}
