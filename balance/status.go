package balance

import "math"

// ListStatus is the state of the server list, for monitoring.
type ListStatus struct {
	Rev       int64
	Age       float64 // ms since the last event from a list service
	Source    int     // index of the watched list service, in order of preference
	Suspected int     // servers that the last full list omitted and that are still in use
	Stale     bool    // no list service has responded for Config.StaleAfter
	Rejected  bool    // the received lists are rejected because they are older than the current one
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

// ListRev returns the revision of the current list; 0: there is no list, or it has no revisions.
func (b *Balancer) ListRev() int64 { return b.list.rev }

// UsableServer returns the entry of a server, and false unless the server is listed as ready.
func (b *Balancer) UsableServer(id ServerID) (Server, bool) {
	if s := b.byID[id]; s != nil && s.State == Ready {
		return s.Server, true
	}
	return Server{}, false
}

// FleetSize returns the estimated number of processes that share the limits of the fleet; 0: unknown.
func (b *Balancer) FleetSize() float64 { return b.slowStart.fleet.size }

// ZoneStatus is the state of zones, for monitoring.
type ZoneStatus struct {
	Suspended int     // zones that get no requests, or only the few of a trial
	Spill     float64 // fraction of first attempts that skip the own zone
	FarSpill  float64 // fraction of those attempts that also skip the own region
	Evidence  float64 // highest failure evidence against any zone
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

// CountServers returns the number of listed servers, and how many of them get no requests now because they are draining
// or ejected.
func (b *Balancer) CountServers(now float64) (listed, avoided int) {
	b.now = now
	for _, s := range b.servers {
		if s.State != Ready || b.outliers.ejected(s) {
			avoided++
		}
	}
	return len(b.servers), avoided
}

// CanaryBudgets returns the budgets of all canaries that need one or were granted units. Of the canaries whose route
// has ended, only the budgets of the last maxEndedBudgets are kept.
func (b *Balancer) CanaryBudgets() []CanaryBudget { return b.canary.budgets.snapshot() }
