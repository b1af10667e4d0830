package scenario

import (
	"fmt"
	"slices"
	"strings"

	"marblelane/internal/fault"
)

// faultKey is a key that only some kinds of faults accept.
type faultKey struct {
	name     string
	required bool // whether the kinds that accept the key need it
	isSet    func(f *Fault) bool
	// check validates the value of a key that is set. nil means that all values are valid.
	check func(s *Scenario, f *Fault, kind *faultKind) error
}

var (
	keyDirection = &faultKey{
		name:  "way",
		isSet: func(f *Fault) bool { return f.Direction != "" },
		check: func(_ *Scenario, f *Fault, kind *faultKind) error {
			if !slices.Contains(kind.directions, f.Direction) {
				return fmt.Errorf("unknown direction %q: must be one of %s", f.Direction, strings.Join(kind.directions, ", "))
			}
			return nil
		},
	}
	keyLatency = &faultKey{
		name:     "latency",
		required: true,
		isSet:    func(f *Fault) bool { return f.Latency != 0 },
		check: func(_ *Scenario, f *Fault, _ *faultKind) error {
			if f.Latency < 0 {
				return fmt.Errorf("must not be negative")
			}
			return nil
		},
	}
	keyFraction = &faultKey{
		name:  "share",
		isSet: func(f *Fault) bool { return f.Fraction != 0 },
		check: func(_ *Scenario, f *Fault, _ *faultKind) error {
			if !(f.Fraction >= 0 && f.Fraction <= 1) {
				return fmt.Errorf("must be between 0 and 1")
			}
			return nil
		},
	}
	keyRandomDelay  = &faultKey{name: "drawn", isSet: func(f *Fault) bool { return f.RandomDelay }}
	keyDropSilently = &faultKey{name: "silent", isSet: func(f *Fault) bool { return f.DropSilently }}
	keyKeepServing  = &faultKey{name: "stay", isSet: func(f *Fault) bool { return f.KeepServing }}
	keyClasses      = &faultKey{
		name:  "classes",
		isSet: func(f *Fault) bool { return len(f.Classes) > 0 },
		check: func(s *Scenario, f *Fault, _ *faultKind) error {
			for _, name := range f.Classes {
				if !s.hasClass(name) {
					return fmt.Errorf("unknown class %q", name)
				}
			}
			return nil
		},
	}
	keyCall = &faultKey{
		name:     "call",
		required: true,
		isSet:    func(f *Fault) bool { return f.Call != "" },
		check: func(_ *Scenario, f *Fault, _ *faultKind) error {
			if f.Call != fault.CallAccept && f.Call != fault.CallOpen {
				return fmt.Errorf("unknown system call %q: must be %s or %s", f.Call, fault.CallAccept, fault.CallOpen)
			}
			return nil
		},
	}
	keyErrno = &faultKey{
		name:     "errno",
		required: true,
		isSet:    func(f *Fault) bool { return f.Errno != "" },
		check: func(_ *Scenario, f *Fault, _ *faultKind) error {
			if _, ok := fault.Errno(f.Errno); !ok {
				return fmt.Errorf("unknown errno %q", f.Errno)
			}
			return nil
		},
	}
	// keyList is also accepted by each fault of links to discovery, whose kinds do not contain the key.
	keyList = &faultKey{
		name:  "list",
		isSet: func(f *Fault) bool { return f.List != "" },
		check: func(s *Scenario, f *Fault, _ *faultKind) error {
			if services := max(s.Discovery.Services, s.Discovery.RegistryReplicas); f.List != selectAll && !isNumberSelector(f.List, services) {
				return fmt.Errorf("unknown list service %q: must be all or #0 to #%d", f.List, services-1)
			}
			return nil
		},
	}
	faultKeys = []*faultKey{keyDirection, keyLatency, keyFraction, keyRandomDelay, keyDropSilently, keyKeepServing, keyClasses, keyCall, keyErrno, keyList}
)

// acceptsKey reports whether a fault of this kind can have a key.
func (k *faultKind) acceptsKey(key *faultKey, f *Fault) bool {
	return slices.Contains(k.keys, key) || key == keyList && f.Link == LinkDiscovery
}

// kindsWithKey returns the kinds of faults that have a key, as text: "a fail or slow".
func kindsWithKey(key *faultKey) string {
	var names []string
	for i := range faultKinds {
		if k := &faultKinds[i]; slices.Contains(k.keys, key) {
			names = append(names, k.name)
		}
	}
	last := len(names) - 1
	if last == 0 {
		return withArticle(names[0])
	}
	return withArticle(strings.Join(names[:last], ", ")) + " or " + names[last]
}

// withArticle puts "a" or "an" before a noun.
func withArticle(noun string) string {
	if strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}
