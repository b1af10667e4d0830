package sidecar

// This file is the section members of the configuration, see docs/membership.md.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"marblelane/internal/membership"
	"marblelane/internal/membership/addrcheck"
)

const (
	roleSidecar = "sidecar"
	// longestVersion is what a member may say.
	longestVersion = 64
)

// manageWait is for a whole call of the management address, and for its answer to be taken.
const manageWait = 2 * time.Second

// membersConfig is the section members.
type membersConfig struct {
	group membership.Config
	text  string // of the section
}

// members reads the section; nil: there is none.
func (f *file) members(zone string, peers int) (*membersConfig, error) {
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
		return nil, errors.New("name: empty, and a member is known by it")
	}
	group, err := in.Config() // its errors name the key
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := json.Compact(&text, f.Members); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	group.Name, group.Zone, group.Role, group.Peers = f.Name, zone, roleSidecar, peers
	group.Version = fmt.Sprintf("%.*s", longestVersion, version())
	if err := addrcheck.Check(group); err != nil {
		return nil, fmt.Errorf("this sidecar as a member: %w", err)
	}
	return &membersConfig{group, text.String()}, nil
}

// sameMembers tells whether two configurations mean the same members.
func sameMembers(a, b *membersConfig) bool {
	return a == nil && b == nil || a != nil && b != nil && a.text == b.text
}
