package scenario

// This file holds the table of all kinds of faults: what each acts on, its timing and its keys.

import "slices"

// Kinds of faults of servers.
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

// Kinds of faults of links.
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

// Kinds of faults of the sidecar processes.
const (
	FaultSidecarKill    = "sidecar-kill"
	FaultSidecarRestart = "sidecar-restart"
	FaultSidecarTerm    = "sidecar-term"
	FaultSidecarFreeze  = "sidecar-freeze"
	FaultSidecarUpgrade = "sidecar-upgrade"
	FaultSidecarClock   = "sidecar-clock"
	FaultSidecarCall    = "sidecar-call"
)

// Kinds of faults of the server list. FaultEntriesLost is for real replicas of the list service, the others are for
// stand-ins.
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

// Kinds of faults of the traffic.
const (
	FaultBurst    = "burst"
	FaultRush     = "rush"
	FaultIdleFill = "idle-fill"
	FaultLeave    = "leave"
)

// Kinds of faults of the replicas of the list service.
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

// Kinds of faults of membership.
const (
	FaultMembersCut    = "members-cut"
	FaultMembersLose   = "members-lose"
	FaultMembersSlow   = "members-slow"
	FaultMembersReject = "members-refuse"
)

// Planted defects, each of which breaks an invariant.
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

// faultTiming is the way in which faults of a kind occur over time.
type faultTiming int

const (
	happensOnce faultTiming = iota
	hasDuration             // the fault needs the key `for`
	staggered               // the fault happens to one sidecar after another, at intervals of `every`
)

// faultKind describes a kind of fault.
type faultKind struct {
	name       string
	servers    bool // acts on servers
	sidecars   bool // acts on sidecars
	replicas   bool // acts on replicas of the list service
	processes  bool // acts on sidecar processes, which must have started
	timing     faultTiming
	size       *Range      // valid range of `size`; nil means that the kind has no size
	keys       []*faultKey // further keys that the kind accepts
	directions []string    // valid values of `way` for a kind that accepts it
	runType    *runType    // runs in which the kind is valid
	simulated  bool        // simulated runs inject it, too
}

// Values of `way`.
const (
	DirectionTo   = "to"
	DirectionFrom = "from"
	DirectionBoth = "both"
	DirectionIn   = "in" // for members: others cannot call them
)

var (
	cutDirections    = []string{DirectionTo, DirectionFrom, DirectionBoth}
	memberDirections = []string{DirectionTo, DirectionFrom, DirectionBoth, DirectionIn}

	fractionRange  = &Range{0, 1}
	delayRange     = &Range{0, 600}    // valid delays in seconds
	clockStepRange = &Range{-1e6, 1e6} // valid steps of a clock in seconds
)

// maxLinkBytes is the maximum size of faults that state bytes of a link, or bytes per second.
const maxLinkBytes = 1e12

// faultKinds lists all kinds of faults. Package lab implements them for real runs, package simulate for simulated ones.
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

// runType is a type of run to which some kinds of faults are limited.
type runType struct {
	includes func(s *Scenario) bool
	mismatch string // reason for rejecting a fault in a run of another type
}

var (
	allRuns     = &runType{includes: func(*Scenario) bool { return true }}
	sidecarRuns = &runType{
		includes: func(s *Scenario) bool { return !s.isRegistryRun() },
		mismatch: "needs a run with sidecars, and a run with registry.copies has none",
	}
	replicaRuns = &runType{
		includes: func(s *Scenario) bool { return s.Registry.Replicas+s.Discovery.RegistryReplicas > 0 },
		mismatch: "needs replicas of the list service: registry.copies or discovery.registry",
	}
	standInRuns = &runType{
		includes: func(s *Scenario) bool { return s.Discovery.RegistryReplicas == 0 && !s.isRegistryRun() },
		mismatch: "needs stand-in list services in a run with sidecars; the faults of real replicas are copy-*",
	}
	standInDefectRuns = &runType{
		includes: func(s *Scenario) bool { return s.Discovery.RegistryReplicas == 0 },
		mismatch: "needs stand-in list services; the faults of real replicas are copy-*",
	}
	realListRuns = &runType{
		includes: func(s *Scenario) bool { return s.Discovery.RegistryReplicas > 0 },
		mismatch: "needs real replicas of the list service: discovery.registry; the fault of stand-ins is list-half",
	}
	routeRuns = &runType{
		includes: func(s *Scenario) bool { return s.HasRoutes() },
		mismatch: "needs routes, as it acts on rollbacks",
	}
	memberRuns = &runType{
		includes: func(s *Scenario) bool { return s.Members != nil && !s.isRegistryRun() },
		mismatch: "needs a section members",
	}
)

// isRegistryRun reports whether the run has only the list service and no sidecars.
func (s *Scenario) isRegistryRun() bool {
	return s.Registry.Replicas > 0 && s.Discovery.RegistryReplicas == 0
}

// findFaultKind returns the kind with a name, or nil.
func findFaultKind(name string) *faultKind {
	for i := range faultKinds {
		if faultKinds[i].name == name {
			return &faultKinds[i]
		}
	}
	return nil
}

// FaultKinds returns the sorted names of the kinds of faults.
func FaultKinds() []string {
	var names []string
	for i := range faultKinds {
		names = append(names, faultKinds[i].name)
	}
	slices.Sort(names)
	return names
}

// IsSimulated reports whether simulated runs inject a kind of fault. Real runs inject all kinds.
func IsSimulated(kind string) bool {
	k := findFaultKind(kind)
	return k != nil && k.simulated
}
