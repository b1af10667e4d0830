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

	// MaxRouteAddrs is the maximum number of addresses in the section routes.
	MaxRouteAddrs   = 16
	maxHeaderName   = 100 // maximum length of a header name in bytes
	headerNameChars = "-0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)

// Routes is the section routes of the configuration.
type Routes struct {
	Addrs     []string // addresses of the list services that serve the routing table
	Schemas   []int    // schemas of the routing table that this sidecar reads
	KeyHeader string   // name of the header that holds a request's route key, in canonical form
	Digest    string   // SHA-256 of the configuration file, in hex
}

// routesFile is the JSON form of the section routes.
type routesFile struct {
	Addrs     []string `json:"addrs"`   // empty: the list services of the endpoint list
	Schemas   []int    `json:"schemas"` // empty: all schemas that this program reads
	KeyHeader string   `json:"key_header"`
}

// routes parses the section routes; lists are the addresses that it uses by default. It returns nil if there is no
// section. It leaves Digest empty.
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
		return nil, errors.New("name: empty, but required by the section routes")
	}
	if len(in.Addrs) > MaxRouteAddrs {
		return nil, fmt.Errorf("routes.addrs: %d addresses, at most %d are allowed", len(in.Addrs), MaxRouteAddrs)
	}
	for i, addr := range in.Addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("routes.addrs[%d]: %w", i, err)
		}
	}
	for i, schema := range in.Schemas {
		if schema < 1 || schema > route.Newest || slices.Contains(in.Schemas[:i], schema) {
			return nil, fmt.Errorf("routes.schemas[%d]: %d is not between 1 and %d, or is listed twice", i, schema, route.Newest)
		}
	}
	if in.KeyHeader == "" {
		in.KeyHeader = defaultKeyHeader
	}
	if len(in.KeyHeader) > maxHeaderName || strings.Trim(in.KeyHeader, headerNameChars) != "" {
		return nil, fmt.Errorf("routes.key_header: %.100q must consist of at most 100 letters, digits and hyphens", in.KeyHeader)
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

// RouteKey returns the hash of a request's route key, which is never 0, or 0 if the request has no route key.
func (c *Routes) RouteKey(h http.Header) uint64 {
	v := h.Get(c.KeyHeader)
	if v == "" {
		return 0
	}
	return max(Hash(v), 1)
}

// Hash returns the 64-bit FNV-1a hash of text.
func Hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// ProgramVersion returns the version of this program for reports, at most 100 characters; "unknown" if the build has
// none.
func ProgramVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return fmt.Sprintf("%.100s", info.Main.Version)
}
