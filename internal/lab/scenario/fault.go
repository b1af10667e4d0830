package scenario

// This file is one fault of a scenario file, its defaults and its check.

import (
	"slices"
	"strings"
)

// Fault is one fault that is injected, for a while or for good.
type Fault struct {
	At           Duration `toml:"at"`
	For          Duration `toml:"for"` // 0: it happens once, or stays
	Kind         string   `toml:"kind"`
	Servers      string   `toml:"servers"`  // a selector: all, 3, 20%, #4, zone:name, pod:1, kind:name
	Replicas     string   `toml:"copies"`   // of the list service: leader, follower, majority, all, #1
	Sidecars     string   `toml:"sidecars"` // a selector
	Size         float64  `toml:"size"`
	Direction    string   `toml:"way"`     // of a cut
	Latency      Duration `toml:"latency"` // of a slow link
	Every        Duration `toml:"every"`   // it repeats after this, until For is over
	Link         string   `toml:"link"`    // which links of the sidecars: LinkServers (default) or LinkDiscovery
	List         string   `toml:"list"`    // which list service: all (default), #1
	Fraction     float64  `toml:"share"`   // of new connections that come up late; 0: all
	RandomDelay  bool     `toml:"drawn"`   // the delay of each connection is drawn between 0 and the size
	DropSilently bool     `toml:"silent"`  // idle connections are dropped without a close: what is written to them is reset
	KeepServing  bool     `toml:"stay"`    // servers that drain stay up and serve what comes
	Classes      []string `toml:"classes"` // of requests that a fail or slow concerns; empty: all
	Call         string   `toml:"call"`    // the system call that fails: fault.CallAccept or fault.CallOpen
	Errno        string   `toml:"errno"`   // how the system call fails, by the name of its errno
	Zone         string   `toml:"zone"`    // of the servers only those of this zone; empty: of all
}

// The links of sidecars that a fault can act on.
const (
	LinkServers   = "servers"
	LinkDiscovery = "discovery"
)

// setDefaults fills in what a fault's table leaves out. Unknown kinds are left to the check.
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

func (s *Scenario) checkFault(f *Fault, key string) *invalidKey {
	kind := findFaultKind(f.Kind)
	if kind == nil {
		return invalid(key+".kind", "%q is no kind of fault; the kinds are %s", f.Kind, strings.Join(FaultKinds(), ", "))
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
		return invalid(key+".size", "is set, but %s has none", withArticle(f.Kind))
	case kind.size != nil && !kind.size.contains(f.Size):
		return invalid(key+".size", "is not between %g and %g", kind.size[0], kind.size[1])
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
		return invalid(key+".at", "lies outside the run")
	case f.For < 0:
		return invalid(key+".for", "is negative")
	case kind.timing == hasDuration && f.For == 0:
		return invalid(key+".for", "is missing: %s lasts", noun)
	case kind.timing != hasDuration && f.For > 0 && f.Every == 0:
		return invalid(key+".for", "is set, but %s happens once", noun)
	case f.Kind == FaultReplace && f.Every > 0:
		return invalid(key+".every", "is set, but a server is replaced once")
	case kind.timing == staggered && (f.Every <= 0 || f.For != 0):
		return invalid(key+".every", "is over 0, and for is not set, for %s: the time from one sidecar to the next", noun)
	case f.Every < 0 || f.Every > 0 && f.For == 0 && kind.timing != staggered:
		return invalid(key+".every", "is negative, or there is no time in which it comes again")
	}
	return nil
}

// checkFaultKeys checks the keys that only some kinds take.
func (s *Scenario) checkFaultKeys(f *Fault, kind *faultKind, key string) *invalidKey {
	if f.Link != LinkServers && f.Link != LinkDiscovery {
		return invalid(key+".link", "%q is neither %s nor %s", f.Link, LinkServers, LinkDiscovery)
	}
	for _, k := range faultKeys {
		path := key + "." + k.name
		switch set, takes := k.isSet(f), kind.acceptsKey(k, f); {
		case set && !takes:
			return invalid(path, "is set, but only %s takes it", kindsWithKey(k))
		case takes && !set && k.required:
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

// checkFaultTargets checks the servers, sidecars and replicas that a fault names.
func (s *Scenario) checkFaultTargets(f *Fault, kind *faultKind, key string) *invalidKey {
	noun := withArticle(f.Kind)
	switch {
	case f.Zone != "" && (!kind.servers || !slices.Contains(s.Network.Zones, f.Zone)):
		return invalid(key+".zone", "%q is no zone, or %s concerns no servers", f.Zone, noun)
	case !kind.servers && f.Servers != "":
		return invalid(key+".servers", "is set, but %s concerns none", noun)
	case !kind.sidecars && f.Sidecars != "":
		return invalid(key+".sidecars", "is set, but %s concerns none", noun)
	case !kind.replicas && f.Replicas != "":
		return invalid(key+".copies", "is set, but %s concerns none", noun)
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

// HasProcessFaults tells whether some fault is planted inside sidecars, by a file that they read.
func (s *Scenario) HasProcessFaults() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == FaultSidecarClock || f.Kind == FaultSidecarCall })
}
