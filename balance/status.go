package balance

import "math"

// ListStatus is the state of the server list, for monitoring.
type ListStatus struct {
	Rev       int64
	Age       float64 // ms since a list service last said anything
	Source    int     // the service watched, by preference
	Suspected int     // servers in use that the last full list left out
	Stale     bool    // outcomes count more than the list
	Rejected  bool    // the lists that come are older than the one held
}

// ListStatus returns the state of the server list.
func (b *Balancer) ListStatus(now float64) ListStatus {
	l := b.list
	status := ListStatus{
		Rev: l.rev, Age: now - l.lastContact, Source: l.source, Stale: l.stale, Rejected: l.rejectedSince > 0,
	}
	for _, s := range b.servers {
		if s.suspectedSince > 0 {
			status.Suspected++
		}
	}
	return status
}

// ListRev returns the revision of the list held; 0: there is no list, or it has no revisions.
func (b *Balancer) ListRev() int64 { return b.list.rev }

// UsableServer returns the entry of a server that requests may be sent to.
func (b *Balancer) UsableServer(id ServerID) (Server, bool) {
	if s := b.byID[id]; s != nil && s.State == Ready {
		return s.Server, true
	}
	return Server{}, false
}

// FleetSize returns the estimated number of processes that share what the fleet allows together; 0: not known.
func (b *Balancer) FleetSize() float64 { return b.slowStart.fleet.size }

// ZoneStatus is the state of zones, for monitoring.
type ZoneStatus struct {
	Suspended int     // zones that get nothing, or are being tried
	Spill     float64 // part of first attempts that begin beyond the own zone
	FarSpill  float64 // part of first attempts that begin beyond the own region
	Evidence  float64 // highest evidence against a zone
}

// ZoneStatus returns the state of zones.
func (b *Balancer) ZoneStatus() ZoneStatus {
	status := ZoneStatus{Spill: b.locality.spill[0], FarSpill: b.locality.spill[1]}
	for _, z := range b.locality.zones {
		if z.suspended {
			status.Suspended++
		}
		status.Evidence = math.Max(status.Evidence, z.evidence)
	}
	return status
}

// CountServers returns how many servers are listed, and how many of them get no requests now, as they drain or are
// ejected.
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
