package rollout

import (
	"math"
	"slices"
	"strings"

	"marblelane/internal/route"
)

// Controller tracks processes and live rollouts in the leader's memory and decides which commands are due. Each leader
// starts with an empty one. Times are milliseconds on the leader's monotonic clock; a call with a time before that of an
// earlier call uses the earlier call's time.
type Controller struct {
	options           Options
	startedAt, now    int64
	processes         map[string]*processState // by AccountKey
	newestStart       map[string]int64         // newest start, by process name
	revisionTimes     []revisionTime           // sorted by revision, oldest first
	rollouts          map[string]*rolloutProgress
	accessChanges     []AccessChange // changes since the last Tick
	closingRev        int64          // newest revision that this controller has asked to close
	minSchema         int            // State.MinSchema as of the last sync
	serviceFault      bool           // there are too many stragglers; valid if serviceFaultKnown
	serviceFaultKnown bool           // serviceFault is up to date with the time, table and reports
}

// processState is the state of one process as of its newest report.
type processState struct {
	ProcessStatus
	reportSeq int64
	counts    map[countKey]outcomeCounts // totals of the newest report, for tenants with a live rollout
}

// ProcessStatus is the status of a process that operators see. Times are milliseconds on the leader's clock.
type ProcessStatus struct {
	route.Process
	LastReport      int64  `json:"heard_ms"`
	LeaseUntil      int64  `json:"permitted_ms"` // latest time at which its lease expires on any clock
	AcknowledgedRev int64  `json:"have"`
	UnreadableRev   int64  `json:"unread"`
	ListRev         int64  `json:"list_rev"`
	Version         string `json:"version"`
	Config          string `json:"config"`
	Schemas         []int  `json:"schemas"`
	ShutOut         bool   `json:"shut_out"`
	Gone            bool   `json:"gone"`
}

// AccessChange records for the audit that a process lost or regained access to leases. Exactly one of ShutOut, Readmitted
// and Gone is set.
type AccessChange struct {
	route.Process
	ShutOut, Readmitted, Gone bool
	AcknowledgedRev           int64
}

// revisionTime is a revision and the time at which the controller first saw it.
type revisionTime struct{ rev, at int64 }

// rolloutProgress is the data that a controller collects about a live rollout.
type rolloutProgress struct {
	name           string
	lateIsFailure  bool
	postedRev, rev int64
	revSeenAt      int64   // time at which the controller first saw rev
	canaryEnded    int64   // number of ended canary attempts under rev or a later revision
	logEvidence    float64 // logarithm of the evidence of the sequential test
	maxLogEvidence float64 // highest logEvidence so far
	demands        map[string]*unitDemand
	queue          []int64 // tickets of the processes that wait for units, ascending
	lastTicket     int64
}

// NewController returns a controller for a new leader. now is the time at which it began to lead, or later. The states
// passed to its methods must contain everything that earlier leaders have replicated; the caller waits for this first.
func NewController(o Options, now int64) *Controller {
	return &Controller{
		options: o, startedAt: now, now: now,
		processes:   map[string]*processState{},
		newestStart: map[string]int64{},
		rollouts:    map[string]*rolloutProgress{},
	}
}

// earlierLeasesExpired reports whether all leases that earlier leaders granted have expired.
func (c *Controller) earlierLeasesExpired() bool {
	return c.now >= c.startedAt+c.options.termWithMargin()
}

// sync updates the controller to the time and to changes of the table.
func (c *Controller) sync(now int64, s *State) {
	if now > c.now {
		c.now, c.serviceFaultKnown = now, false
	}
	if minSchema := s.MinSchema(); minSchema != c.minSchema {
		c.minSchema, c.serviceFaultKnown = minSchema, false
	}
	if n := len(c.revisionTimes); n > 0 && c.revisionTimes[n-1].rev >= s.Rev() {
		return
	}
	c.serviceFaultKnown = false
	c.addRevisionTime(s.Rev())
	c.syncRollouts(s)
}

// addRevisionTime records that a revision is first seen now. A revision is dropped once the following one is older than
// ShutOutAfter: a process that lacks the dropped one also lacks the following one, which is enough to shut it out.
func (c *Controller) addRevisionTime(rev int64) {
	c.revisionTimes = append(c.revisionTimes, revisionTime{rev, c.now})
	for len(c.revisionTimes) > maxRevisionTimes ||
		len(c.revisionTimes) > 1 && c.revisionTimes[1].at+c.options.ShutOutAfter < c.now {
		c.revisionTimes = c.revisionTimes[1:]
	}
}

// syncRollouts adds progress for rollouts that became live and deletes that of rollouts that ended.
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

// progressOf returns the progress of a live rollout, or nil if the rollout is not live.
func (c *Controller) progressOf(tenant string, r *rolloutState) *rolloutProgress {
	if progress := c.rollouts[tenant]; progress != nil && progress.postedRev == r.PostedRev {
		return progress
	}
	return nil
}

// Evidence returns the evidence of the sequential test against a live rollout's canary, or 0 if the rollout is not live.
// A value of 1 is neutral; the rollout is rolled back once the value reaches 1/Alpha. A new leader restarts the test. The
// test is valid only if the base's counts cover just those requests that could have gone to the canary: the requests of
// the route's classes.
func (c *Controller) Evidence(tenant, name string) float64 {
	if progress := c.rollouts[tenant]; progress != nil && progress.name == name {
		return math.Exp(progress.logEvidence)
	}
	return 0
}

// Processes returns the known processes, sorted by name and start.
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
