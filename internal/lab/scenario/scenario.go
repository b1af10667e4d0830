// Package scenario reads and validates scenario files: the fleet, the workload, the faults and the expected results of
// a run. From a scenario and a seed it draws the plan of a run. An invalid file yields one error with its file, line
// and key.
package scenario

import (
	"fmt"
	"os"

	"marblelane/internal/tomlfile"
)

// Duration is a time that a file states with its unit: "250ms", "10s".
type Duration = tomlfile.Duration

// Range is the lower and upper bound between which a value is drawn.
type Range [2]float64

// contains reports whether a value lies in the range, bounds included.
func (r Range) contains(value float64) bool { return value >= r[0] && value <= r[1] }

// At returns the value at a fraction of the range: the lower bound at 0, the upper bound at 1.
func (r Range) At(fraction float64) float64 { return r[0] + (r[1]-r[0])*fraction }

// Scenario describes one run: the contents of a file, with defaults for the keys that the file omits.
type Scenario struct {
	Name   string   `toml:"-"`
	Title  string   `toml:"title"`
	Seed   uint64   `toml:"seed"`
	Length Duration `toml:"length"`
	// WarmUp is the start of the run that the measured results exclude. Invariants are checked in it, too.
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
	Members       *Members       `toml:"members"` // nil means that membership is off
	Expect        Expect         `toml:"expect"`
}

// Sidecars describes the sidecar processes.
type Sidecars struct {
	Count int `toml:"count"`
	// Program is the path of the sidecar program. An empty value means the one that the command finds, and "none" a
	// baseline without sidecars: clients send to the servers directly, in rotation.
	Program     string  `toml:"program"`
	OlderCount  int     `toml:"older"` // number of sidecars, the first ones, that run the command's older program, without routes
	Cores       float64 `toml:"cores"`
	MemoryMB    int     `toml:"memory_mb"`
	MaxSockets  int     `toml:"sockets"`
	TrafficSkew float64 `toml:"skew"` // coefficient of variation of the traffic from sidecar to sidecar
}

// Servers describes the stand-in servers.
type Servers struct {
	Count         int          `toml:"count"`
	PodSize       int          `toml:"pod_size"`
	LimitedPods   float64      `toml:"limited_pods"` // fraction of the pods that have a limit, which their servers share
	PodLimit      Range        `toml:"pod_limit"`    // limit of a pod as a fraction of the capacity of its servers
	Kinds         []ServerKind `toml:"kind"`
	MaxConns      int          `toml:"max_conns"`
	HandshakeWork Duration     `toml:"handshake"` // work that a new connection costs the server
	IdleTimeout   Duration     `toml:"idle"`
	Jam           bool         `toml:"jam"`       // overloaded servers slow down until they have been idle for a time
	NoCancel      bool         `toml:"no_cancel"` // a server completes a request that it works on after its client has left
	// OverloadMultiple is the multiple of its capacity at which a server crashes. 0 means the multiple in Rules.
	OverloadMultiple float64 `toml:"fall_multiple"`
}

// ServerKind is a kind of server machine.
type ServerKind struct {
	Name            string   `toml:"name"`
	Fraction        float64  `toml:"share"`
	Cores           int      `toml:"cores"`
	Speed           Range    `toml:"speed"`
	Queue           int      `toml:"queue"`
	InitialCapacity float64  `toml:"cold_from"`
	SlowStart       Duration `toml:"cold"`
	// In each plan, one value is drawn for a kind from each range below. SlotsPerCore is the number of requests that a
	// core works on at the same time. Further requests wait.
	SlotsPerCore Range `toml:"slots_per_core"`
	// A server pauses every PauseEvery seconds on average (0 means never), for up to PauseLength milliseconds. With all
	// slots in use the pause is longer by the factor 1 + PauseGrowth.
	PauseEvery  Range `toml:"pause_every_s"`
	PauseLength Range `toml:"pause_ms"`
	PauseGrowth Range `toml:"pause_grow"`
}

// Network describes the zones and the latency between processes in the absence of faults.
type Network struct {
	Zones     []string `toml:"zones"`
	SameZone  Duration `toml:"same"`  // one-way latency inside a zone
	CrossZone Duration `toml:"cross"` // one-way latency between zones
	Jitter    float64  `toml:"jitter"`
	// Regions lists the zones of each region, also for the configuration of the sidecars. Empty means no regions.
	Regions         [][]string `toml:"regions"`
	CrossRegion     Duration   `toml:"far"`      // one-way latency between regions
	CrossRegionCost float64    `toml:"far_cost"` // cost of a response across regions, as a multiple of one across zones
	// ServersByZone is the ratio of the pods in each zone, in the order of Zones. Empty means equal numbers.
	ServersByZone []int `toml:"split"`
}

// Traffic describes the workload that the clients send.
type Traffic struct {
	// Load is the offered load as a fraction of the servers' capacity. Rate, in requests per second, takes precedence.
	Load      float64 `toml:"load"`
	Rate      float64 `toml:"rate"`
	RateSwing float64 `toml:"swing"` // amplitude of the rate as a fraction of it; the rate rises and falls once in a run
	// Speedup divides work, objectives and deadlines, so that a short run contains more requests.
	Speedup                float64  `toml:"pace"`
	Retries                int      `toml:"retries"`
	Backoff                Duration `toml:"backoff"`
	AttemptTimeoutFraction float64  `toml:"try_share"` // timeout of a client attempt as a fraction of the deadline of its class
	RetryAfterFraction     float64  `toml:"honour"`    // fraction of clients that wait for Retry-After
	EarlyLeaveFraction     float64  `toml:"impatient"` // fraction of client attempts that the client abandons before the response
	LeaveModes             []string `toml:"leave"`     // ways to abandon an attempt, one drawn each time; empty: LeaveClose
	PipelinedFraction      float64  `toml:"pipelined"` // fraction of client attempts followed by the first bytes of the next request
	ResponseBytes          int      `toml:"answer"`
}

// Discovery describes the list services, and when a change of a server reaches the sidecars through them.
type Discovery struct {
	DrainDelay       Duration `toml:"notice"`        // delay of the notice that a server drains
	CrashDelay       Duration `toml:"silent_notice"` // delay of the notice that a server has crashed
	AddDelay         Duration `toml:"add"`           // delay of the notice that a server has started
	Spread           Duration `toml:"spread"`        // time between the notice to the first sidecar and to the last
	Services         int      `toml:"copies"`        // number of list services, all of which each sidecar follows
	RegistryReplicas int      `toml:"registry"`      // number of replicas of the real list service; 0 means stand-ins
	MaxStaleness     Duration `toml:"most_stale"`    // as Registry.MaxStaleness, for replicas of the real list service
	Zones            []string `toml:"zones"`         // zone of each list service; empty means none in the sidecars' configuration
	SuspectFraction  float64  `toml:"doubt_share"`   // fraction by which a list must shrink for sidecars to suspect it; 0 means never
	StaleAfter       Duration `toml:"stale"`         // age of the list from which sidecars rely on outcomes of requests; 0 means never
}

// Registry describes a run of the real list service without sidecars: its replicas, writers and watchers.
type Registry struct {
	Replicas          int      `toml:"copies"` // number of replicas; 0 means a run with sidecars
	Writers           int      `toml:"writers"`
	Watchers          int      `toml:"watchers"`
	Entries           int      `toml:"entries"` // number of entries that the writers change
	WriterPause       Duration `toml:"pause"`   // time between two calls of a writer
	HeartbeatInterval Duration `toml:"beat"`    // heartbeat interval of the leader
	Program           string   `toml:"program"` // path of the program; empty means the running one
	// MaxStaleness is the time without a leader after which a replica rejects reads and ends its watches. 0 means
	// never.
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
	ReadyWithin      Duration `toml:"ready_within"` // time within which a restarted process must be ready
}

// Distributions of the work of a class.
const (
	DistLognormal   = "lognormal" // lognormal with the CV of the class; a CV of 0 means equal work for all requests
	DistExponential = "exp"
)

// Effects of the requests of a class on a server.
const (
	EffectIdempotent    = "safe"
	EffectNonIdempotent = "unsafe" // a request must not run twice
)

// Class is a class of requests.
type Class struct {
	Name     string   `toml:"name"`
	Fraction float64  `toml:"share"`
	Work     Duration `toml:"work"` // mean work of a request on a core of speed 1
	Dist     string   `toml:"dist"` // distribution of the work: DistLognormal or DistExponential
	CV       float64  `toml:"cv"`   // coefficient of variation of lognormal work; 0 means equal work for all requests
	// AttemptNoise is the coefficient of variation of the work among the attempts of one request.
	AttemptNoise   float64  `toml:"attempt_noise"`
	Objective      Duration `toml:"aim"`
	Deadline       Duration `toml:"deadline"`
	PriorityWeight float64  `toml:"worth"`
	Effect         string   `toml:"effect"` // EffectIdempotent or EffectNonIdempotent
	BodyBytes      int      `toml:"body"`   // size of the request body; 0 means no body
}

// Tenant is a customer whose requests the sidecars carry.
type Tenant struct {
	Name        string  `toml:"name"`
	Fraction    float64 `toml:"share"`
	UsageFactor float64 `toml:"usage"` // ratio of the tenant's traffic to its fraction
}

// Expect holds the expected results of a run. An absent key expects nothing. Results exclude the warm-up.
type Expect struct {
	InObjective      *float64  `toml:"in_aim"`        // minimum weighted fraction of requests served within the latency objective
	WorstInObjective *float64  `toml:"worst_in_aim"`  // minimum of the same fraction in the worst 5 s
	Rejected         *float64  `toml:"refused"`       // maximum fraction of client attempts rejected
	Failed           *float64  `toml:"failed"`        // maximum fraction of client attempts failed
	Attempts         *float64  `toml:"attempts"`      // maximum server attempts for each client attempt that was forwarded
	CrossZone        *float64  `toml:"cross_zone"`    // maximum fraction of server attempts across zones
	WastedWork       *float64  `toml:"waste"`         // maximum fraction of the servers' work that is wasted
	P99              *Duration `toml:"p99"`           // maximum 99th percentile of the latency of served responses
	MemoryGrowth     *float64  `toml:"memory_growth"` // maximum growth of a sidecar's RSS in the second half of the run
	// RolloutPhases maps each rollout to its phase at the end of the run. "refused" means that it was rejected.
	RolloutPhases map[string]string `toml:"rollout_ends"`
	// FractionError is the maximum difference between the fraction of a rollout step and the fraction that servers
	// received in it. Only steps with at least 100 first attempts count.
	FractionError *float64 `toml:"share_error"`
	// MustCheck names the invariants that must be checked on at least one case. Empty means those of InvariantsToCheck.
	MustCheck []string `toml:"checks"`
	// Members is the number of members that each member knows at the end of the run. The times are the maximum times
	// until all members detect a death, remove the dead member, agree after the last fault, and admit a joining member.
	Members        *int      `toml:"members"`
	DetectWithin   *Duration `toml:"noticed"`
	RemoveWithin   *Duration `toml:"counted_out"`
	ConvergeWithin *Duration `toml:"agree"`
	AdmitWithin    *Duration `toml:"admitted"`
	// MustBreak names the invariants that must be broken, in a scenario with a planted defect.
	MustBreak []string `toml:"breaks"`
}

// Read reads and validates a scenario file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return Parse(path, text)
}
