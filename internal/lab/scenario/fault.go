package scenario

// This file is the kinds of faults, with the form of each and its check.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"marblelane/internal/fault"
)

// Fault is one thing that goes wrong, for a while or for good.
type Fault struct {
	At       Duration `toml:"at"`
	For      Duration `toml:"for"` // 0: it happens once, or stays
	Kind     string   `toml:"kind"`
	Servers  string   `toml:"servers"`  // which: all, 3, 20%, #4, zone:name, pod:1, kind:name
	Replicas   string   `toml:"copies"`   // of the list service: leader, follower, majority, all, #1
	Sidecars string   `toml:"sidecars"` // which
	Size     float64  `toml:"size"`
	Direction      string   `toml:"way"`     // "to", "from", "both": of a cut; "in" of members: they are not called, but call
	Latency  Duration `toml:"latency"` // of a slow link
	Every    Duration `toml:"every"`   // it comes again after this, until For is over
	Link     string   `toml:"link"`    // "servers" (default) or "discovery": which links of the sidecars
	List     string   `toml:"list"`    // which list service: all (default), #1
	Fraction    float64  `toml:"share"`   // of new connections that come up late; 0: all
	RandomDelay    bool     `toml:"drawn"`   // how late is drawn from 0 to the size, for each connection
	Unnoticed   bool     `toml:"silent"`  // idle connections are forgotten in place of closed: what is written to them is reset
	KeepServing     bool     `toml:"stay"`    // servers that drain stay up, and serve what comes
	Classes  []string `toml:"classes"` // of requests that a fail or slow concerns; empty: all
	Call     string   `toml:"call"`    // the system call that fails: fault.CallAccept and its like
	Errno    string   `toml:"errno"`   // ... and how, by the name of its errno
	Zone     string   `toml:"zone"`    // of the servers only those of this zone; empty: of all
}

// what each kind of fault wants.
type faultForm struct {
	servers, sidecars bool // it names some
	copies            bool
	lasts             bool // it needs a time to last
	turns             bool // it comes to one sidecar after another, `every` apart
	size              [2]float64
	sized             bool
}

// FaultKinds lists the kinds of faults with the form of each.
func faultForms() map[string]faultForm {
	return map[string]faultForm{
		"slow":       {servers: true, lasts: true, sized: true, size: [2]float64{1, 1000}},
		"fail":       {servers: true, lasts: true, sized: true, size: [2]float64{0, 1}},
		"hang":       {servers: true, lasts: true},
		"drop":       {servers: true, lasts: true, sized: true, size: [2]float64{0, 1}},
		"kill":       {servers: true},
		"restart":    {servers: true, lasts: true},
		"drain":      {servers: true},
		"replace":    {servers: true},
		"vanish":     {servers: true, lasts: true},
		"cut":        {servers: true, sidecars: true, lasts: true},
		"latency":    {servers: true, sidecars: true, lasts: true},
		"bandwidth":  {servers: true, sidecars: true, lasts: true, sized: true, size: [2]float64{1, 1e12}},
		"lose":       {servers: true, sidecars: true, lasts: true, sized: true, size: [2]float64{0, 1}},
		"reset":      {servers: true, sidecars: true},
		"refuse":     {servers: true, sidecars: true, lasts: true},
		"half-close": {servers: true, sidecars: true, lasts: true},
		"break":      {servers: true, sidecars: true, lasts: true, sized: true, size: [2]float64{1, 1e12}},

		"accept-late":   {servers: true, sidecars: true, lasts: true, sized: true, size: [2]float64{0.001, 60}},
		"idle-close":    {servers: true, lasts: true, sized: true, size: [2]float64{0.01, 600}},
		"reset-begun":   {servers: true, lasts: true, sized: true, size: [2]float64{0, 1}},
		"second-answer": {servers: true, lasts: true, sized: true, size: [2]float64{0, 1}},
		"turn-away":     {servers: true, lasts: true, sized: true, size: [2]float64{0, 1}},

		"sidecar-kill":    {sidecars: true, lasts: true},
		"sidecar-restart": {sidecars: true},
		"sidecar-term":    {sidecars: true, turns: true},
		"sidecar-freeze":  {sidecars: true, lasts: true},
		"sidecar-upgrade": {sidecars: true},
		"sidecar-clock":   {sidecars: true, lasts: true, sized: true, size: [2]float64{-1e6, 1e6}},
		"sidecar-call":    {sidecars: true, lasts: true},
		"server-clock":    {lasts: true, sized: true, size: [2]float64{-1e6, 1e6}},
		"list-late":       {sidecars: true, lasts: true, sized: true, size: [2]float64{0, 600}},
		"list-silent":     {sidecars: true, lasts: true},
		"list-hush":       {sidecars: true},
		"list-refuse":     {sidecars: true, lasts: true},
		"list-move":       {},
		"list-empty":      {sidecars: true, lasts: true},
		"list-half":       {sidecars: true, lasts: true, sized: true, size: [2]float64{0, 1}},
		"list-stuck":      {sidecars: true, lasts: true},
		"list-freeze":     {sidecars: true, lasts: true},
		"list-big":        {sidecars: true, lasts: true},
		"list-end":        {sidecars: true, lasts: true},
		"list-whole":      {sidecars: true, lasts: true},
		"list-pieces":     {sidecars: true, lasts: true, sized: true, size: [2]float64{1, 1e6}},
		"burst":           {lasts: true, sized: true, size: [2]float64{0, 100}},
		"rush":            {sidecars: true, turns: true, sized: true, size: [2]float64{1, 1000}},
		"idle-fill":       {sidecars: true, lasts: true, sized: true, size: [2]float64{1, 2000}},
		"leave":           {sidecars: true, sized: true, size: [2]float64{0, 1}},

		"copy-kill":           {copies: true, lasts: true},
		"copy-freeze":         {copies: true, lasts: true},
		"copy-cut":            {copies: true, lasts: true},
		"copy-disk-full":      {copies: true, lasts: true},
		"copy-disk-lost":      {copies: true, lasts: true},
		"copy-disk-slow":      {copies: true, lasts: true, sized: true, size: [2]float64{0, 60}},
		"copy-sync-kept":      {copies: true, lasts: true},
		"copy-sync-lost":      {copies: true, lasts: true},
		"copy-clock":          {copies: true, lasts: true, sized: true, size: [2]float64{-1e6, 1e6}},
		"entries-lost":        {lasts: true, sized: true, size: [2]float64{0, 1}},
		"defect-unheard-disk": {copies: true, lasts: true},
		"defect-stale-read":   {lasts: true},
		"defect-skipped-line": {lasts: true},
		"defect-fresh-claim":  {lasts: true},

		"members-cut":    {sidecars: true, lasts: true},
		"members-lose":   {sidecars: true, lasts: true, sized: true, size: [2]float64{0, 1}},
		"members-slow":   {sidecars: true, lasts: true},
		"members-refuse": {sidecars: true, lasts: true},

		"defect-send-twice":    {sidecars: true, lasts: true},
		"defect-send-again":    {sidecars: true, lasts: true},
		"defect-send-often":    {sidecars: true, lasts: true},
		"defect-tell-whole":    {sidecars: true, lasts: true},
		"defect-invent":        {sidecars: true, lasts: true},
		"defect-lose-answer":   {sidecars: true, lasts: true},
		"defect-answer-twice":  {sidecars: true, lasts: true},
		"defect-wrong-body":    {servers: true, lasts: true},
		"defect-told-late":     {sidecars: true, lasts: true, sized: true, size: [2]float64{0, 600}},
		"defect-ignore-drain":  {sidecars: true, lasts: true},
		"defect-undo-rollback": {lasts: true},

		"defect-end-early":   {sidecars: true, lasts: true},
		"defect-ignore-term": {sidecars: true, lasts: true},
		"defect-ready-late":  {sidecars: true, lasts: true, sized: true, size: [2]float64{0, 600}},
	}
}

func (s *Scenario) checkFault(f *Fault, key string, bad func(string, string, ...any) *invalidKey) *invalidKey {
	form, ok := faultForms()[f.Kind]
	switch {
	case !ok:
		return bad(key+".kind", "%q is no kind of fault; the kinds are %s", f.Kind, strings.Join(FaultKinds(), ", "))
	case f.At < 0 || f.At > s.Length:
		return bad(key+".at", "lies outside the run")
	case f.For < 0:
		return bad(key+".for", "is negative")
	case form.lasts && f.For == 0:
		return bad(key+".for", "is missing: a %s lasts", f.Kind)
	case !form.lasts && f.For > 0 && f.Every == 0:
		return bad(key+".for", "is set, but a %s happens once", f.Kind)
	case f.Kind == "replace" && f.Every > 0:
		return bad(key+".every", "is set, but a server is replaced once")
	case form.turns && (f.Every <= 0 || f.For != 0):
		return bad(key+".every", "is over 0, and for is not set, for a %s: the time from one sidecar to the next", f.Kind)
	case f.Every < 0 || f.Every > 0 && f.For == 0 && !form.turns:
		return bad(key+".every", "is negative, or there is no time in which it comes again")
	case f.Fraction < 0 || f.Fraction > 1 || f.Fraction > 0 && f.Kind != "accept-late":
		return bad(key+".share", "is not between 0 and 1, or set for something else than accept-late")
	case f.RandomDelay && f.Kind != "accept-late":
		return bad(key+".drawn", "is set, but only an accept-late can be drawn")
	case f.Unnoticed && f.Kind != "idle-close":
		return bad(key+".silent", "is set, but only an idle-close can be silent")
	case len(f.Classes) > 0 && f.Kind != "fail" && f.Kind != "slow":
		return bad(key+".classes", "is set, but only a fail or slow concerns some classes alone")
	case slices.ContainsFunc(f.Classes, func(name string) bool { return !s.hasClass(name) }):
		return bad(key+".classes", "names what is no class")
	case f.Zone != "" && (!form.servers || !slices.Contains(s.Network.Zones, f.Zone)):
		return bad(key+".zone", "%q is no zone, or a %s concerns no servers", f.Zone, f.Kind)
	case (f.Kind == "sidecar-call") != (f.Call != ""):
		return bad(key+".call", "names the system call of a sidecar-call, and is for nothing else")
	case f.Call != "" && f.Call != fault.CallAccept && f.Call != fault.CallOpen:
		return bad(key+".call", "%q is neither %s nor %s", f.Call, fault.CallAccept, fault.CallOpen)
	case (f.Call != "") != (f.Errno != ""):
		return bad(key+".errno", "names how the system call of a sidecar-call fails, and is for nothing else")
	case f.Errno != "" && !isErrno(f.Errno):
		return bad(key+".errno", "%q is no errno", f.Errno)
	case f.KeepServing && f.Kind != "drain":
		return bad(key+".stay", "is set, but only servers that drain can stay")
	case !form.servers && f.Servers != "":
		return bad(key+".servers", "is set, but a %s concerns none", f.Kind)
	case !form.sidecars && f.Sidecars != "":
		return bad(key+".sidecars", "is set, but a %s concerns none", f.Kind)
	case form.sized && !(f.Size >= form.size[0] && f.Size <= form.size[1]):
		return bad(key+".size", "is not between %g and %g", form.size[0], form.size[1])
	case !form.sized && f.Size != 0:
		return bad(key+".size", "is set, but a %s has none", f.Kind)
	case form.copies != (f.Replicas != ""):
		return bad(key+".copies", "is set, but a %s concerns none", f.Kind)
	case f.Replicas != "" && s.checkReplicas(f.Replicas) != nil:
		return bad(key+".copies", "%v", s.checkReplicas(f.Replicas))
	case f.Kind == "entries-lost" && s.Discovery.RegistryReplicas == 0:
		return bad(key+".kind", "it is of real copies of the list service, discovery.registry; of stand-ins there is list-half")
	case f.Kind == "defect-undo-rollback" && !s.HasRoutes():
		return bad(key+".kind", "there are no routes, and so no rollback")
	case s.Discovery.RegistryReplicas > 0 && (strings.HasPrefix(f.Kind, "list-") || f.Kind == "defect-told-late" || f.Kind == "defect-ignore-drain"):
		return bad(key+".kind", "a %s is of stand-ins; discovery.registry has real copies, whose faults are copy-*", f.Kind)
	case strings.HasPrefix(f.Kind, "copy-") != (s.Registry.Replicas+s.Discovery.RegistryReplicas > 0) && (s.Discovery.RegistryReplicas == 0 || strings.HasPrefix(f.Kind, "copy-")) && !strings.HasPrefix(f.Kind, "defect-"):
		return bad(key+".kind", "a %s is for runs of the other sort: with sidecars, or with registry.copies", f.Kind)
	case strings.HasPrefix(f.Kind, "members-") && s.Members == nil:
		return bad(key+".kind", "a %s is of members, and there is no section members", f.Kind)
	case f.Direction != "" && !isCut(f.Kind):
		return bad(key+".way", "is set, but only a cut has one")
	case isCut(f.Kind) && f.Direction != "to" && f.Direction != "from" && f.Direction != "both" && (f.Direction != "in" || f.Kind != "members-cut"):
		return bad(key+".way", "%q is none of to, from, both, and for members in", f.Direction)
	case addsLatency(f.Kind) && f.Latency <= 0 || !addsLatency(f.Kind) && f.Latency != 0:
		return bad(key+".latency", "is over 0 for a latency or members-slow, and for nothing else")
	case f.List != "" && f.Link != "discovery" && (!strings.HasPrefix(f.Kind, "list-") || f.Kind == "list-move"):
		return bad(key+".list", "is set, but a %s concerns none", f.Kind)
	case f.List != "" && f.List != "all" && !s.isListService(f.List):
		return bad(key+".list", "%q is neither all nor #0 to #%d", f.List, s.Discovery.Services-1)
	case f.Link != "servers" && f.Link != "discovery":
		return bad(key+".link", "%q is neither servers nor discovery", f.Link)
	}
	for _, selector := range []struct {
		key, pick string
		n         int
	}{{".servers", f.Servers, s.Servers.Count}, {".sidecars", f.Sidecars, s.Sidecars.Count}} {
		if selector.pick == "" {
			continue
		}
		if err := s.checkSelector(selector.pick, selector.n, selector.key == ".servers"); err != nil {
			return bad(key+selector.key, "%v", err)
		}
	}
	return nil
}

// PlantsInSidecars tells whether some fault is planted inside sidecars, by a file that they read.
func (s *Scenario) HasProcessFaults() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == "sidecar-clock" || f.Kind == "sidecar-call" })
}

func isErrno(name string) bool {
	_, ok := fault.Errno(name)
	return ok
}

func isCut(kind string) bool { return kind == "cut" || kind == "copy-cut" || kind == "members-cut" }

func addsLatency(kind string) bool { return kind == "latency" || kind == "members-slow" }

// checkCopies reads a choice of the list service's copies.
func (s *Scenario) checkReplicas(selector string) error {
	switch selector {
	case "leader", "follower", "majority", "all":
		return nil
	}
	if i, err := strconv.Atoi(strings.TrimPrefix(selector, "#")); err != nil || selector[0] != '#' || i < 0 || i >= max(s.Registry.Replicas, s.Discovery.RegistryReplicas) {
		return fmt.Errorf("%q is none of leader, follower, majority, all, #0 to #%d", selector, max(s.Registry.Replicas, s.Discovery.RegistryReplicas)-1)
	}
	return nil
}

// isList tells whether a choice names one of the list services.
func (s *Scenario) isListService(selector string) bool {
	i, err := strconv.Atoi(strings.TrimPrefix(selector, "#"))
	return err == nil && selector[0] == '#' && i >= 0 && i < max(s.Discovery.Services, s.Discovery.RegistryReplicas)
}
