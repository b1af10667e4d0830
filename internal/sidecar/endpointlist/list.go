package endpointlist

import (
	"hash/fnv"
	"io"
	"net"
	"strconv"

	"marblelane/balance"
)

// List is one object of a list service's answer: the whole list, or what changed.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"` // Targets are all servers
	Targets []Target `json:"targets"`
}

// Target is the entry of a server.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // on the scale of the sidecar's clock, which starts at Unix time
}

// ServerID returns the number by which the balancer knows a server, a hash of its name.
func ServerID(uid string) balance.ServerID {
	return balance.ServerID(hash(uid))
}

// AddressKey returns a number that tells one address from another, or balance.NoAddress if endpoint is no host with a port.
func AddressKey(endpoint string) uint64 {
	host, port, err := net.SplitHostPort(endpoint)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
		return balance.NoAddress
	}
	return hash(endpoint)
}

// hash is FNV-1a in 64 bits.
func hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// IndexOf returns the index of a zone or model, or -1 for one that the settings lack.
func IndexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}
