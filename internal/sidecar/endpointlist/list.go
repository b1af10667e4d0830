package endpointlist

import (
	"hash/fnv"
	"io"
	"net"
	"strconv"

	"marblelane/balance"
)

// List is one object of a list service's response: the full endpoint list, or the changes since the last object.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"` // true: Targets is the full list; false: Targets are the changed entries
	Targets []Target `json:"targets"`
}

// Target is the entry of one server in an endpoint list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // start time in ms since the Unix epoch, as the sidecar's clock
}

// ServerID returns the balancer's identifier of the server with that UID, which is a hash of the UID.
func ServerID(uid string) balance.ServerID {
	return balance.ServerID(hash(uid))
}

// AddressKey returns a hash that identifies the address endpoint, or balance.NoAddress if endpoint is not a valid
// host:port.
func AddressKey(endpoint string) uint64 {
	host, port, err := net.SplitHostPort(endpoint)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 || host == "" {
		return balance.NoAddress
	}
	return hash(endpoint)
}

// hash returns the 64-bit FNV-1a hash of text.
func hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// IndexOf returns the index of a zone or server model, or -1 if the settings do not contain name.
func IndexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}
