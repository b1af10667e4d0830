package config

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"marblelane/balance"
	"marblelane/internal/fault"
	"marblelane/internal/retry"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string // where the application connects
	Discovery string
	// Lists are the addresses of several list services, in order of preference; empty: Discovery alone.
	Lists []string
	// Management is the second address, for the platform; empty: there is none.
	Management string
	Cores      float64
	MemoryMB   int // 0: no limit
	Sockets    int // descriptors in all

	Balance     balance.Config
	Classes     map[string]int
	ClassNames  []string
	Tenants     map[string]int // empty: the site has none
	Zones       map[string]int
	Kinds       map[string]int
	ReportNames []string // of a load report's figures, in the order of balance.Config.Fields
	ConnIdle    time.Duration
	MaxOpen     int
	Known       endpointlist.List
	tempDir     string      // shared with the processes before and after this one; empty: none
	Routes      *Routes     // nil: off
	Membership  *Membership // nil: off
	Faults      *fault.Plan // the lab's; nil: none
}

// defaultSockets holds where the configuration sets no limit.
const defaultSockets = 1024

// MinReserve is the least number of sockets that the listeners, discovery, the log, the runtime and the management
// address need.
const MinReserve = 24

// MinSockets is the least that leaves connections for clients and servers beside the reserve.
const MinSockets = 2 * MinReserve

// Limits beyond these are mistakes, and are more than the arithmetic of the limits holds.
const (
	mostMemoryMB = 1 << 30
	mostCores    = 1 << 20
)

type named struct {
	Name string `json:"name"`
}

// file is the configuration's JSON form.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Manage    string `json:"management"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known endpointlist.List `json:"known"`
	// Keys that the platform never sets.
	Lists []struct {
		Addr string `json:"addr"`
		Zone string `json:"zone"`
	} `json:"lists"` // those of the own zone come first, else as they stand
	DoubtShare float64 `json:"list_doubt_share"`
	StaleMS    float64 `json:"list_stale_ms"`
	// Regions groups the settings' zones by name, and RegionCost is what an answer from another region costs, as a
	// multiple of one from another zone; 0: defaultRegionCost.
	Regions    map[string][]string `json:"regions"`
	RegionCost float64             `json:"region_cost"`
	Routes     json.RawMessage     `json:"routes"`  // see routesFile
	Members    json.RawMessage     `json:"members"` // see membership.Section
	Faults     string              `json:"faults"`  // the lab's file of faults; empty: none
	Settings   json.RawMessage     `json:"settings"`
}

// names is what the sidecar itself reads of the settings: names of what the module counts, and its limits.
type names struct {
	Classes []named  `json:"classes"`
	Tenants []named  `json:"tenants"`
	Zones   []string `json:"zones"`
	Zone    int      `json:"zone"`
	Kinds   []string `json:"kinds"`
	Report  struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Limits struct {
		ConnIdle float64 `json:"conn_idle_ms"`
		MaxOpen  int     `json:"open_cap"`
	} `json:"limits"`
}

// check refuses what the sidecar alone would read wrong.
func (n *names) check() error {
	if n.Limits.ConnIdle < 0 {
		return fmt.Errorf("limits.conn_idle_ms is %v", n.Limits.ConnIdle)
	}
	if n.Limits.MaxOpen < 0 {
		return fmt.Errorf("limits.open_cap is %d", n.Limits.MaxOpen)
	}
	for i, zone := range n.Zones {
		if slices.Index(n.Zones, zone) != i {
			return fmt.Errorf("zones: %q stands there twice", zone)
		}
	}
	return nil
}

// checkServiceAddr refuses an address that cannot be called. SIGHUP would move a sidecar there for good.
func checkServiceAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("address %q has no host, or a port that is not between 1 and 65535", addr)
	}
	if u, err := url.Parse("http://" + addr); err != nil || u.Host != addr {
		return fmt.Errorf("address %q is no host and port", addr)
	}
	return nil
}

// Load reads the configuration file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN,
// NODE_DISCOVERY and NODE_MANAGEMENT, where set, win over the file. A file that cannot be opened or read for a moment is
// tried again, for up to retry.StartLimit; errors name the file, and the key where there is one.
func Load(getenv func(string) string) (*Config, error) {
	return LoadWith(getenv, RetryingRead(retry.NewStart(context.Background(), nil), os.ReadFile))
}

// RetryingRead reads files as a start may: what fails for a moment is tried again.
func RetryingRead(start *retry.Start, readFile func(path string) ([]byte, error)) func(path string) ([]byte, error) {
	return func(path string) (data []byte, err error) {
		err = start.Do("read "+path, func() (failed error) {
			data, failed = readFile(path)
			return failed
		})
		return data, err
	}
}

// LoadWith reads the file with the given call, which gives its bytes as os.ReadFile does.
func LoadWith(getenv func(string) string, readFile func(path string) ([]byte, error)) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	data, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, wire.KeyError(err))
	}
	for name, field := range map[string]*string{
		"NODE_NAME": &f.Name, "NODE_LISTEN": &f.Listen, "NODE_DISCOVERY": &f.Discovery,
		"NODE_MANAGEMENT": &f.Manage,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	cfg, err := f.config()
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	cfg.tempDir = getenv("TMPDIR")
	if cfg.Routes != nil {
		cfg.Routes.Digest = fmt.Sprintf("%x", sha256.Sum256(data))
	}
	return cfg, nil
}

func (f *file) config() (*Config, error) {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(f.Manage); err != nil && f.Manage != "" {
		return nil, fmt.Errorf("management: %w", err)
	}
	if err := checkServiceAddr(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("no settings")
	}
	settings, err := wire.ParseSettings(seed, f.Settings)
	if err != nil {
		return nil, err
	}
	var n names
	if err := json.Unmarshal(f.Settings, &n); err != nil {
		return nil, fmt.Errorf("settings: %w", wire.KeyError(err))
	}
	if err := n.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Manage,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		Balance: settings, Zones: index(n.Zones), Kinds: index(n.Kinds), ReportNames: n.Report.Fields,
		ConnIdle: clock.Duration(n.Limits.ConnIdle), MaxOpen: n.Limits.MaxOpen, Known: f.Known,
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultSockets
	}
	switch {
	case cfg.Sockets < MinSockets:
		return nil, fmt.Errorf("limits.sockets is %d, at least %d", cfg.Sockets, MinSockets)
	case cfg.MemoryMB < 0 || cfg.MemoryMB > mostMemoryMB:
		return nil, fmt.Errorf("limits.memory_mb is %d, not between 0 and %d", cfg.MemoryMB, mostMemoryMB)
	case !(cfg.Cores >= 0 && cfg.Cores <= mostCores):
		return nil, fmt.Errorf("limits.cores is %v, not between 0 and %d", cfg.Cores, mostCores)
	}
	for _, own := range []bool{true, false} {
		for i, l := range f.Lists {
			if err := checkServiceAddr(l.Addr); err != nil {
				return nil, fmt.Errorf("lists[%d].addr: %w", i, err)
			}
			if own == (n.Zone >= 0 && n.Zone < len(n.Zones) && l.Zone == n.Zones[n.Zone]) {
				cfg.Lists = append(cfg.Lists, l.Addr)
			}
		}
	}
	cfg.Balance.ListServices, cfg.Balance.SuspectFraction, cfg.Balance.StaleAfter = len(cfg.Lists), f.DoubtShare, f.StaleMS
	cfg.Balance.MaxPollBackoff = float64(discovery.MaxPollBackoff.Milliseconds())
	cfg.Balance.Subscribe = cfg.Balance.Subscribe || len(cfg.Lists) > 0 // the module decides which one is called
	if !(f.DoubtShare >= 0 && f.DoubtShare <= 1) {
		return nil, fmt.Errorf("list_doubt_share: %v is not between 0 and 1", f.DoubtShare)
	}
	if !(f.StaleMS >= 0) {
		return nil, fmt.Errorf("list_stale_ms: %v is negative", f.StaleMS)
	}
	if cfg.Balance.Regions, err = f.regions(n.Zones); err != nil {
		return nil, err
	}
	if cfg.Balance.RegionCost = f.RegionCost; f.RegionCost == 0 {
		cfg.Balance.RegionCost = defaultRegionCost
	}
	if cfg.Classes, err = indexNamed("classes", n.Classes); err != nil {
		return nil, err
	}
	for _, c := range n.Classes {
		cfg.ClassNames = append(cfg.ClassNames, c.Name)
	}
	if cfg.Tenants, err = indexNamed("tenants", n.Tenants); err != nil {
		return nil, err
	}
	if cfg.Routes, err = f.routes(cfg.ListAddrs()); err != nil {
		return nil, err
	}
	zone := ""
	if n.Zone >= 0 && n.Zone < len(n.Zones) {
		zone = n.Zones[n.Zone]
	}
	if cfg.Membership, err = f.members(zone, settings.Peers); err != nil {
		return nil, err
	}
	if cfg.Faults, err = fault.Open(f.Faults); err != nil {
		return nil, err
	}
	return cfg, nil
}

// defaultRegionCost is the cost of crossing regions where the configuration names none.
const defaultRegionCost = 2

// regions gives each of the settings' zones the number of its region; nil where there are none.
func (f *file) regions(zones []string) ([]int, error) {
	if !(f.RegionCost == 0 || f.RegionCost >= 1 && f.RegionCost <= 1000) {
		return nil, fmt.Errorf("region_cost: %v is not between 1 and 1000", f.RegionCost)
	}
	if len(f.Regions) == 0 {
		return nil, nil
	}
	known, out := index(zones), make([]int, len(zones))
	for number, name := range slices.Sorted(maps.Keys(f.Regions)) {
		for _, zone := range f.Regions[name] {
			i, ok := known[zone]
			if !ok || out[i] != 0 {
				return nil, fmt.Errorf("regions: %s: %q is none of the settings' zones %v, or in two regions", name, zone, zones)
			}
			out[i] = number + 1
		}
	}
	if i := slices.Index(out, 0); i >= 0 {
		return nil, fmt.Errorf("regions: zone %q is in none", zones[i])
	}
	return out, nil
}

func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// indexNamed also refuses names by which a request could not tell one class or tenant from another.
func indexNamed(what string, entries []named) (map[string]int, error) {
	m := make(map[string]int, len(entries))
	for i, e := range entries {
		if _, twice := m[e.Name]; twice || e.Name == "" {
			return nil, fmt.Errorf("settings: %s: entry %d has no name of its own: %q", what, i, e.Name)
		}
		m[e.Name] = i
	}
	return m, nil
}

// ListAddrs are the addresses of all list services, in order of preference.
func (cfg *Config) ListAddrs() []string {
	if len(cfg.Lists) > 0 {
		return cfg.Lists
	}
	return []string{cfg.Discovery}
}
