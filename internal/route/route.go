// Package route defines the routing table, its encoded documents, and the messages between sidecars and the list
// service. A route selects the servers that the requests of one tenant prefer. The service writes a document in a
// schema that the sidecar reads. Readers of earlier schemas are frozen, and Compare reports whether one of them would
// act differently on a table.
//
// The guarantees of routes are described in docs/routes.md.
package route

import "marblelane/balance"

// Table holds all routes as of one revision. It is encoded by Write only: its Go field names are no part of a document.
type Table struct {
	Rev    int64   // revision of the last change: an epoch and a counter, as for the server list
	Closed int64   // no attempt starts under this revision or an earlier one
	Routes []Route // sorted by tenant in documents
}

// Route describes which servers the requests of one tenant prefer.
type Route struct {
	Tenant  string   // name in the settings; empty: all requests, if the settings name no tenants
	Classes []string // request classes that may use the canary; empty: all; since schema 2
	Base    Subset   // servers preferred by requests that do not use the canary
	Canary  Subset   // servers of the canary; used only while Rollout is set
	Share   float64  // fraction of the requests that prefer the canary, 0 to 1
	Rollout string   // ID of the live rollout; empty: none
	Step    int      // current step of the rollout, from 0
	Budget  bool     // each attempt to the canary requires a unit of the rollout's budget
	Late    bool     // responses after the latency objective count as failures of the canary
	Note    string   // comment of the operator, without effect; since schema 2
}

// Subset selects the servers that match every non-empty list. The zero Subset selects all servers.
type Subset struct {
	Model    []string `json:"model,omitempty" toml:"model"`
	PodGroup []int    `json:"pod_group,omitempty" toml:"pod_group"`
	Zone     []string `json:"az,omitempty" toml:"az"`
	UID      []string `json:"uid,omitempty" toml:"uid"`
}

// NameIndexes maps the names in a sidecar's settings, and the uids of servers, to the numbers that its balancer uses.
type NameIndexes struct {
	Tenants, Classes, Zones, Kinds map[string]int                    // Kinds: by model
	Server                         func(uid string) balance.ServerID // nil: servers have no uids
}
