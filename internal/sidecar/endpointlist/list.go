package endpointlist

import (
	"hash/fnv"
	"io"
	"net"
	"strconv"

	"marblelane/balance"
)

// List is the form in which discovery tells of servers.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // on the scale of the sidecar's clock, which starts at Unix time
}

func ServerID(uid string) balance.ServerID {
	h := fnv.New64a()
	io.WriteString(h, uid)
	return balance.ServerID(h.Sum64())
}

// AddressKey tells one address from another.
func AddressKey(endpoint string) uint64 {
	host, port, err := net.SplitHostPort(endpoint)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
		return balance.NoAddress
	}
	h := fnv.New64a()
	io.WriteString(h, endpoint)
	return h.Sum64()
}

// IndexOf gives -1 for a name that the settings lack.
func IndexOf(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}
