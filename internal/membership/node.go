package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"unique"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
)

// nodeName is the library's name of a process: each incarnation is a node of its own.
func nodeName(id roster.ID) string { return id.Name + "@" + strconv.FormatInt(id.Start, 10) }

// parseNodeName parses a node's name. It accepts only the form that nodeName gives.
func parseNodeName(node string) (roster.ID, error) {
	at := strings.LastIndexByte(node, '@')
	if at < 0 {
		return roster.ID{}, fmt.Errorf("node %q is no NAME@START", node)
	}
	start, err := strconv.ParseInt(node[at+1:], 10, 64)
	id := roster.ID{Name: node[:at], Start: start}
	if err != nil || nodeName(id) != node {
		return roster.ID{}, fmt.Errorf("node %q is no NAME@START", node)
	}
	return id, checkID(id)
}

// checkID checks a process's identity as it comes from others.
func checkID(id roster.ID) error {
	if id.Start <= 0 || id.Start >= maxStart {
		return fmt.Errorf("start %d of %q is no time in Unix milliseconds", id.Start, id.Name)
	}
	return checkText(id.Name, 1, maxNameBytes)
}

// meta is a node's metadata, in JSON. Fields that a newer program adds are ignored, and those that an older one lacks are
// empty.
type meta struct {
	Name    string `json:"n"`
	Start   int64  `json:"s"`
	Zone    string `json:"z,omitempty"`
	Role    string `json:"r,omitempty"`
	Version string `json:"v,omitempty"`

	Observer bool `json:"o,omitempty"`
}

func (m meta) encode() ([]byte, error) {
	b, err := json.Marshal(m)
	if err == nil && len(b) > memberlist.MetaMaxSize {
		err = fmt.Errorf("%d bytes of metadata are more than %d", len(b), memberlist.MetaMaxSize)
	}
	return b, err
}

func decodeMeta(b []byte) (meta, error) {
	var m meta
	if len(b) > memberlist.MetaMaxSize {
		return m, fmt.Errorf("%d bytes of metadata are more than %d", len(b), memberlist.MetaMaxSize)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return meta{}, fmt.Errorf("metadata: %w", err)
	}
	return m, errors.Join(checkID(roster.ID{Name: m.Name, Start: m.Start}), checkText(m.Zone, 0, maxZoneBytes),
		checkText(m.Role, 0, maxRoleBytes), checkText(m.Version, 0, maxVersionBytes))
}

// peer is a checked node of the library.
type peer struct {
	id   roster.ID
	addr string
	meta meta
	// What it was parsed from.
	ip      net.IP
	port    uint16
	rawMeta []byte
}

// matches reports whether a node is what this peer was parsed from. The metadata holds the name.
func (p *peer) matches(n *memberlist.Node) bool {
	return p.port == n.Port && p.ip.Equal(n.Addr) && bytes.Equal(p.rawMeta, n.Meta)
}

// parsePeer checks a node that the library reports.
func parsePeer(n *memberlist.Node, networks []netip.Prefix) (peer, error) {
	id, err := parseNodeName(n.Name)
	if err != nil {
		return peer{}, err
	}
	m, err := decodeMeta(n.Meta)
	if err != nil {
		return peer{}, fmt.Errorf("node %s: %w", n.Name, err)
	}
	if m.Name != id.Name || m.Start != id.Start {
		return peer{}, fmt.Errorf("node %s says of itself that it is %s@%d", n.Name, m.Name, m.Start)
	}
	ip, ok := netip.AddrFromSlice(n.Addr)
	if !ok || n.Port == 0 {
		return peer{}, fmt.Errorf("node %s has no address", n.Name)
	}
	if err := checkMemberAddr(networks, ip); err != nil {
		return peer{}, fmt.Errorf("node %s: %w", n.Name, err)
	}
	m.Name = id.Name // shares the memory of both
	for _, s := range []*string{&m.Zone, &m.Role, &m.Version} {
		*s = unique.Make(*s).Value() // shares the memory with other members
	}
	return peer{id: id, addr: netip.AddrPortFrom(ip.Unmap(), n.Port).String(), meta: m, ip: n.Addr, port: n.Port,
		rawMeta: n.Meta}, nil
}
