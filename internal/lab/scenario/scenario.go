// Package scenario reads what a run consists of: fleet, traffic, a timeline of faults, and what is expected.
// A file that cannot be meant is one error that names file, line and key.
package scenario

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/tomlfile"
)

// Duration is a time in a file, written with its unit: "250ms", "10s".
type Duration = tomlfile.Duration

// Range is two figures between which one is drawn for each thing.
type Range [2]float64

// At is the figure at a share of the range.
func (r Range) At(share float64) float64 { return r[0] + (r[1]-r[0])*share }

// Scenario is one run as its file has it. Zero values stand for the defaults that Load fills in.
type Scenario struct {
	Name   string   `toml:"-"`
	Title  string   `toml:"title"`
	Seed   uint64   `toml:"seed"`
	Length Duration `toml:"length"`
	// WarmUp is the first part of the run, which figures leave out; rules hold in it too.
	WarmUp Duration `toml:"warm_up"`

	Sidecars  Sidecars  `toml:"sidecars"`
	Servers   Servers   `toml:"servers"`
	Network   Network   `toml:"network"`
	Traffic   Traffic   `toml:"traffic"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Registry  Registry  `toml:"registry"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Faults    []Fault   `toml:"fault"`
	Routes    Routes    `toml:"routes"`
	Rollouts  []Rollout `toml:"rollout"`
	Orders    []Order   `toml:"order"`
	Asks      []Ask     `toml:"ask"`
	Members   *Members  `toml:"members"` // nil: there is none
	Expect    Expect    `toml:"expect"`
}

// Sidecars are the copies of the program.
type Sidecars struct {
	Count int `toml:"count"`
	// Program is the program's file; empty: sidecar as the command finds it; "none": clients go straight to
	// the servers in turn, the lab's own floor.
	Program  string  `toml:"program"`
	Older    int     `toml:"older"` // so many, the first ones, run the older program that the command names, without routes
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Skew     float64 `toml:"skew"` // coefficient of variation of their traffic
}

// Servers are the stand-ins behind them.
type Servers struct {
	Count       int      `toml:"count"`
	PodSize     int      `toml:"pod_size"`
	LimitedPods float64  `toml:"limited_pods"` // share of pods whose servers share a limit
	PodLimit    Range    `toml:"pod_limit"`    // of their capacity
	Kinds       []Kind   `toml:"kind"`
	MaxConns    int      `toml:"max_conns"`
	Handshake   Duration `toml:"handshake"` // work of a new connection
	Idle        Duration `toml:"idle"`
	Jam         bool     `toml:"jam"`
	NoCancel    bool     `toml:"no_cancel"`
	// FallMultiple is at what multiple they really fall over; 0: as the rules tell the sidecars.
	FallMultiple float64 `toml:"fall_multiple"`
}

// Kind is one kind of machine.
type Kind struct {
	Name     string   `toml:"name"`
	Share    float64  `toml:"share"`
	Cores    int      `toml:"cores"`
	Speed    Range    `toml:"speed"`
	Queue    int      `toml:"queue"`
	ColdFrom float64  `toml:"cold_from"`
	Cold     Duration `toml:"cold"`
	// What follows is drawn once for a kind in each plan. A core of one slot works on one request at a time; of more,
	// so many requests share the cores, and the rest wait.
	Slots Range `toml:"slots_per_core"`
	// A server pauses now and then, on average PauseEvery seconds apart (0: never), for up to Pause milliseconds, and
	// with all slots in use for longer by the factor 1 + PauseGrow.
	PauseEvery Range `toml:"pause_every_s"`
	Pause      Range `toml:"pause_ms"`
	PauseGrow  Range `toml:"pause_grow"`
}

// Network is what lies between the parties when nothing is wrong.
type Network struct {
	Zones  []string `toml:"zones"`
	Same   Duration `toml:"same"`  // one way inside a zone
	Cross  Duration `toml:"cross"` // one way between zones
	Jitter float64  `toml:"jitter"`
	// Regions groups zones; the sidecars are told of them. Empty: there are none.
	Regions [][]string `toml:"regions"`
	Far     Duration   `toml:"far"`      // one way between regions
	FarCost float64    `toml:"far_cost"` // of an answer from another region, as a multiple of one from another zone
	// Split is how many servers of each so many lie in each zone, in the order of Zones; empty: as many in each.
	Split []int `toml:"split"`
}

// Traffic is what clients do.
type Traffic struct {
	// Load is the share of the servers' capacity that is asked for; Rate, in requests a second, comes before it.
	Load  float64 `toml:"load"`
	Rate  float64 `toml:"rate"`
	Swing float64 `toml:"swing"` // of the rate, up and down once in a run
	// Pace divides work, aims and deadlines, so that a short run holds more requests.
	Pace      float64  `toml:"pace"`
	Retries   int      `toml:"retries"`
	Backoff   Duration `toml:"backoff"`
	TryShare  float64  `toml:"try_share"` // of a class's deadline, after which a try is given up
	Honour    float64  `toml:"honour"`    // share of clients that obey Retry-After
	Impatient float64  `toml:"impatient"` // share of tries whose client closes early
	Leave     []string `toml:"leave"`     // how clients that leave early do so, one drawn for each: LeaveWays; empty: LeaveClose
	Pipelined float64  `toml:"pipelined"` // share of tries with the first bytes of a next request behind them
	Answer    int      `toml:"answer"`    // bytes
}

// Discovery is when news reaches the sidecars.
type Discovery struct {
	Notice       Duration `toml:"notice"`        // that a server drains
	SilentNotice Duration `toml:"silent_notice"` // that one is gone without a word
	Add          Duration `toml:"add"`           // that one is there
	Spread       Duration `toml:"spread"`        // from the first sidecar to the last
	Copies       int      `toml:"copies"`        // list services; with more than one a sidecar is told of all
	Registry     int      `toml:"registry"`      // copies of the product's own list service in place of stand-ins; 0: stand-ins
	MostStale    Duration `toml:"most_stale"`    // of those copies
	Zones        []string `toml:"zones"`         // that the list services lie in, in their order; none: sidecars are not told
	DoubtShare   float64  `toml:"doubt_share"`   // what sidecars doubt; 0: nothing
	Stale        Duration `toml:"stale"`         // from this age of the list sidecars lean on outcomes; 0: never
}

// Registry is a run of the product's own list service in place of sidecars: copies of it, writers and watchers.
type Registry struct {
	Copies   int      `toml:"copies"` // 0: the run is one of sidecars
	Writers  int      `toml:"writers"`
	Watchers int      `toml:"watchers"`
	Entries  int      `toml:"entries"` // that writers write on
	Pause    Duration `toml:"pause"`   // of a writer between two calls
	Beat     Duration `toml:"beat"`    // of the leader
	Program  string   `toml:"program"` // the command's file; empty: the one that runs
	// MostStale is after how long without a leader a copy refuses reads and ends its watches; 0: never.
	MostStale Duration `toml:"most_stale"`
}

// Rules are the figures of the rules, as the sidecars' settings state them.
type Rules struct {
	DrainGrace   Duration `toml:"drain_grace"`
	ColdFrom     float64  `toml:"cold_from"`
	Cold         Duration `toml:"cold"`
	FallMultiple float64  `toml:"fall_multiple"`
	FallTime     Duration `toml:"fall_time"`
	MaxAttempts  int      `toml:"max_attempts"`
	AnswerSlack  Duration `toml:"answer_slack"`
	CrossPrice   float64  `toml:"cross_price"`
	Probes       bool     `toml:"probes"`
	ReadyWithin  Duration `toml:"ready_within"` // of a copy that is started again
}

// Class is one class of requests.
type Class struct {
	Name  string   `toml:"name"`
	Share float64  `toml:"share"`
	Work  Duration `toml:"work"` // mean, on a core of speed 1
	Dist  string   `toml:"dist"` // of the work: "lognormal" (by CV; 0: all alike) or "exp"
	CV    float64  `toml:"cv"`
	// AttemptNoise is the coefficient of variation of the work from one attempt of a request to another.
	AttemptNoise float64  `toml:"attempt_noise"`
	Aim          Duration `toml:"aim"`
	Deadline     Duration `toml:"deadline"`
	Worth        float64  `toml:"worth"`
	Effect       string   `toml:"effect"` // "safe" or "unsafe"
	Body         int      `toml:"body"`   // bytes of a request that has one
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // of its share that it sends; 1: just that
}

// Fault is one thing that goes wrong, for a while or for good.
type Fault struct {
	At       Duration `toml:"at"`
	For      Duration `toml:"for"` // 0: it happens once, or stays
	Kind     string   `toml:"kind"`
	Servers  string   `toml:"servers"`  // which: all, 3, 20%, #4, zone:name, pod:1, kind:name
	Copies   string   `toml:"copies"`   // of the list service: leader, follower, majority, all, #1
	Sidecars string   `toml:"sidecars"` // which
	Size     float64  `toml:"size"`
	Way      string   `toml:"way"`     // "to", "from", "both": of a cut; "in" of members: they are not called, but call
	Latency  Duration `toml:"latency"` // of a slow link
	Every    Duration `toml:"every"`   // it comes again after this, until For is over
	Link     string   `toml:"link"`    // "servers" (default) or "discovery": which links of the sidecars
	List     string   `toml:"list"`    // which list service: all (default), #1
	Share    float64  `toml:"share"`   // of new connections that come up late; 0: all
	Drawn    bool     `toml:"drawn"`   // how late is drawn from 0 to the size, for each connection
	Silent   bool     `toml:"silent"`  // idle connections are forgotten in place of closed: what is written to them is reset
	Stay     bool     `toml:"stay"`    // servers that drain stay up, and serve what comes
	Classes  []string `toml:"classes"` // of requests that a fail or slow concerns; empty: all
	Call     string   `toml:"call"`    // the system call that fails: fault.CallAccept and its like
	Errno    string   `toml:"errno"`   // ... and how, by the name of its errno
	Zone     string   `toml:"zone"`    // of the servers only those of this zone; empty: of all
}

// Expect is what has to come out; a key that is absent expects nothing. Shares are of the run after its warm-up.
type Expect struct {
	InAim       *float64  `toml:"in_aim"`        // worth served in aim, at least
	WorstInAim  *float64  `toml:"worst_in_aim"`  // in the worst 5 s, at least
	Refused     *float64  `toml:"refused"`       // share of tries, at most
	Failed      *float64  `toml:"failed"`        // share of tries, at most
	Attempts    *float64  `toml:"attempts"`      // per try that was sent on, at most
	CrossZone   *float64  `toml:"cross_zone"`    // share of attempts, at most
	Waste       *float64  `toml:"waste"`         // share of servers' work, at most
	P99         *Duration `toml:"p99"`           // of the time of answers that were served, at most
	MemoryGrows *float64  `toml:"memory_growth"` // of a sidecar's RSS in the second half, at most
	// RolloutEnds is the phase of each rollout at the end; "refused": it was never taken.
	RolloutEnds map[string]string `toml:"rollout_ends"`
	// ShareError is by how much the share that servers saw may be off a step's, either way; steps of 100 first attempts or more.
	ShareError *float64 `toml:"share_error"`
	// Checks names the rules that have to be held to some case; empty: those of rollouts, where there are any.
	Checks []string `toml:"checks"`
	// Of membership: how many each member knows at the end; and how long it may take until all have noticed a death, until
	// they have counted it out, until all agree after the last fault, and until a newcomer is admitted.
	Members    *int      `toml:"members"`
	Noticed    *Duration `toml:"noticed"`
	CountedOut *Duration `toml:"counted_out"`
	Agree      *Duration `toml:"agree"`
	Admitted   *Duration `toml:"admitted"`
	// Breaks names the rules that have to be broken: a scenario with a planted defect.
	Breaks []string `toml:"breaks"`
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

var inf = math.Inf(1)

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

// defaults fills in what the file leaves out: the operators' fleet, as their page has it.
func (s *Scenario) defaults() {
	or(&s.Seed, 1)
	or(&s.Length, Duration(20*time.Second))
	or(&s.Sidecars.Count, 4)
	or(&s.Sidecars.Cores, 1)
	or(&s.Sidecars.MemoryMB, 128)
	or(&s.Sidecars.Sockets, 512)
	or(&s.Servers.Count, 9)
	or(&s.Servers.PodSize, 4)
	or(&s.Servers.PodLimit, Range{0.4, 0.73})
	or(&s.Servers.MaxConns, 1500)
	or(&s.Servers.Handshake, Duration(2*time.Millisecond))
	or(&s.Servers.Idle, Duration(5*time.Second))
	if len(s.Network.Zones) == 0 {
		s.Network.Zones = []string{"limerick-dc", "cork-dc"}
	}
	or(&s.Network.Same, Duration(200*time.Microsecond))
	or(&s.Network.Cross, Duration(time.Millisecond))
	or(&s.Network.Far, Duration(8*time.Millisecond))
	or(&s.Network.FarCost, 2)
	if s.Traffic.Rate == 0 {
		or(&s.Traffic.Load, 0.4)
	}
	or(&s.Traffic.Pace, 1)
	or(&s.Traffic.TryShare, 0.5)
	or(&s.Traffic.Answer, 1200)
	if len(s.Traffic.Leave) == 0 {
		s.Traffic.Leave = []string{LeaveClose}
	}
	or(&s.Discovery.Notice, Duration(2*time.Second))
	or(&s.Discovery.SilentNotice, Duration(6*time.Second))
	or(&s.Discovery.Add, Duration(1500*time.Millisecond))
	or(&s.Discovery.Spread, Duration(100*time.Millisecond))
	or(&s.Discovery.Copies, 1)
	if s.Registry.Copies > 0 {
		or(&s.Registry.Writers, 4)
		or(&s.Registry.Watchers, 10)
		or(&s.Registry.Entries, 8)
		or(&s.Registry.Pause, Duration(5*time.Millisecond))
		or(&s.Registry.Beat, Duration(100*time.Millisecond))
	}
	or(&s.Rules.DrainGrace, Duration(2*time.Second))
	or(&s.Rules.ColdFrom, 0.17)
	or(&s.Rules.Cold, Duration(24*time.Second))
	or(&s.Rules.FallMultiple, 4)
	or(&s.Rules.FallTime, Duration(3*time.Second))
	or(&s.Rules.MaxAttempts, 3)
	or(&s.Rules.AnswerSlack, Duration(20*time.Millisecond))
	or(&s.Rules.CrossPrice, 0.1)
	or(&s.Rules.ReadyWithin, Duration(10*time.Second))
	if len(s.Servers.Kinds) == 0 {
		cold := Duration(18 * time.Second)
		s.Servers.Kinds = []Kind{
			{Name: "standard", Share: 0.41, Cores: 2, Speed: Range{0.85, 1.1}, Queue: 900, ColdFrom: 0.25, Cold: cold,
				Slots: Range{4, 12}, PauseEvery: Range{3.2, 8.6}, Pause: Range{0, 180}, PauseGrow: Range{0.0033, 1.1}},
			{Name: "older", Share: 0.59, Cores: 2, Speed: Range{0.51, 0.69}, Queue: 900, ColdFrom: 0.25, Cold: cold,
				Slots: Range{4, 12}, PauseEvery: Range{5, 12}, Pause: Range{0, 160}, PauseGrow: Range{0.071, 1.2}},
		}
	}
	for i := range s.Servers.Kinds {
		k := &s.Servers.Kinds[i]
		or(&k.Cores, 2)
		or(&k.Speed, Range{1, 1})
		or(&k.Queue, 900)
		or(&k.ColdFrom, 1)
		or(&k.Slots, Range{1, 1})
	}
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	if len(s.Classes) == 0 {
		s.Classes = []Class{
			{Name: "stock-lookup", Share: 0.42, Work: ms(80), Dist: "exp", AttemptNoise: 0.3, Aim: ms(600), Deadline: ms(1500), Worth: 2, Effect: "safe"},
			{Name: "shelf-count", Share: 0.29, Work: ms(85), CV: 0.6, AttemptNoise: 0.33, Aim: ms(600), Deadline: ms(3000), Worth: 2, Effect: "safe"},
			{Name: "parcel-issue", Share: 0.21, Work: ms(90), CV: 0.4, AttemptNoise: 0.34, Aim: ms(600), Deadline: ms(1500), Worth: 8, Effect: "unsafe"},
			{Name: "donation-intake", Share: 0.08, Work: ms(180), Dist: "exp", AttemptNoise: 0.35, Aim: ms(1000), Deadline: ms(5000), Worth: 3, Effect: "unsafe"},
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		or(&c.Worth, 1)
		or(&c.Effect, "safe")
		or(&c.Dist, "lognormal")
		if c.Effect == "unsafe" {
			or(&c.Body, 200)
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "shannonside", Share: 0.53}, {Name: "midwest-pantry", Share: 0.25}, {Name: "lee-valley", Share: 0.22}}
	}
	for i := range s.Tenants {
		or(&s.Tenants[i].Usage, 1)
	}
	s.routeDefaults()
	s.memberDefaults()
	for i := range s.Faults {
		f := &s.Faults[i]
		form := faultForms()[f.Kind]
		if form.servers {
			or(&f.Servers, "all")
		}
		if form.sidecars {
			or(&f.Sidecars, "all")
		}
		if form.copies {
			or(&f.Copies, "leader")
		}
		if isCut(f.Kind) {
			or(&f.Way, "both")
		}
		if f.Kind == "accept-late" {
			or(&f.Share, 1)
		}
		or(&f.Link, "servers")
		if strings.HasPrefix(f.Kind, "list-") && f.Kind != "list-move" || f.Link == "discovery" {
			or(&f.List, "all")
		}
	}
}

func or[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// check finds what cannot be meant; it names the key by its path in the file.
func (s *Scenario) check() *keyError {
	bad := func(key, format string, args ...any) *keyError {
		return &keyError{key: key, text: fmt.Sprintf(format, args...)}
	}
	for _, v := range []struct {
		key    string
		v      float64
		lo, hi float64
	}{
		{"length", float64(s.Length), 1e8, 24 * 3.6e12}, {"warm_up", float64(s.WarmUp), 0, float64(s.Length)},
		{"sidecars.count", float64(s.Sidecars.Count), 1, 1000}, {"sidecars.older", float64(s.Sidecars.Older), 0, float64(s.Sidecars.Count)}, {"sidecars.cores", s.Sidecars.Cores, 0.01, 1024},
		{"sidecars.memory_mb", float64(s.Sidecars.MemoryMB), 8, 1 << 20},
		{"sidecars.sockets", float64(s.Sidecars.Sockets), 48, 1 << 20}, {"sidecars.skew", s.Sidecars.Skew, 0, 10},
		{"servers.count", float64(s.Servers.Count), 1, 5000}, {"servers.pod_size", float64(s.Servers.PodSize), 1, 5000},
		{"servers.limited_pods", s.Servers.LimitedPods, 0, 1},
		{"servers.pod_limit", s.Servers.PodLimit[0], 0.01, s.Servers.PodLimit[1]},
		{"servers.max_conns", float64(s.Servers.MaxConns), 1, 1 << 20},
		{"servers.handshake", float64(s.Servers.Handshake), 0, inf}, {"servers.idle", float64(s.Servers.Idle), 1e8, inf},
		{"servers.fall_multiple", s.Servers.FallMultiple, 0, inf},
		{"registry.copies", float64(s.Registry.Copies), 0, 9}, {"registry.writers", float64(s.Registry.Writers), 0, 100},
		{"registry.watchers", float64(s.Registry.Watchers), 0, 10000}, {"registry.entries", float64(s.Registry.Entries), 0, 10000},
		{"registry.pause", float64(s.Registry.Pause), 0, inf}, {"registry.beat", float64(s.Registry.Beat), 0, 1e10},
		{"registry.most_stale", float64(s.Registry.MostStale), 0, inf},
		{"network.same", float64(s.Network.Same), 0, 1e10}, {"network.cross", float64(s.Network.Cross), 0, 1e10},
		{"network.jitter", s.Network.Jitter, 0, 1},
		{"network.far", float64(s.Network.Far), 0, 1e10}, {"network.far_cost", s.Network.FarCost, 1, 100},
		{"traffic.load", s.Traffic.Load, 0, 100}, {"traffic.rate", s.Traffic.Rate, 0, 1e6},
		{"traffic.swing", s.Traffic.Swing, 0, 1}, {"traffic.pace", s.Traffic.Pace, 0.1, 100},
		{"traffic.retries", float64(s.Traffic.Retries), 0, 10}, {"traffic.backoff", float64(s.Traffic.Backoff), 0, inf},
		{"traffic.try_share", s.Traffic.TryShare, 0.01, 1}, {"traffic.honour", s.Traffic.Honour, 0, 1},
		{"traffic.impatient", s.Traffic.Impatient, 0, 1}, {"traffic.answer", float64(s.Traffic.Answer), 0, 32 << 20},
		{"traffic.pipelined", s.Traffic.Pipelined, 0, 1},
		{"discovery.notice", float64(s.Discovery.Notice), 0, inf}, {"discovery.add", float64(s.Discovery.Add), 0, inf},
		{"discovery.silent_notice", float64(s.Discovery.SilentNotice), 0, inf},
		{"discovery.spread", float64(s.Discovery.Spread), 0, inf},
		{"discovery.copies", float64(s.Discovery.Copies), 1, 9}, {"discovery.registry", float64(s.Discovery.Registry), 0, 9},
		{"discovery.most_stale", float64(s.Discovery.MostStale), 0, inf},
		{"discovery.doubt_share", s.Discovery.DoubtShare, 0, 1},
		{"discovery.stale", float64(s.Discovery.Stale), 0, inf},
		{"rules.drain_grace", float64(s.Rules.DrainGrace), 0, inf}, {"rules.cold_from", s.Rules.ColdFrom, 0.01, 1},
		{"rules.cold", float64(s.Rules.Cold), 0, inf}, {"rules.fall_multiple", s.Rules.FallMultiple, 0, inf},
		{"rules.fall_time", float64(s.Rules.FallTime), 0, inf}, {"rules.max_attempts", float64(s.Rules.MaxAttempts), 1, 10},
		{"rules.answer_slack", float64(s.Rules.AnswerSlack), 0, inf}, {"rules.cross_price", s.Rules.CrossPrice, 0, inf},
		{"rules.ready_within", float64(s.Rules.ReadyWithin), 0, inf},
	} {
		if !(v.v >= v.lo && v.v <= v.hi) {
			return bad(v.key, "is out of range")
		}
	}
	for i, k := range s.Servers.Kinds {
		key := fmt.Sprintf("servers.kind[%d]", i)
		switch {
		case k.Name == "":
			return bad(key+".name", "is missing")
		case !(k.Share > 0):
			return bad(key+".share", "is not over 0")
		case k.Cores < 1 || k.Cores > 1024:
			return bad(key+".cores", "is out of range")
		case !(k.Speed[0] > 0 && k.Speed[0] <= k.Speed[1]):
			return bad(key+".speed", "is not two figures over 0, the smaller one first")
		case k.Queue < 0:
			return bad(key+".queue", "is negative")
		case !(k.ColdFrom > 0 && k.ColdFrom <= 1) || k.Cold < 0:
			return bad(key+".cold_from", "is not in (0, 1], or cold is negative")
		}
		for _, r := range []struct {
			name   string
			r      Range
			lo, hi float64
		}{{"slots_per_core", k.Slots, 1, 1000}, {"pause_every_s", k.PauseEvery, 0, 3600}, {"pause_ms", k.Pause, 0, 60000},
			{"pause_grow", k.PauseGrow, 0, 100}} {
			if !(r.r[0] >= r.lo && r.r[0] <= r.r[1] && r.r[1] <= r.hi) {
				return bad(key+"."+r.name, "is not two figures between %g and %g, the smaller one first", r.lo, r.hi)
			}
		}
	}
	zones := map[string]bool{}
	for i, z := range s.Network.Zones {
		if z == "" || zones[z] {
			return bad(fmt.Sprintf("network.zones[%d]", i), "%q is not a name of its own", z)
		}
		zones[z] = true
	}
	if e := s.checkNetwork(zones, bad); e != nil {
		return e
	}
	if e := s.checkTraffic(bad); e != nil {
		return e
	}
	if e := s.checkRoutes(bad); e != nil {
		return e
	}
	if e := s.checkMembers(bad); e != nil {
		return e
	}
	for i := range s.Faults {
		if e := s.checkFault(&s.Faults[i], fmt.Sprintf("fault[%d]", i), bad); e != nil {
			return e
		}
	}
	for i, b := range s.Expect.Breaks {
		if !Rule(b) {
			return bad(fmt.Sprintf("expect.breaks[%d]", i), "%q is no rule; the rules are %s", b, strings.Join(RuleNames(), ", "))
		}
	}
	return nil
}

// checkNetwork checks what says where servers and zones lie.
func (s *Scenario) checkNetwork(zones map[string]bool, bad func(string, string, ...any) *keyError) *keyError {
	seen := map[string]bool{}
	for i, region := range s.Network.Regions {
		key := fmt.Sprintf("network.regions[%d]", i)
		if len(region) == 0 {
			return bad(key, "names no zone")
		}
		for _, z := range region {
			if !zones[z] || seen[z] {
				return bad(key, "%q is no zone, or in a region already; the zones are %s", z, strings.Join(s.Network.Zones, ", "))
			}
			seen[z] = true
		}
	}
	if len(seen) > 0 && len(seen) < len(zones) {
		return bad("network.regions", "leaves out a zone: each lies in one region, or there are none")
	}
	if n, lists := len(s.Discovery.Zones), max(s.Discovery.Copies, s.Discovery.Registry); n > 0 && n != lists {
		return bad("discovery.zones", "names %d zones for %d list services", n, lists)
	}
	for i, z := range s.Discovery.Zones {
		if !zones[z] {
			return bad(fmt.Sprintf("discovery.zones[%d]", i), "unknown zone %q; the zones are %s", z, strings.Join(s.Network.Zones, ", "))
		}
	}
	if n := len(s.Network.Split); n > 0 && n != len(s.Network.Zones) {
		return bad("network.split", "has %d figures for %d zones", n, len(s.Network.Zones))
	}
	for i, n := range s.Network.Split {
		if n < 1 || n > 1000 {
			return bad(fmt.Sprintf("network.split[%d]", i), "is not between 1 and 1000")
		}
	}
	return nil
}

func (s *Scenario) checkTraffic(bad func(string, string, ...any) *keyError) *keyError {
	if e := s.checkLeave(bad); e != nil {
		return e
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		switch {
		case c.Name == "" || names[c.Name]:
			return bad(key+".name", "%q is not a name of its own", c.Name)
		case !(c.Share > 0):
			return bad(key+".share", "is not over 0")
		case c.Work <= 0:
			return bad(key+".work", "is not over 0")
		case c.Aim <= 0 || c.Deadline < c.Aim:
			return bad(key+".aim", "is not over 0 and at most the deadline")
		case c.CV < 0 || c.Worth < 0:
			return bad(key+".cv", "or worth is negative")
		case !(c.AttemptNoise >= 0 && c.AttemptNoise <= 10):
			return bad(key+".attempt_noise", "is not between 0 and 10")
		case c.Dist != "lognormal" && c.Dist != "exp":
			return bad(key+".dist", "%q is neither lognormal nor exp", c.Dist)
		case c.Dist == "exp" && c.CV > 0:
			return bad(key+".cv", "is set, but work that is drawn from an exponential has none of its own")
		case c.Effect != "safe" && c.Effect != "unsafe":
			return bad(key+".effect", "%q is neither safe nor unsafe", c.Effect)
		case c.Body < 0 || c.Body > 32<<20 || c.Effect == "safe" && c.Body > 0:
			return bad(key+".body", "cannot be: a safe class has none, others at most 32 MB")
		}
		names[c.Name] = true
	}
	for i, t := range s.Tenants {
		if t.Name == "" || names["t:"+t.Name] || !(t.Share > 0) || t.Usage < 0 {
			return bad(fmt.Sprintf("tenant[%d].name", i), "has no name of its own, or a share or usage that cannot be")
		}
		names["t:"+t.Name] = true
	}
	return nil
}

func (s *Scenario) checkFault(f *Fault, key string, bad func(string, string, ...any) *keyError) *keyError {
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
	case f.Share < 0 || f.Share > 1 || f.Share > 0 && f.Kind != "accept-late":
		return bad(key+".share", "is not between 0 and 1, or set for something else than accept-late")
	case f.Drawn && f.Kind != "accept-late":
		return bad(key+".drawn", "is set, but only an accept-late can be drawn")
	case f.Silent && f.Kind != "idle-close":
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
	case f.Stay && f.Kind != "drain":
		return bad(key+".stay", "is set, but only servers that drain can stay")
	case !form.servers && f.Servers != "":
		return bad(key+".servers", "is set, but a %s concerns none", f.Kind)
	case !form.sidecars && f.Sidecars != "":
		return bad(key+".sidecars", "is set, but a %s concerns none", f.Kind)
	case form.sized && !(f.Size >= form.size[0] && f.Size <= form.size[1]):
		return bad(key+".size", "is not between %g and %g", form.size[0], form.size[1])
	case !form.sized && f.Size != 0:
		return bad(key+".size", "is set, but a %s has none", f.Kind)
	case form.copies != (f.Copies != ""):
		return bad(key+".copies", "is set, but a %s concerns none", f.Kind)
	case f.Copies != "" && s.checkCopies(f.Copies) != nil:
		return bad(key+".copies", "%v", s.checkCopies(f.Copies))
	case f.Kind == "entries-lost" && s.Discovery.Registry == 0:
		return bad(key+".kind", "it is of real copies of the list service, discovery.registry; of stand-ins there is list-half")
	case f.Kind == "defect-undo-rollback" && !s.Routed():
		return bad(key+".kind", "there are no routes, and so no rollback")
	case s.Discovery.Registry > 0 && (strings.HasPrefix(f.Kind, "list-") || f.Kind == "defect-told-late" || f.Kind == "defect-ignore-drain"):
		return bad(key+".kind", "a %s is of stand-ins; discovery.registry has real copies, whose faults are copy-*", f.Kind)
	case strings.HasPrefix(f.Kind, "copy-") != (s.Registry.Copies+s.Discovery.Registry > 0) && (s.Discovery.Registry == 0 || strings.HasPrefix(f.Kind, "copy-")) && !strings.HasPrefix(f.Kind, "defect-"):
		return bad(key+".kind", "a %s is for runs of the other sort: with sidecars, or with registry.copies", f.Kind)
	case strings.HasPrefix(f.Kind, "members-") && s.Members == nil:
		return bad(key+".kind", "a %s is of members, and there is no section members", f.Kind)
	case f.Way != "" && !isCut(f.Kind):
		return bad(key+".way", "is set, but only a cut has one")
	case isCut(f.Kind) && f.Way != "to" && f.Way != "from" && f.Way != "both" && (f.Way != "in" || f.Kind != "members-cut"):
		return bad(key+".way", "%q is none of to, from, both, and for members in", f.Way)
	case slows(f.Kind) && f.Latency <= 0 || !slows(f.Kind) && f.Latency != 0:
		return bad(key+".latency", "is over 0 for a latency or members-slow, and for nothing else")
	case f.List != "" && f.Link != "discovery" && (!strings.HasPrefix(f.Kind, "list-") || f.Kind == "list-move"):
		return bad(key+".list", "is set, but a %s concerns none", f.Kind)
	case f.List != "" && f.List != "all" && !s.isList(f.List):
		return bad(key+".list", "%q is neither all nor #0 to #%d", f.List, s.Discovery.Copies-1)
	case f.Link != "servers" && f.Link != "discovery":
		return bad(key+".link", "%q is neither servers nor discovery", f.Link)
	}
	for _, one := range []struct {
		key, pick string
		n         int
	}{{".servers", f.Servers, s.Servers.Count}, {".sidecars", f.Sidecars, s.Sidecars.Count}} {
		if one.pick == "" {
			continue
		}
		if err := s.checkPick(one.pick, one.n, one.key == ".servers"); err != nil {
			return bad(key+one.key, "%v", err)
		}
	}
	return nil
}

// PlantsInSidecars tells whether some fault is planted inside sidecars, by a file that they read.
func (s *Scenario) PlantsInSidecars() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == "sidecar-clock" || f.Kind == "sidecar-call" })
}

func isErrno(name string) bool {
	_, ok := fault.Errno(name)
	return ok
}

func isCut(kind string) bool { return kind == "cut" || kind == "copy-cut" || kind == "members-cut" }

func slows(kind string) bool { return kind == "latency" || kind == "members-slow" }

// checkCopies reads a choice of the list service's copies.
func (s *Scenario) checkCopies(pick string) error {
	switch pick {
	case "leader", "follower", "majority", "all":
		return nil
	}
	if i, err := strconv.Atoi(strings.TrimPrefix(pick, "#")); err != nil || pick[0] != '#' || i < 0 || i >= max(s.Registry.Copies, s.Discovery.Registry) {
		return fmt.Errorf("%q is none of leader, follower, majority, all, #0 to #%d", pick, max(s.Registry.Copies, s.Discovery.Registry)-1)
	}
	return nil
}

// isList tells whether a choice names one of the list services.
func (s *Scenario) isList(pick string) bool {
	i, err := strconv.Atoi(strings.TrimPrefix(pick, "#"))
	return err == nil && pick[0] == '#' && i >= 0 && i < max(s.Discovery.Copies, s.Discovery.Registry)
}

// checkPick reads a choice: "all", "3" (so many, drawn), "20%" (drawn), "#4" (that one), "zone:NAME", "region:N",
// and for servers "pod:N" and "kind:NAME".
func (s *Scenario) checkPick(pick string, n int, servers bool) error {
	what, name, _ := strings.Cut(pick, ":")
	switch {
	case pick == "all":
		return nil
	case pick == "late" && !servers:
		if s.Members == nil || s.Members.Late == 0 || n < s.Sidecars.Count {
			return fmt.Errorf("no sidecar is late")
		}
		return nil
	case what == "zone":
		for _, z := range s.Network.Zones {
			if z == name {
				return nil
			}
		}
		return fmt.Errorf("unknown zone %q; the zones are %s", name, strings.Join(s.Network.Zones, ", "))
	case what == "region":
		if i, err := strconv.Atoi(name); err != nil || i < 0 || i >= len(s.Network.Regions) {
			return fmt.Errorf("there is no region %q of %d", name, len(s.Network.Regions))
		}
		return nil
	case what == "subset" && servers:
		if !s.hasSubset(name) {
			return fmt.Errorf("unknown subset %q", name)
		}
		return nil
	case what == "pod" && servers:
		if p, err := strconv.Atoi(name); err != nil || p < 0 || p*s.Servers.PodSize >= n {
			return fmt.Errorf("there is no pod %q", name)
		}
		return nil
	case what == "kind" && servers:
		for _, k := range s.Servers.Kinds {
			if k.Name == name {
				return nil
			}
		}
		return fmt.Errorf("unknown kind %q", name)
	case strings.HasPrefix(pick, "#"):
		if i, err := strconv.Atoi(pick[1:]); err != nil || i < 0 || i >= n {
			return fmt.Errorf("there is no %s: they are #0 to #%d", pick, n-1)
		}
		return nil
	case strings.HasSuffix(pick, "%"):
		if p, err := strconv.ParseFloat(strings.TrimSuffix(pick, "%"), 64); err != nil || !(p > 0 && p <= 100) {
			return fmt.Errorf("%q is no share", pick)
		}
		return nil
	}
	if i, err := strconv.Atoi(pick); err != nil || i < 1 || i > n {
		return fmt.Errorf("%q is none of all, a number up to %d, #number, share%%, zone:name, pod:number, kind:name", pick, n)
	}
	return nil
}

// Read reads a scenario from a file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}
