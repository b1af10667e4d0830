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

// nodeName returns the library's node name of a process. Each incarnation is a node of its own.
func nodeName(id roster.ID) string { return id.Name + "@" + strconv.FormatInt(id.Start, 10) }

// parseNodeName parses a node name. It accepts only the form that nodeName returns.
func parseNodeName(node string) (roster.ID, error) {
	at := strings.LastIndexByte(node, '@')
	if at < 0 {
		return roster.ID{}, fmt.Errorf("node name %q: not in the form NAME@START", node)
	}
	start, err := strconv.ParseInt(node[at+1:], 10, 64)
	id := roster.ID{Name: node[:at], Start: start}
	if err != nil || nodeName(id) != node {
		return roster.ID{}, fmt.Errorf("node name %q: not in the form NAME@START", node)
	}
	return id, checkID(id)
}

// checkID checks the identity of a process received from outside.
func checkID(id roster.ID) error {
	if id.Start <= 0 || id.Start >= maxStart {
		return fmt.Errorf("start %d of %q is no time in Unix milliseconds", id.Start, id.Name)
	}
	return checkText(id.Name, 1, maxNameBytes)
}

// meta is a node's metadata, encoded as JSON. Unknown fields (of newer versions) are ignored, and missing fields (of
// older versions) are empty.
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
		err = fmt.Errorf("metadata of %d bytes exceeds the limit of %d", len(b), memberlist.MetaMaxSize)
	}
	return b, err
}

func decodeMeta(b []byte) (meta, error) {
	var m meta
	if len(b) > memberlist.MetaMaxSize {
		return m, fmt.Errorf("metadata of %d bytes exceeds the limit of %d", len(b), memberlist.MetaMaxSize)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return meta{}, fmt.Errorf("decode metadata: %w", err)
	}
	return m, errors.Join(checkID(roster.ID{Name: m.Name, Start: m.Start}), checkText(m.Zone, 0, maxZoneBytes),
		checkText(m.Role, 0, maxRoleBytes), checkText(m.Version, 0, maxVersionBytes))
}

// peer is a node of the library that has passed parsePeer.
type peer struct {
	id   roster.ID
	addr string
	meta meta
	// The node's fields that the peer was parsed from (see matches).
	ip      net.IP
	port    uint16
	rawMeta []byte
}

// matches reports whether parsing a node would yield this peer. The name is not compared, as the metadata contains it.
func (p *peer) matches(n *memberlist.Node) bool {
	return p.port == n.Port && p.ip.Equal(n.Addr) && bytes.Equal(p.rawMeta, n.Meta)
}

// parsePeer checks and converts a node that the library reports.
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
		return peer{}, fmt.Errorf("node %s: metadata names %s@%d", n.Name, m.Name, m.Start)
	}
	ip, ok := netip.AddrFromSlice(n.Addr)
	if !ok || n.Port == 0 {
		return peer{}, fmt.Errorf("node %s: address or port is missing", n.Name)
	}
	if err := checkMemberAddr(networks, ip); err != nil {
		return peer{}, fmt.Errorf("node %s: %w", n.Name, err)
	}
	m.Name = id.Name // lets the name in the metadata and in the ID share memory
	for _, s := range []*string{&m.Zone, &m.Role, &m.Version} {
		*s = unique.Make(*s).Value() // lets members with equal texts share memory
	}
	return peer{id: id, addr: netip.AddrPortFrom(ip.Unmap(), n.Port).String(), meta: m, ip: n.Addr, port: n.Port,
		rawMeta: n.Meta}, nil
}
