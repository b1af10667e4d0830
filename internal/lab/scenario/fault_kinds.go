package scenario

// This file is the table of all kinds of faults: what each acts on, how long it takes and which keys it has.

import "slices"

// The kinds of faults of servers.
const (
	FaultSlow          = "slow"
	FaultFail          = "fail"
	FaultHang          = "hang"
	FaultDrop          = "drop"
	FaultKill          = "kill"
	FaultRestart       = "restart"
	FaultDrain         = "drain"
	FaultReplace       = "replace"
	FaultVanish        = "vanish"
	FaultIdleClose     = "idle-close"
	FaultResetStarted  = "reset-begun"
	FaultExtraResponse = "second-answer"
	FaultRejectLate    = "turn-away"
	FaultServerClock   = "server-clock"
)

// The kinds of faults of links.
const (
	FaultCut        = "cut"
	FaultLatency    = "latency"
	FaultBandwidth  = "bandwidth"
	FaultLose       = "lose"
	FaultReset      = "reset"
	FaultReject     = "refuse"
	FaultHalfClose  = "half-close"
	FaultBreak      = "break"
	FaultAcceptLate = "accept-late"
)

// The kinds of faults of the sidecars' processes.
const (
	FaultSidecarKill    = "sidecar-kill"
	FaultSidecarRestart = "sidecar-restart"
	FaultSidecarTerm    = "sidecar-term"
	FaultSidecarFreeze  = "sidecar-freeze"
	FaultSidecarUpgrade = "sidecar-upgrade"
	FaultSidecarClock   = "sidecar-clock"
	FaultSidecarCall    = "sidecar-call"
)

// The kinds of faults of the server list: those of stand-in list services, and one of real replicas.
const (
	FaultListLate           = "list-late"
	FaultListSilent         = "list-silent"
	FaultListSilenceWatches = "list-hush"
	FaultListReject         = "list-refuse"
	FaultListMigrate        = "list-move"
	FaultListEmpty          = "list-empty"
	FaultListHalf           = "list-half"
	FaultListStuck          = "list-stuck"
	FaultListFreeze         = "list-freeze"
	FaultListBig            = "list-big"
	FaultListEnd            = "list-end"
	FaultListComplete       = "list-whole"
	FaultListPieces         = "list-pieces"
	FaultEntriesLost        = "entries-lost"
)

// The kinds of faults of traffic.
const (
	FaultBurst    = "burst"
	FaultRush     = "rush"
	FaultIdleFill = "idle-fill"
	FaultLeave    = "leave"
)

// The kinds of faults of the list service's replicas.
const (
	FaultReplicaKill        = "copy-kill"
	FaultReplicaFreeze      = "copy-freeze"
	FaultReplicaCut         = "copy-cut"
	FaultReplicaDiskFull    = "copy-disk-full"
	FaultReplicaDiskLost    = "copy-disk-lost"
	FaultReplicaDiskSlow    = "copy-disk-slow"
	FaultReplicaSyncWritten = "copy-sync-kept"
	FaultReplicaSyncLost    = "copy-sync-lost"
	FaultReplicaClock       = "copy-clock"
)

// The kinds of faults of membership.
const (
	FaultMembersCut    = "members-cut"
	FaultMembersLose   = "members-lose"
	FaultMembersSlow   = "members-slow"
	FaultMembersReject = "members-refuse"
)

// The planted defects, each of which breaks an invariant.
const (
	DefectSendTwice           = "defect-send-twice"
	DefectSendAgain           = "defect-send-again"
	DefectSendOften           = "defect-send-often"
	DefectForwardFullDeadline = "defect-tell-whole"
	DefectInvent              = "defect-invent"
	DefectLoseResponse        = "defect-lose-answer"
	DefectRespondTwice        = "defect-answer-twice"
	DefectWrongBody           = "defect-wrong-body"
	DefectListLate            = "defect-told-late"
	DefectIgnoreDrain         = "defect-ignore-drain"
	DefectUndoRollback        = "defect-undo-rollback"
	DefectEndEarly            = "defect-end-early"
	DefectIgnoreTerm          = "defect-ignore-term"
	DefectReadyLate           = "defect-ready-late"
	DefectIgnoreDiskError     = "defect-unheard-disk"
	DefectStaleRead           = "defect-stale-read"
	DefectSkippedLine         = "defect-skipped-line"
	DefectClaimFresh          = "defect-fresh-claim"
)

// faultTiming is how a kind of fault spreads over time.
type faultTiming int

const (
	happensOnce faultTiming = iota
	hasDuration             // it needs `for`
	staggered               // it comes to one sidecar after another, `every` apart
)

// faultKind is one kind of fault.
type faultKind struct {
	name       string
	servers    bool // it acts on servers
	sidecars   bool // it acts on sidecars
	replicas   bool // it acts on replicas of the list service
	processes  bool // it acts on processes of sidecars, which have to have started
	timing     faultTiming
	size       *Range      // what `size` may be; nil: it has none
	keys       []*faultKey // the further keys that it takes
	directions []string    // what `way` may be, of a kind that takes it
	runType    *runType    // the runs that can have it
	simulated  bool        // simulated runs play it, too
}

// The values of `way`.
const (
	DirectionTo   = "to"
	DirectionFrom = "from"
	DirectionBoth = "both"
	DirectionIn   = "in" // of members: others cannot call them
)

var (
	cutDirections    = []string{DirectionTo, DirectionFrom, DirectionBoth}
	memberDirections = []string{DirectionTo, DirectionFrom, DirectionBoth, DirectionIn}

	fractionRange  = &Range{0, 1}
	delayRange     = &Range{0, 600}    // seconds
	clockStepRange = &Range{-1e6, 1e6} // seconds
)

const maxLinkBytes = 1e12

// faultKinds are all kinds of faults. What a real run does for each stands in package lab, what a simulated one does in
// package simulate.
var faultKinds = []faultKind{
	{name: FaultFail, servers: true, timing: hasDuration, size: fractionRange, keys: []*faultKey{keyClasses}, runType: sidecarRuns, simulated: true},
	{name: FaultSlow, servers: true, timing: hasDuration, size: &Range{1, 1000}, keys: []*faultKey{keyClasses}, runType: sidecarRuns, simulated: true},
	{name: FaultHang, servers: true, timing: hasDuration, runType: sidecarRuns, simulated: true},
	{name: FaultDrop, servers: true, timing: hasDuration, size: fractionRange, runType: sidecarRuns, simulated: true},
	{name: FaultKill, servers: true, runType: sidecarRuns, simulated: true},
	{name: FaultRestart, servers: true, timing: hasDuration, runType: sidecarRuns, simulated: true},
	{name: FaultDrain, servers: true, keys: []*faultKey{keyKeepServing}, runType: sidecarRuns, simulated: true},
	{name: FaultReplace, servers: true, runType: sidecarRuns, simulated: true},
	{name: FaultVanish, servers: true, timing: hasDuration, runType: sidecarRuns, simulated: true},
	{name: FaultIdleClose, servers: true, timing: hasDuration, size: &Range{0.01, 600}, keys: []*faultKey{keyDropSilently}, runType: sidecarRuns},
	{name: FaultResetStarted, servers: true, timing: hasDuration, size: fractionRange, runType: sidecarRuns},
	{name: FaultExtraResponse, servers: true, timing: hasDuration, size: fractionRange, runType: sidecarRuns},
	{name: FaultRejectLate, servers: true, timing: hasDuration, size: fractionRange, runType: sidecarRuns},
	{name: FaultServerClock, timing: hasDuration, size: clockStepRange, runType: sidecarRuns},

	{name: FaultCut, servers: true, sidecars: true, timing: hasDuration, keys: []*faultKey{keyDirection}, directions: cutDirections, runType: sidecarRuns, simulated: true},
	{name: FaultLatency, servers: true, sidecars: true, timing: hasDuration, keys: []*faultKey{keyLatency}, runType: sidecarRuns, simulated: true},
	{name: FaultBandwidth, servers: true, sidecars: true, timing: hasDuration, size: &Range{1, maxLinkBytes}, runType: sidecarRuns},
	{name: FaultLose, servers: true, sidecars: true, timing: hasDuration, size: fractionRange, runType: sidecarRuns, simulated: true},
	{name: FaultReset, servers: true, sidecars: true, runType: sidecarRuns},
	{name: FaultReject, servers: true, sidecars: true, timing: hasDuration, runType: sidecarRuns, simulated: true},
	{name: FaultHalfClose, servers: true, sidecars: true, timing: hasDuration, runType: sidecarRuns},
	{name: FaultBreak, servers: true, sidecars: true, timing: hasDuration, size: &Range{1, maxLinkBytes}, runType: sidecarRuns},
	{name: FaultAcceptLate, servers: true, sidecars: true, timing: hasDuration, size: &Range{0.001, 60}, keys: []*faultKey{keyFraction, keyRandomDelay}, runType: sidecarRuns},

	{name: FaultSidecarKill, sidecars: true, processes: true, timing: hasDuration, runType: sidecarRuns},
	{name: FaultSidecarRestart, sidecars: true, processes: true, runType: sidecarRuns},
	{name: FaultSidecarTerm, sidecars: true, processes: true, timing: staggered, runType: sidecarRuns},
	{name: FaultSidecarFreeze, sidecars: true, processes: true, timing: hasDuration, runType: sidecarRuns},
	{name: FaultSidecarUpgrade, sidecars: true, processes: true, runType: sidecarRuns},
	{name: FaultSidecarClock, sidecars: true, processes: true, timing: hasDuration, size: clockStepRange, runType: sidecarRuns},
	{name: FaultSidecarCall, sidecars: true, processes: true, timing: hasDuration, keys: []*faultKey{keyCall, keyErrno}, runType: sidecarRuns},

	{name: FaultListLate, sidecars: true, timing: hasDuration, size: delayRange, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListSilent, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListSilenceWatches, sidecars: true, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListReject, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListMigrate, runType: standInRuns},
	{name: FaultListEmpty, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListHalf, sidecars: true, timing: hasDuration, size: fractionRange, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListStuck, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListFreeze, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListBig, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListEnd, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListComplete, sidecars: true, timing: hasDuration, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultListPieces, sidecars: true, timing: hasDuration, size: &Range{1, 1e6}, keys: []*faultKey{keyList}, runType: standInRuns},
	{name: FaultEntriesLost, timing: hasDuration, size: fractionRange, runType: realListRuns},

	{name: FaultBurst, timing: hasDuration, size: &Range{0, 100}, runType: sidecarRuns, simulated: true},
	{name: FaultRush, sidecars: true, timing: staggered, size: &Range{1, 1000}, runType: sidecarRuns},
	{name: FaultIdleFill, sidecars: true, timing: hasDuration, size: &Range{1, 2000}, runType: sidecarRuns},
	{name: FaultLeave, sidecars: true, size: fractionRange, runType: sidecarRuns},

	{name: FaultReplicaKill, replicas: true, timing: hasDuration, runType: replicaRuns},
	{name: FaultReplicaFreeze, replicas: true, timing: hasDuration, runType: replicaRuns},
	{name: FaultReplicaCut, replicas: true, timing: hasDuration, keys: []*faultKey{keyDirection}, directions: cutDirections, runType: replicaRuns},
	{name: FaultReplicaDiskFull, replicas: true, timing: hasDuration, runType: replicaRuns},
	{name: FaultReplicaDiskLost, replicas: true, timing: hasDuration, runType: replicaRuns},
	{name: FaultReplicaDiskSlow, replicas: true, timing: hasDuration, size: &Range{0, 60}, runType: replicaRuns},
	{name: FaultReplicaSyncWritten, replicas: true, timing: hasDuration, runType: replicaRuns},
	{name: FaultReplicaSyncLost, replicas: true, timing: hasDuration, runType: replicaRuns},
	{name: FaultReplicaClock, replicas: true, timing: hasDuration, size: clockStepRange, runType: replicaRuns},

	{name: FaultMembersCut, sidecars: true, timing: hasDuration, keys: []*faultKey{keyDirection}, directions: memberDirections, runType: memberRuns},
	{name: FaultMembersLose, sidecars: true, timing: hasDuration, size: fractionRange, runType: memberRuns},
	{name: FaultMembersSlow, sidecars: true, timing: hasDuration, keys: []*faultKey{keyLatency}, runType: memberRuns},
	{name: FaultMembersReject, sidecars: true, timing: hasDuration, runType: memberRuns},

	{name: DefectSendTwice, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectSendAgain, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectSendOften, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectForwardFullDeadline, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectInvent, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectLoseResponse, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectRespondTwice, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectWrongBody, servers: true, timing: hasDuration, runType: allRuns},
	{name: DefectListLate, sidecars: true, timing: hasDuration, size: delayRange, runType: standInDefectRuns},
	{name: DefectIgnoreDrain, sidecars: true, timing: hasDuration, runType: standInDefectRuns},
	{name: DefectUndoRollback, timing: hasDuration, runType: routeRuns},
	{name: DefectEndEarly, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectIgnoreTerm, sidecars: true, timing: hasDuration, runType: allRuns},
	{name: DefectReadyLate, sidecars: true, timing: hasDuration, size: delayRange, runType: allRuns},
	{name: DefectIgnoreDiskError, replicas: true, timing: hasDuration, runType: allRuns},
	{name: DefectStaleRead, timing: hasDuration, runType: allRuns},
	{name: DefectSkippedLine, timing: hasDuration, runType: allRuns},
	{name: DefectClaimFresh, timing: hasDuration, runType: allRuns},
}

// runType is a type of run that some kinds of faults are limited to.
type runType struct {
	includes func(s *Scenario) bool
	mismatch string // what is missing where it is not
}

var (
	allRuns     = &runType{includes: func(*Scenario) bool { return true }}
	sidecarRuns = &runType{
		includes: func(s *Scenario) bool { return !s.isRegistryRun() },
		mismatch: "is for runs with sidecars; one with registry.copies has none",
	}
	replicaRuns = &runType{
		includes: func(s *Scenario) bool { return s.Registry.Replicas+s.Discovery.RegistryReplicas > 0 },
		mismatch: "is for runs with replicas of the list service: registry.copies or discovery.registry",
	}
	standInRuns = &runType{
		includes: func(s *Scenario) bool { return s.Discovery.RegistryReplicas == 0 && !s.isRegistryRun() },
		mismatch: "is of stand-in list services in runs with sidecars; the faults of real replicas are copy-*",
	}
	standInDefectRuns = &runType{
		includes: func(s *Scenario) bool { return s.Discovery.RegistryReplicas == 0 },
		mismatch: "is of stand-in list services; the faults of real replicas are copy-*",
	}
	realListRuns = &runType{
		includes: func(s *Scenario) bool { return s.Discovery.RegistryReplicas > 0 },
		mismatch: "is of real replicas of the list service, discovery.registry; of stand-ins there is list-half",
	}
	routeRuns = &runType{
		includes: func(s *Scenario) bool { return s.HasRoutes() },
		mismatch: "is of rollbacks, and there are no routes",
	}
	memberRuns = &runType{
		includes: func(s *Scenario) bool { return s.Members != nil && !s.isRegistryRun() },
		mismatch: "is of members, and there is no section members",
	}
)

// isRegistryRun tells whether the run is one of the list service alone, without sidecars.
func (s *Scenario) isRegistryRun() bool {
	return s.Registry.Replicas > 0 && s.Discovery.RegistryReplicas == 0
}

// findFaultKind gives the kind of a name; nil: there is none.
func findFaultKind(name string) *faultKind {
	for i := range faultKinds {
		if faultKinds[i].name == name {
			return &faultKinds[i]
		}
	}
	return nil
}

// FaultKinds lists the names of the kinds of faults.
func FaultKinds() []string {
	var names []string
	for i := range faultKinds {
		names = append(names, faultKinds[i].name)
	}
	slices.Sort(names)
	return names
}

// IsSimulated tells whether simulated runs play a kind of fault, too; real runs play all.
func IsSimulated(kind string) bool {
	k := findFaultKind(kind)
	return k != nil && k.simulated
}
