package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"marblelane/internal/membership"
	"marblelane/internal/membership/addrcheck"
)

const (
	// RoleSidecar is the role under which a sidecar joins the members.
	RoleSidecar = "sidecar"
	maxVersion  = 64 // maximum length in characters of the version that a member announces
)

// Membership is the section members of the configuration.
type Membership struct {
	Group membership.Config
	text  string // the section's JSON text without insignificant white space
}

// members parses the section members. It returns nil if there is none.
func (f *file) members(zone string, peers int) (*Membership, error) {
	if len(f.Members) == 0 || bytes.Equal(f.Members, []byte("null")) {
		return nil, nil
	}
	var in membership.Section
	dec := json.NewDecoder(bytes.NewReader(f.Members))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if f.Name == "" {
		return nil, errors.New("name: empty, but required by the section members")
	}
	group, err := in.Config() // errors name the key
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := json.Compact(&text, f.Members); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	group.Name, group.Zone, group.Role, group.Peers = f.Name, zone, RoleSidecar, peers
	group.Version = fmt.Sprintf("%.*s", maxVersion, ProgramVersion())
	if err := addrcheck.Check(group); err != nil {
		return nil, fmt.Errorf("membership of this sidecar: %w", err)
	}
	return &Membership{group, text.String()}, nil
}

// SameMembership reports whether two memberships have the same configuration or are both off.
func SameMembership(a, b *Membership) bool {
	return a == nil && b == nil || a != nil && b != nil && a.text == b.text
}
