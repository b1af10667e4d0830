package scenario

// This file holds the faults of a scenario file, their defaults and their validation.

import (
	"slices"
	"strings"
)

// Fault is a fault to inject.
type Fault struct {
	At           Duration `toml:"at"`  // time from the start of the run
	For          Duration `toml:"for"` // how long it lasts; 0 means that it happens once or lasts to the end of the run
	Kind         string   `toml:"kind"`
	Servers      string   `toml:"servers"`  // selector of servers: all, 3, 20%, #4, zone:name, region:1, pod:1, kind:name, subset:name
	Replicas     string   `toml:"copies"`   // replicas of the list service: leader, follower, majority, all, #1
	Sidecars     string   `toml:"sidecars"` // selector of sidecars: all, 3, 20%, #4, zone:name, region:1, late
	Size         float64  `toml:"size"`     // strength of the fault, in the unit of its kind
	Direction    string   `toml:"way"`      // direction of a cut, as in DirectionTo
	Latency      Duration `toml:"latency"`  // one-way latency of a slow link
	Every        Duration `toml:"every"`    // period at which it repeats until For is over, or time from one sidecar to the next
	Link         string   `toml:"link"`     // links of the sidecars that it acts on: LinkServers (default) or LinkDiscovery
	List         string   `toml:"list"`     // list services that it acts on: all (default) or #1
	Fraction     float64  `toml:"share"`    // fraction of new connections that are accepted late; 0 means all
	RandomDelay  bool     `toml:"drawn"`    // the delay of each connection is drawn between 0 and Size
	DropSilently bool     `toml:"silent"`   // idle connections are dropped without a close, and later writes to them are reset
	KeepServing  bool     `toml:"stay"`     // draining servers stay up and serve further requests
	Classes      []string `toml:"classes"`  // classes of requests that a fail or slow affects; empty means all
	Call         string   `toml:"call"`     // system call that fails: fault.CallAccept or fault.CallOpen
	Errno        string   `toml:"errno"`    // name of the errno that the system call returns
	Zone         string   `toml:"zone"`     // zone that limits Servers; empty means all zones
}

// Links of sidecars that a fault can act on.
const (
	LinkServers   = "servers"
	LinkDiscovery = "discovery"
)

// setDefaults sets the keys that a fault's table omits. checkFault rejects unknown kinds.
func (f *Fault) setDefaults() {
	setDefault(&f.Link, LinkServers)
	kind := findFaultKind(f.Kind)
	if kind == nil {
		return
	}
	if kind.servers {
		setDefault(&f.Servers, selectAll)
	}
	if kind.sidecars {
		setDefault(&f.Sidecars, selectAll)
	}
	if kind.replicas {
		setDefault(&f.Replicas, selectLeader)
	}
	if kind.acceptsKey(keyDirection, f) {
		setDefault(&f.Direction, DirectionBoth)
	}
	if kind.acceptsKey(keyFraction, f) {
		setDefault(&f.Fraction, 1)
	}
	if kind.acceptsKey(keyList, f) {
		setDefault(&f.List, selectAll)
	}
}

// checkFault checks one fault, whose path in the file is key.
func (s *Scenario) checkFault(f *Fault, key string) *invalidKey {
	kind := findFaultKind(f.Kind)
	if kind == nil {
		return invalid(key+".kind", "unknown kind of fault %q; the kinds are %s", f.Kind, strings.Join(FaultKinds(), ", "))
	}
	if e := s.checkFaultTime(f, kind, key); e != nil {
		return e
	}
	if e := s.checkFaultKeys(f, kind, key); e != nil {
		return e
	}
	if e := s.checkFaultTargets(f, kind, key); e != nil {
		return e
	}
	switch {
	case kind.size == nil && f.Size != 0:
		return invalid(key+".size", "must not be set: %s has no size", withArticle(f.Kind))
	case kind.size != nil && !kind.size.contains(f.Size):
		return invalid(key+".size", "must be between %g and %g", kind.size[0], kind.size[1])
	case !kind.runType.includes(s):
		return invalid(key+".kind", "%s %s", withArticle(f.Kind), kind.runType.mismatch)
	}
	return nil
}

// checkFaultTime checks when a fault begins, ends and repeats.
func (s *Scenario) checkFaultTime(f *Fault, kind *faultKind, key string) *invalidKey {
	noun := withArticle(f.Kind)
	switch {
	case f.At < 0 || f.At > s.Length:
		return invalid(key+".at", "must be within the run")
	case f.For < 0:
		return invalid(key+".for", "must not be negative")
	case kind.timing == hasDuration && f.For == 0:
		return invalid(key+".for", "is missing: %s needs a duration", noun)
	case kind.timing != hasDuration && f.For > 0 && f.Every == 0:
		return invalid(key+".for", "must not be set: %s happens once", noun)
	case f.Kind == FaultReplace && f.Every > 0:
		return invalid(key+".every", "must not be set: a server is replaced once")
	case kind.timing == staggered && (f.Every <= 0 || f.For != 0):
		return invalid(key+".every", "must be over 0 for %s, as the time from one sidecar to the next, and for must not be set", noun)
	case f.Every < 0 || f.Every > 0 && f.For == 0 && kind.timing != staggered:
		return invalid(key+".every", "must not be negative, and needs for, the time during which the fault repeats")
	}
	return nil
}

// checkFaultKeys checks the keys that only some kinds of faults accept.
func (s *Scenario) checkFaultKeys(f *Fault, kind *faultKind, key string) *invalidKey {
	if f.Link != LinkServers && f.Link != LinkDiscovery {
		return invalid(key+".link", "unknown link %q: must be %s or %s", f.Link, LinkServers, LinkDiscovery)
	}
	for _, k := range faultKeys {
		path := key + "." + k.name
		switch set, accepted := k.isSet(f), kind.acceptsKey(k, f); {
		case set && !accepted:
			return invalid(path, "must not be set: only %s accepts it", kindsWithKey(k))
		case accepted && !set && k.required:
			return invalid(path, "is missing: %s needs it", withArticle(f.Kind))
		case !set || k.check == nil:
			continue
		}
		if err := k.check(s, f, kind); err != nil {
			return invalid(path, "%v", err)
		}
	}
	return nil
}

// checkFaultTargets checks the selectors of servers, sidecars and replicas.
func (s *Scenario) checkFaultTargets(f *Fault, kind *faultKind, key string) *invalidKey {
	noun := withArticle(f.Kind)
	switch {
	case f.Zone != "" && (!kind.servers || !slices.Contains(s.Network.Zones, f.Zone)):
		return invalid(key+".zone", "zone %q is unknown, or %s does not act on servers", f.Zone, noun)
	case !kind.servers && f.Servers != "":
		return invalid(key+".servers", "must not be set: %s does not act on servers", noun)
	case !kind.sidecars && f.Sidecars != "":
		return invalid(key+".sidecars", "must not be set: %s does not act on sidecars", noun)
	case !kind.replicas && f.Replicas != "":
		return invalid(key+".copies", "must not be set: %s does not act on replicas of the list service", noun)
	}
	if f.Servers != "" {
		if err := s.checkServers(f.Servers); err != nil {
			return invalid(key+".servers", "%v", err)
		}
	}
	if f.Sidecars != "" {
		if err := s.checkSidecars(f.Sidecars, s.Sidecars.Count); err != nil {
			return invalid(key+".sidecars", "%v", err)
		}
	}
	if f.Replicas != "" {
		if err := s.checkReplicas(f.Replicas); err != nil {
			return invalid(key+".copies", "%v", err)
		}
	}
	return nil
}

// HasProcessFaults reports whether some fault is injected inside sidecar processes, through a file that they read.
func (s *Scenario) HasProcessFaults() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == FaultSidecarClock || f.Kind == FaultSidecarCall })
}
