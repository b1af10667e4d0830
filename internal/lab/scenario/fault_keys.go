package scenario

import (
	"fmt"
	"slices"
	"strings"

	"marblelane/internal/fault"
)

// faultKey is a key that only some kinds of faults take.
type faultKey struct {
	name     string
	required bool // of the kinds that take it
	isSet    func(f *Fault) bool
	// check checks the value of a key that is set; nil: each is right.
	check func(s *Scenario, f *Fault, kind *faultKind) error
}

var (
	keyDirection = &faultKey{
		name:  "way",
		isSet: func(f *Fault) bool { return f.Direction != "" },
		check: func(_ *Scenario, f *Fault, kind *faultKind) error {
			if !slices.Contains(kind.directions, f.Direction) {
				return fmt.Errorf("%q is none of %s", f.Direction, strings.Join(kind.directions, ", "))
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
				return fmt.Errorf("is negative")
			}
			return nil
		},
	}
	keyFraction = &faultKey{
		name:  "share",
		isSet: func(f *Fault) bool { return f.Fraction != 0 },
		check: func(_ *Scenario, f *Fault, _ *faultKind) error {
			if !(f.Fraction >= 0 && f.Fraction <= 1) {
				return fmt.Errorf("is not between 0 and 1")
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
					return fmt.Errorf("%q is no class", name)
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
				return fmt.Errorf("%q is neither %s nor %s", f.Call, fault.CallAccept, fault.CallOpen)
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
				return fmt.Errorf("%q is no errno", f.Errno)
			}
			return nil
		},
	}
	// keyList is taken, beside the kinds that name it, by each fault of links to discovery.
	keyList = &faultKey{
		name:  "list",
		isSet: func(f *Fault) bool { return f.List != "" },
		check: func(s *Scenario, f *Fault, _ *faultKind) error {
			if services := max(s.Discovery.Services, s.Discovery.RegistryReplicas); f.List != selectAll && !isNumberSelector(f.List, services) {
				return fmt.Errorf("%q is neither all nor #0 to #%d", f.List, services-1)
			}
			return nil
		},
	}
	faultKeys = []*faultKey{keyDirection, keyLatency, keyFraction, keyRandomDelay, keyDropSilently, keyKeepServing, keyClasses, keyCall, keyErrno, keyList}
)

// acceptsKey tells whether a fault of this kind may have a key.
func (k *faultKind) acceptsKey(key *faultKey, f *Fault) bool {
	return slices.Contains(k.keys, key) || key == keyList && f.Link == LinkDiscovery
}

// kindsWithKey lists the kinds of faults that have a key: "a fail or slow".
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

func withArticle(noun string) string {
	if strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}
