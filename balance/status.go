package balance

// This file tells who watches over a balancer what it makes of things. It changes nothing.

import "math"

// ListState is what a balancer makes of its list, for who watches over it.
type ListStatus struct {
	Rev       int64
	Age       float64 // ms since a list service said anything
	Source    int     // the service watched, by preference
	Suspected int     // servers that are used though the last whole list left them out
	Stale     bool    // outcomes count more than the list
	Rejected  bool    // lists are older than the one held, and not taken
}

// List tells what is made of the list.
func (b *Balancer) ListStatus(now float64) ListStatus {
	l := b.list
	out := ListStatus{
		Rev: l.rev, Age: now - l.lastContact, Source: l.source, Stale: l.stale, Rejected: l.rejectedSince > 0,
	}
	for _, s := range b.servers {
		if s.suspectedSince > 0 {
			out.Suspected++
		}
	}
	return out
}

// ListRev is the revision of the list held, without a look at the servers; 0: none, or one without revisions.
func (b *Balancer) ListRev() int64 { return b.list.rev }

// Used gives a server that requests may be sent to, as its newest entry that counts has it.
func (b *Balancer) UsableServer(id ServerID) (Server, bool) {
	if s := b.byID[id]; s != nil && s.State == Ready {
		return s.Server, true
	}
	return Server{}, false
}

// FleetSize tells how many processes this one believes to share what the fleet allows together; 0: nobody told it.
func (b *Balancer) FleetSize() float64 { return b.slowStart.fleet.size }

// ZoneState is what a balancer makes of zones, for who watches over it.
type ZoneStatus struct {
	Left     int     // zones that get nothing, or are being tried
	Spill    float64 // part of first sends that begin beyond the own zone
	FarSpill float64 // ... beyond the own region
	Evidence float64 // against the zone that has most against it
}

// Zones tells what is made of zones.
func (b *Balancer) ZoneStatus() ZoneStatus {
	out := ZoneStatus{Spill: b.locality.spill[0], FarSpill: b.locality.spill[1]}
	for _, z := range b.locality.zones {
		if z.left {
			out.Left++
		}
		out.Evidence = math.Max(out.Evidence, z.evidence)
	}
	return out
}

// Avoided tells how many servers are listed, and how many of those get nothing now: they drain or rest.
func (b *Balancer) CountServers(now float64) (listed, avoided int) {
	b.now = now
	for _, s := range b.servers {
		if s.State != Ready || b.outliers.ejected(s) {
			avoided++
		}
	}
	return len(b.servers), avoided
}

// CanaryBudgets returns the newest state of the budgets of all canaries that need one or were granted units; of the
// canaries whose route has ended, the last 64.
func (b *Balancer) CanaryBudgets() []CanaryBudget { return b.canary.budgets.snapshot() }
