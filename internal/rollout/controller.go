package rollout

import (
	"math"
	"slices"
	"strings"

	"marblelane/internal/route"
)

// Controller is what a leader remembers of processes and rollouts, and what it decides from it. Each leader begins with
// an empty one. Times are milliseconds on the leader's monotonic clock; a time below an earlier one counts as the
// earlier one.
type Controller struct {
	options           Options
	startedAt, now    int64
	processes         map[string]*processState // by AccountKey
	newestStart       map[string]int64         // by name of the process
	revisionTimes     []revisionTime           // oldest first
	rollouts          map[string]*rolloutProgress
	accessChanges     []AccessChange // since the last Tick
	closingRev        int64          // newest revision that this controller has asked to close
	serviceFault      bool           // too many stragglers; valid where serviceFaultKnown
	serviceFaultKnown bool           // for the present time, table and reports
}

// processState is one process, as of its newest report.
type processState struct {
	ProcessStatus
	reportSeq int64
	counts    map[countKey]outcomeCounts // newest totals, of tenants with a live rollout
}

// ProcessStatus is what operators see of a process. Times are milliseconds on the leader's clock.
type ProcessStatus struct {
	route.Process
	LastReport      int64  `json:"heard_ms"`
	LeaseUntil      int64  `json:"permitted_ms"` // its lease may last until then
	AcknowledgedRev int64  `json:"have"`
	UnreadableRev   int64  `json:"unread"`
	ListRev         int64  `json:"list_rev"`
	Version         string `json:"version"`
	Config          string `json:"config"`
	Schemas         []int  `json:"schemas"`
	ShutOut         bool   `json:"shut_out"`
	Gone            bool   `json:"gone"`
}

// AccessChange is a change of whether a process may get leases, for the audit. One of the three is set.
type AccessChange struct {
	route.Process
	ShutOut, Readmitted, Gone bool
	AcknowledgedRev           int64
}

// revisionTime is when the controller first saw a revision.
type revisionTime struct{ rev, at int64 }

// rolloutProgress is what a controller gathers of a live rollout.
type rolloutProgress struct {
	name           string
	lateIsFailure  bool
	postedRev, rev int64
	revSeenAt      int64   // when the controller first saw rev
	canaryEnded    int64   // canary attempts that ended under rev or a later one
	logEvidence    float64 // of the sequential test
	maxLogEvidence float64 // so far
	demands        map[string]*unitDemand
	queue          []int64 // tickets of the processes that lack units, growing
	lastTicket     int64
}

// NewController begins a leader's controller. now is when it began to lead, or later. The states that it is called with
// must hold all that earlier leaders have replicated: the caller waits for that first.
func NewController(o Options, now int64) *Controller {
	return &Controller{
		options: o, startedAt: now, now: now,
		processes:   map[string]*processState{},
		newestStart: map[string]int64{},
		rollouts:    map[string]*rolloutProgress{},
	}
}

// earlierLeasesExpired reports whether each lease that an earlier leader granted has expired.
func (c *Controller) earlierLeasesExpired() bool {
	return c.now >= c.startedAt+c.options.lengthenedTerm()
}

// sync takes in the time, and changes of the table.
func (c *Controller) sync(now int64, s *State) {
	if now > c.now {
		c.now, c.serviceFaultKnown = now, false
	}
	if n := len(c.revisionTimes); n > 0 && c.revisionTimes[n-1].rev >= s.Rev() {
		return
	}
	c.serviceFaultKnown = false
	c.addRevisionTime(s.Rev())
	c.syncRollouts(s)
}

// addRevisionTime notes that a revision is seen now. An old one is dropped once the next one is old enough, too: a
// process that lacks the former lacks the latter for long enough to be shut out.
func (c *Controller) addRevisionTime(rev int64) {
	c.revisionTimes = append(c.revisionTimes, revisionTime{rev, c.now})
	for len(c.revisionTimes) > maxRevisionTimes ||
		len(c.revisionTimes) > 1 && c.revisionTimes[1].at+c.options.ShutOutAfter < c.now {
		c.revisionTimes = c.revisionTimes[1:]
	}
}

// syncRollouts begins and ends the progress of rollouts as they go live and end.
func (c *Controller) syncRollouts(s *State) {
	for tenant, progress := range c.rollouts {
		if t := s.tenants[tenant]; t == nil || t.Live == nil || t.Live.PostedRev != progress.postedRev {
			delete(c.rollouts, tenant)
		}
	}
	for tenant, t := range s.tenants {
		live := t.Live
		if live == nil {
			continue
		}
		progress := c.rollouts[tenant]
		if progress == nil {
			progress = &rolloutProgress{
				name: live.Spec.Name, lateIsFailure: live.Spec.LateIsFailure, postedRev: live.PostedRev,
				demands: map[string]*unitDemand{},
			}
			c.rollouts[tenant] = progress
		}
		if progress.rev != live.Rev {
			progress.rev, progress.revSeenAt, progress.canaryEnded = live.Rev, c.now, 0
		}
	}
}

// progressOf is the progress of a rollout if it is live; otherwise nil.
func (c *Controller) progressOf(tenant string, r *rolloutState) *rolloutProgress {
	if progress := c.rollouts[tenant]; progress != nil && progress.postedRev == r.PostedRev {
		return progress
	}
	return nil
}

// Evidence is that of the sequential test against a live rollout's canary; 0 where the rollout is not live. 1 says
// nothing, and above 1/Alpha the rollout is rolled back. A new leader begins the test anew. The test compares like with
// like only where the base's counts are of requests that might have gone to the canary: of the route's classes.
func (c *Controller) Evidence(tenant, name string) float64 {
	if progress := c.rollouts[tenant]; progress != nil && progress.name == name {
		return math.Exp(progress.logEvidence)
	}
	return 0
}

// Processes are the processes that are known, by name and start.
func (c *Controller) Processes(now int64) []ProcessStatus {
	out := make([]ProcessStatus, 0, len(c.processes))
	for _, p := range c.processes {
		if now-p.LastReport <= c.options.DropAfter {
			status := p.ProcessStatus
			status.Schemas = slices.Clone(p.Schemas)
			out = append(out, status)
		}
	}
	slices.SortFunc(out, func(a, b ProcessStatus) int { return compareProcesses(a.Process, b.Process) })
	return out
}

func compareProcesses(a, b route.Process) int {
	if order := strings.Compare(a.Name, b.Name); order != 0 {
		return order
	}
	return int(min(max(a.Start-b.Start, -1), 1))
}
