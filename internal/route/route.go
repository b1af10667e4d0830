// Package route has the documents of routes, which say what the requests of tenants prefer, and the messages between
// sidecars and the list service. The service writes a document in the schema that a sidecar reads; readers of earlier
// schemas are frozen, and Compare tells whether one of them would act differently.
//
// What routes promise: docs/routes.md.
package route

import "marblelane/balance"

// Table is all routes as of one revision. It is written by Write, never encoded directly.
type Table struct {
	Rev    int64   // of the last change; an epoch and a count, like that of the server list
	Closed int64   // no attempt begins any more under this revision, or one before it
	Routes []Route // by tenant
}

// Route is what the requests of one tenant prefer.
type Route struct {
	Tenant  string   // by its name in the settings; empty: all requests, where the settings name no tenants
	Classes []string // of requests that may go to the canary; empty: all; since schema 2
	Base    Subset   // preferred by requests that do not go to the canary
	Canary  Subset   // used while Rollout is set
	Share   float64  // canary fraction: of the requests that prefer the canary, 0 to 1
	Rollout string   // ID of the live rollout; empty: none
	Step    int      // of the rollout, from 0
	Budget  bool     // an attempt to the canary needs a unit of the rollout's budget
	Late    bool     // answers after the latency objective are failures of the canary
	Note    string   // for people; since schema 2
}

// Subset selects the servers whose entries match each list that is not empty. The zero Subset selects all servers.
type Subset struct {
	Model    []string `json:"model,omitempty" toml:"model"`
	PodGroup []int    `json:"pod_group,omitempty" toml:"pod_group"`
	Zone     []string `json:"az,omitempty" toml:"az"`
	UID      []string `json:"uid,omitempty" toml:"uid"`
}

// NameIndexes are the numbers by which a sidecar's balancer knows what its settings name.
type NameIndexes struct {
	Tenants, Classes, Zones, Kinds map[string]int
	Server                         func(uid string) balance.ServerID
}
