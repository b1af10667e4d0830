// Package scenario reads what a run consists of: fleet, traffic, a timeline of faults, and what is expected.
// A file that cannot be meant is one error that names file, line and key.
package scenario

import (
	"fmt"
	"math"
	"os"

	"marblelane/internal/tomlfile"
)

// Duration is a time in a file, written with its unit: "250ms", "10s".
type Duration = tomlfile.Duration

// Range is two figures between which one is drawn for each thing.
type Range [2]float64

// At is the figure at a share of the range.
func (r Range) At(fraction float64) float64 { return r[0] + (r[1]-r[0])*fraction }

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
	RouteCommands    []RouteCommand   `toml:"order"`
	AuditQueries      []AuditQuery     `toml:"ask"`
	Members   *Members  `toml:"members"` // nil: there is none
	Expect    Expect    `toml:"expect"`
}

// Sidecars are the copies of the program.
type Sidecars struct {
	Count int `toml:"count"`
	// Program is the program's file; empty: sidecar as the command finds it; "none": clients go straight to
	// the servers in turn, the lab's own floor.
	Program  string  `toml:"program"`
	OlderCount    int     `toml:"older"` // so many, the first ones, run the older program that the command names, without routes
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	MaxSockets  int     `toml:"sockets"`
	TrafficSkew     float64 `toml:"skew"` // coefficient of variation of their traffic
}

// Servers are the stand-ins behind them.
type Servers struct {
	Count       int      `toml:"count"`
	PodSize     int      `toml:"pod_size"`
	LimitedPods float64  `toml:"limited_pods"` // share of pods whose servers share a limit
	PodLimit    Range    `toml:"pod_limit"`    // of their capacity
	Kinds       []ServerKind   `toml:"kind"`
	MaxConns    int      `toml:"max_conns"`
	HandshakeWork   Duration `toml:"handshake"` // work of a new connection
	IdleTimeout        Duration `toml:"idle"`
	Jam         bool     `toml:"jam"`
	NoCancel    bool     `toml:"no_cancel"`
	// FallMultiple is at what multiple they really fall over; 0: as the rules tell the sidecars.
	OverloadMultiple float64 `toml:"fall_multiple"`
}

// Kind is one kind of machine.
type ServerKind struct {
	Name     string   `toml:"name"`
	Fraction    float64  `toml:"share"`
	Cores    int      `toml:"cores"`
	Speed    Range    `toml:"speed"`
	Queue    int      `toml:"queue"`
	InitialCapacity float64  `toml:"cold_from"`
	SlowStart     Duration `toml:"cold"`
	// What follows is drawn once for a kind in each plan. A core of one slot works on one request at a time; of more,
	// so many requests share the cores, and the rest wait.
	SlotsPerCore Range `toml:"slots_per_core"`
	// A server pauses now and then, on average PauseEvery seconds apart (0: never), for up to Pause milliseconds, and
	// with all slots in use for longer by the factor 1 + PauseGrow.
	PauseEvery Range `toml:"pause_every_s"`
	PauseLength      Range `toml:"pause_ms"`
	PauseGrowth  Range `toml:"pause_grow"`
}

// Network is what lies between the parties when nothing is wrong.
type Network struct {
	Zones  []string `toml:"zones"`
	SameZone   Duration `toml:"same"`  // one way inside a zone
	CrossZone  Duration `toml:"cross"` // one way between zones
	Jitter float64  `toml:"jitter"`
	// Regions groups zones; the sidecars are told of them. Empty: there are none.
	Regions [][]string `toml:"regions"`
	CrossRegion     Duration   `toml:"far"`      // one way between regions
	CrossRegionCost float64    `toml:"far_cost"` // of an answer from another region, as a multiple of one from another zone
	// Split is how many servers of each so many lie in each zone, in the order of Zones; empty: as many in each.
	ServersByZone []int `toml:"split"`
}

// Traffic is what clients do.
type Traffic struct {
	// Load is the share of the servers' capacity that is asked for; Rate, in requests a second, comes before it.
	Load  float64 `toml:"load"`
	Rate  float64 `toml:"rate"`
	RateSwing float64 `toml:"swing"` // of the rate, up and down once in a run
	// Pace divides work, aims and deadlines, so that a short run holds more requests.
	Speedup      float64  `toml:"pace"`
	Retries   int      `toml:"retries"`
	Backoff   Duration `toml:"backoff"`
	AttemptTimeoutFraction  float64  `toml:"try_share"` // of a class's deadline, after which a try is given up
	ObeysRetryAfter    float64  `toml:"honour"`    // share of clients that obey Retry-After
	EarlyLeaveFraction float64  `toml:"impatient"` // share of tries whose client closes early
	LeaveModes     []string `toml:"leave"`     // how clients that leave early do so, one drawn for each: LeaveWays; empty: LeaveClose
	PipelinedFraction float64  `toml:"pipelined"` // share of tries with the first bytes of a next request behind them
	AnswerBytes    int      `toml:"answer"`    // bytes
}

// Discovery is when news reaches the sidecars.
type Discovery struct {
	DrainDelay       Duration `toml:"notice"`        // that a server drains
	CrashDelay Duration `toml:"silent_notice"` // that one is gone without a word
	AddDelay          Duration `toml:"add"`           // that one is there
	Spread       Duration `toml:"spread"`        // from the first sidecar to the last
	Services       int      `toml:"copies"`        // list services; with more than one a sidecar is told of all
	RegistryReplicas     int      `toml:"registry"`      // copies of the product's own list service in place of stand-ins; 0: stand-ins
	MaxStaleness    Duration `toml:"most_stale"`    // of those copies
	Zones        []string `toml:"zones"`         // that the list services lie in, in their order; none: sidecars are not told
	SuspectFraction   float64  `toml:"doubt_share"`   // what sidecars doubt; 0: nothing
	StaleAfter        Duration `toml:"stale"`         // from this age of the list sidecars lean on outcomes; 0: never
}

// Registry is a run of the product's own list service in place of sidecars: copies of it, writers and watchers.
type Registry struct {
	Replicas   int      `toml:"copies"` // 0: the run is one of sidecars
	Writers  int      `toml:"writers"`
	Watchers int      `toml:"watchers"`
	Entries  int      `toml:"entries"` // that writers write on
	WriterPause    Duration `toml:"pause"`   // of a writer between two calls
	HeartbeatInterval     Duration `toml:"beat"`    // of the leader
	Program  string   `toml:"program"` // the command's file; empty: the one that runs
	// MostStale is after how long without a leader a copy refuses reads and ends its watches; 0: never.
	MaxStaleness Duration `toml:"most_stale"`
}

// Rules are the figures of the rules, as the sidecars' settings state them.
type Rules struct {
	DrainGrace   Duration `toml:"drain_grace"`
	InitialCapacity     float64  `toml:"cold_from"`
	SlowStart         Duration `toml:"cold"`
	OverloadMultiple float64  `toml:"fall_multiple"`
	OverloadTime     Duration `toml:"fall_time"`
	MaxAttempts  int      `toml:"max_attempts"`
	AnswerSlack  Duration `toml:"answer_slack"`
	CrossZoneCost   float64  `toml:"cross_price"`
	HealthChecks       bool     `toml:"probes"`
	ReadyWithin  Duration `toml:"ready_within"` // of a copy that is started again
}

// Class is one class of requests.
type Class struct {
	Name  string   `toml:"name"`
	Fraction float64  `toml:"share"`
	Work  Duration `toml:"work"` // mean, on a core of speed 1
	Dist  string   `toml:"dist"` // of the work: "lognormal" (by CV; 0: all alike) or "exp"
	CV    float64  `toml:"cv"`
	// AttemptNoise is the coefficient of variation of the work from one attempt of a request to another.
	AttemptNoise float64  `toml:"attempt_noise"`
	Objective          Duration `toml:"aim"`
	Deadline     Duration `toml:"deadline"`
	PriorityWeight        float64  `toml:"worth"`
	Effect       string   `toml:"effect"` // "safe" or "unsafe"
	BodyBytes         int      `toml:"body"`   // bytes of a request that has one
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Fraction float64 `toml:"share"`
	UsageFactor float64 `toml:"usage"` // of its share that it sends; 1: just that
}

// Expect is what has to come out; a key that is absent expects nothing. Shares are of the run after its warm-up.
type Expect struct {
	InObjective       *float64  `toml:"in_aim"`        // worth served in aim, at least
	WorstInObjective  *float64  `toml:"worst_in_aim"`  // in the worst 5 s, at least
	Rejected     *float64  `toml:"refused"`       // share of tries, at most
	Failed      *float64  `toml:"failed"`        // share of tries, at most
	Attempts    *float64  `toml:"attempts"`      // per try that was sent on, at most
	CrossZone   *float64  `toml:"cross_zone"`    // share of attempts, at most
	WastedWork       *float64  `toml:"waste"`         // share of servers' work, at most
	P99         *Duration `toml:"p99"`           // of the time of answers that were served, at most
	MemoryGrowth *float64  `toml:"memory_growth"` // of a sidecar's RSS in the second half, at most
	// RolloutEnds is the phase of each rollout at the end; "refused": it was never taken.
	RolloutPhases map[string]string `toml:"rollout_ends"`
	// ShareError is by how much the share that servers saw may be off a step's, either way; steps of 100 first attempts or more.
	FractionError *float64 `toml:"share_error"`
	// Checks names the rules that have to be held to some case; empty: those of rollouts, where there are any.
	MustCheck []string `toml:"checks"`
	// Of membership: how many each member knows at the end; and how long it may take until all have noticed a death, until
	// they have counted it out, until all agree after the last fault, and until a newcomer is admitted.
	Members    *int      `toml:"members"`
	DetectWithin    *Duration `toml:"noticed"`
	RemoveWithin *Duration `toml:"counted_out"`
	ConvergeWithin      *Duration `toml:"agree"`
	AdmitWithin   *Duration `toml:"admitted"`
	// Breaks names the rules that have to be broken: a scenario with a planted defect.
	MustBreak []string `toml:"breaks"`
}

var inf = math.Inf(1)

// Read reads a scenario from a file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}
