// Package scenario reads scenario files: fleet, workload, fault injection and expected results of a run. It draws the
// plan of a run from a seed. A file that makes no sense gives one error that names file, line and key.
package scenario

import (
	"fmt"
	"os"

	"marblelane/internal/tomlfile"
)

// Duration is a time in a file, written with its unit: "250ms", "10s".
type Duration = tomlfile.Duration

// Range is two figures between which one is drawn for each thing.
type Range [2]float64

// contains tells whether a figure lies in the range.
func (r Range) contains(figure float64) bool { return figure >= r[0] && figure <= r[1] }

// At is the figure at a fraction of the range.
func (r Range) At(fraction float64) float64 { return r[0] + (r[1]-r[0])*fraction }

// Scenario is one run as its file describes it, with defaults for what the file leaves out.
type Scenario struct {
	Name   string   `toml:"-"`
	Title  string   `toml:"title"`
	Seed   uint64   `toml:"seed"`
	Length Duration `toml:"length"`
	// WarmUp is the first part of the run, which figures leave out; invariants hold in it, too.
	WarmUp Duration `toml:"warm_up"`

	Sidecars      Sidecars       `toml:"sidecars"`
	Servers       Servers        `toml:"servers"`
	Network       Network        `toml:"network"`
	Traffic       Traffic        `toml:"traffic"`
	Discovery     Discovery      `toml:"discovery"`
	Rules         Rules          `toml:"rules"`
	Registry      Registry       `toml:"registry"`
	Classes       []Class        `toml:"class"`
	Tenants       []Tenant       `toml:"tenant"`
	Faults        []Fault        `toml:"fault"`
	Routes        Routes         `toml:"routes"`
	Rollouts      []Rollout      `toml:"rollout"`
	RouteCommands []RouteCommand `toml:"order"`
	AuditQueries  []AuditQuery   `toml:"ask"`
	Members       *Members       `toml:"members"` // nil: membership is off
	Expect        Expect         `toml:"expect"`
}

// Sidecars are the copies of the program.
type Sidecars struct {
	Count int `toml:"count"`
	// Program is the program's file; empty: sidecar as the command finds it; "none": clients go straight to
	// the servers in turn, as a baseline.
	Program     string  `toml:"program"`
	OlderCount  int     `toml:"older"` // the first ones, which run the older program that the command names, without routes
	Cores       float64 `toml:"cores"`
	MemoryMB    int     `toml:"memory_mb"`
	MaxSockets  int     `toml:"sockets"`
	TrafficSkew float64 `toml:"skew"` // coefficient of variation of the traffic between them
}

// Servers are the stand-in servers.
type Servers struct {
	Count         int          `toml:"count"`
	PodSize       int          `toml:"pod_size"`
	LimitedPods   float64      `toml:"limited_pods"` // fraction of pods whose servers share a limit
	PodLimit      Range        `toml:"pod_limit"`    // of their capacity
	Kinds         []ServerKind `toml:"kind"`
	MaxConns      int          `toml:"max_conns"`
	HandshakeWork Duration     `toml:"handshake"` // work of a new connection
	IdleTimeout   Duration     `toml:"idle"`
	Jam           bool         `toml:"jam"`
	NoCancel      bool         `toml:"no_cancel"`
	// OverloadMultiple is the multiple of their capacity at which they crash; 0: as in Rules.
	OverloadMultiple float64 `toml:"fall_multiple"`
}

// ServerKind is one kind of machine.
type ServerKind struct {
	Name            string   `toml:"name"`
	Fraction        float64  `toml:"share"`
	Cores           int      `toml:"cores"`
	Speed           Range    `toml:"speed"`
	Queue           int      `toml:"queue"`
	InitialCapacity float64  `toml:"cold_from"`
	SlowStart       Duration `toml:"cold"`
	// The ranges below are drawn once for a kind in each plan. SlotsPerCore is how many requests a core works on at the same
	// time; the others wait.
	SlotsPerCore Range `toml:"slots_per_core"`
	// A server pauses on average each PauseEvery seconds (0: never) for up to PauseLength milliseconds, longer by the factor
	// 1 + PauseGrowth with all slots in use.
	PauseEvery  Range `toml:"pause_every_s"`
	PauseLength Range `toml:"pause_ms"`
	PauseGrowth Range `toml:"pause_grow"`
}

// Network is the latency between processes without faults.
type Network struct {
	Zones     []string `toml:"zones"`
	SameZone  Duration `toml:"same"`  // one way inside a zone
	CrossZone Duration `toml:"cross"` // one way between zones
	Jitter    float64  `toml:"jitter"`
	// Regions groups zones, also in the sidecars' configuration. Empty: there are none.
	Regions         [][]string `toml:"regions"`
	CrossRegion     Duration   `toml:"far"`      // one way between regions
	CrossRegionCost float64    `toml:"far_cost"` // of an answer from another region, as a multiple of one from another zone
	// ServersByZone is the ratio of the pods in each zone, in the order of Zones; empty: as many in each.
	ServersByZone []int `toml:"split"`
}

// Traffic is the workload: what clients do.
type Traffic struct {
	// Load is the offered load as a fraction of the servers' capacity; Rate, in requests a second, comes before it.
	Load      float64 `toml:"load"`
	Rate      float64 `toml:"rate"`
	RateSwing float64 `toml:"swing"` // amplitude of the rate, which rises and falls once in a run
	// Speedup divides work, objectives and deadlines, so that a short run holds more requests.
	Speedup                float64  `toml:"pace"`
	Retries                int      `toml:"retries"`
	Backoff                Duration `toml:"backoff"`
	AttemptTimeoutFraction float64  `toml:"try_share"` // of a class's deadline, after which a client attempt times out
	RetryAfterFraction     float64  `toml:"honour"`    // fraction of clients that wait for Retry-After
	EarlyLeaveFraction     float64  `toml:"impatient"` // fraction of client attempts that end early
	LeaveModes             []string `toml:"leave"`     // how they end, one of LeaveModes drawn for each; empty: LeaveClose
	PipelinedFraction      float64  `toml:"pipelined"` // fraction of client attempts followed by the first bytes of a next request
	ResponseBytes          int      `toml:"answer"`
}

// Discovery is when a change of a server reaches the sidecars, and by which list services.
type Discovery struct {
	DrainDelay       Duration `toml:"notice"`        // of the notice that a server drains
	CrashDelay       Duration `toml:"silent_notice"` // of the notice that a server has crashed
	AddDelay         Duration `toml:"add"`           // of the notice that a server has started
	Spread           Duration `toml:"spread"`        // from the first sidecar to the last
	Services         int      `toml:"copies"`        // list services; a sidecar follows all of them
	RegistryReplicas int      `toml:"registry"`      // replicas of the real list service in place of stand-ins; 0: stand-ins
	MaxStaleness     Duration `toml:"most_stale"`    // of those replicas
	Zones            []string `toml:"zones"`         // of the list services, in their order; empty: not configured in sidecars
	SuspectFraction  float64  `toml:"doubt_share"`   // of a list that shrinks, from which sidecars suspect it; 0: never
	StaleAfter       Duration `toml:"stale"`         // age of the list from which sidecars rely on outcomes; 0: never
}

// Registry is a run of the real list service without sidecars: replicas of it, writers and watchers.
type Registry struct {
	Replicas          int      `toml:"copies"` // 0: the run is one of sidecars
	Writers           int      `toml:"writers"`
	Watchers          int      `toml:"watchers"`
	Entries           int      `toml:"entries"` // that writers change
	WriterPause       Duration `toml:"pause"`   // between two calls of a writer
	HeartbeatInterval Duration `toml:"beat"`    // of its leader
	Program           string   `toml:"program"` // the program's file; empty: the one that runs
	// MaxStaleness is the time without a leader after which a replica rejects reads and ends its watches; 0: never.
	MaxStaleness Duration `toml:"most_stale"`
}

// Rules are the parameters of the balancing rules, as in the sidecars' settings.
type Rules struct {
	DrainGrace       Duration `toml:"drain_grace"`
	InitialCapacity  float64  `toml:"cold_from"`
	SlowStart        Duration `toml:"cold"`
	OverloadMultiple float64  `toml:"fall_multiple"`
	OverloadTime     Duration `toml:"fall_time"`
	MaxAttempts      int      `toml:"max_attempts"`
	AnswerSlack      Duration `toml:"answer_slack"`
	CrossZoneCost    float64  `toml:"cross_price"`
	HealthChecks     bool     `toml:"probes"`
	ReadyWithin      Duration `toml:"ready_within"` // of a restarted process
}

// The distributions of a class's work.
const (
	DistLognormal   = "lognormal" // with the class's CV; 0: all alike
	DistExponential = "exp"
)

// The effects of a class's requests on a server.
const (
	EffectIdempotent    = "safe"
	EffectNonIdempotent = "unsafe" // not idempotent: it must not run twice
)

// Class is one class of requests.
type Class struct {
	Name     string   `toml:"name"`
	Fraction float64  `toml:"share"`
	Work     Duration `toml:"work"` // mean, on a core of speed 1
	Dist     string   `toml:"dist"` // of the work: "lognormal" (by CV; 0: all alike) or "exp"
	CV       float64  `toml:"cv"`
	// AttemptNoise is the coefficient of variation of the work from one attempt of a request to another.
	AttemptNoise   float64  `toml:"attempt_noise"`
	Objective      Duration `toml:"aim"`
	Deadline       Duration `toml:"deadline"`
	PriorityWeight float64  `toml:"worth"`
	Effect         string   `toml:"effect"` // "safe" or "unsafe"
	BodyBytes      int      `toml:"body"`   // bytes of a request that has one
}

// Tenant is one customer.
type Tenant struct {
	Name        string  `toml:"name"`
	Fraction    float64 `toml:"share"`
	UsageFactor float64 `toml:"usage"` // its traffic over its fraction
}

// Expect is what the result has to be; an absent key expects nothing. Fractions are of the run after its warm-up.
type Expect struct {
	InObjective      *float64  `toml:"in_aim"`        // weighted fraction served within the latency objective, at least
	WorstInObjective *float64  `toml:"worst_in_aim"`  // the same in the worst 5 s, at least
	Rejected         *float64  `toml:"refused"`       // fraction of client attempts, at most
	Failed           *float64  `toml:"failed"`        // fraction of client attempts, at most
	Attempts         *float64  `toml:"attempts"`      // of servers for each client attempt that was forwarded, at most
	CrossZone        *float64  `toml:"cross_zone"`    // fraction of server attempts, at most
	WastedWork       *float64  `toml:"waste"`         // fraction of servers' work, at most
	P99              *Duration `toml:"p99"`           // of the time of answers that were served, at most
	MemoryGrowth     *float64  `toml:"memory_growth"` // of a sidecar's RSS in the second half, at most
	// RolloutPhases is the phase of each rollout at the end; "refused": it was rejected.
	RolloutPhases map[string]string `toml:"rollout_ends"`
	// FractionError is the greatest difference between the fraction that servers saw and a step's, of steps with 100 or more
	// first attempts.
	FractionError *float64 `toml:"share_error"`
	// MustCheck names the invariants that have to be checked on some case; empty: those of rollouts, where there are any.
	MustCheck []string `toml:"checks"`
	// Of membership: how many members each one knows at the end, and the longest times until all detect a death, remove
	// the dead member, agree after the last fault, and admit a joining member.
	Members        *int      `toml:"members"`
	DetectWithin   *Duration `toml:"noticed"`
	RemoveWithin   *Duration `toml:"counted_out"`
	ConvergeWithin *Duration `toml:"agree"`
	AdmitWithin    *Duration `toml:"admitted"`
	// MustBreak names the invariants that have to be broken: a scenario with a planted defect.
	MustBreak []string `toml:"breaks"`
}

// Read reads a scenario from a file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}
