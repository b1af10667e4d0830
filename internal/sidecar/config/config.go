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

// Config is the checked configuration of a sidecar: the configuration file, its settings and the environment.
type Config struct {
	Name         string
	Listen       string   // address for the application's connections
	Discovery    string   // address of the list service if ListServices is empty
	ListServices []string // addresses of the list services, preferred first; empty: only Discovery
	Management   string   // address for the platform's calls; empty: no management address
	Cores        float64  // processor limit; 0: no limit
	MemoryMB     int      // memory limit in MiB; 0: no limit
	Sockets      int      // limit of file descriptors for the whole sidecar

	Balance         balance.Config
	Classes         map[string]int    // class numbers by name
	ClassNames      []string          // class names by number
	Tenants         map[string]int    // tenant numbers by name; empty: the site has no tenants
	Zones           map[string]int    // zone numbers by name
	Kinds           map[string]int    // numbers of server models by name
	ReportFields    []string          // names of the figures in a load report, in the order of balance.Config.Fields
	ConnIdleTimeout time.Duration     // time after which a server closes an idle connection
	MaxOpenRequests int               // limit of concurrent requests; 0: the settings set no limit
	KnownList       endpointlist.List // last known endpoint list, maybe outdated; used until a list service responds
	Routes          *Routes           // section routes; nil: routing is off
	Membership      *Membership       // section members; nil: membership is off
	Faults          *fault.Injector   // faults injected by the lab; nil: none

	tempDir string // directory shared with the predecessor and successor process; empty: none
}

// defaultSockets is the limit of sockets if the configuration sets none.
const defaultSockets = 1024

// MinReservedSockets is the minimum number of sockets for the listeners, discovery, the log, the runtime and the
// management address.
const MinReservedSockets = 24

// MinSockets is the lowest limit of sockets that leaves some for clients and servers beside the reserved sockets.
const MinSockets = 2 * MinReservedSockets

// Upper bounds of the limits. Higher values are mistakes and would overflow the calculations with them.
const (
	maxMemoryMB = 1 << 30
	maxCores    = 1 << 20
)

// maxRegionCost is the highest region_cost that is accepted.
const maxRegionCost = 1000

// defaultRegionCost is the region_cost if the configuration sets none.
const defaultRegionCost = 2

// ManagementTimeout limits the time to read a request at the management address, and the time to write the response.
const ManagementTimeout = 2 * time.Second

// namedEntry is the name of a class or tenant in the settings.
type namedEntry struct {
	Name string `json:"name"`
}

// file is the configuration's JSON form.
type file struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known endpointlist.List `json:"known"`
	// The platform does not set the keys from here to Faults.
	Lists []struct {
		Addr string `json:"addr"`
		Zone string `json:"zone"`
	} `json:"lists"` // list services; those of the sidecar's zone come first, the others keep their order
	SuspectFraction float64 `json:"list_doubt_share"`
	StaleMS         float64 `json:"list_stale_ms"`
	// Regions maps the name of each region to its zones. RegionCost is the cost of a response from another region as a
	// multiple of the cost of one from another zone; 0: defaultRegionCost.
	Regions    map[string][]string `json:"regions"`
	RegionCost float64             `json:"region_cost"`
	Routes     json.RawMessage     `json:"routes"`  // parsed as routesFile
	Members    json.RawMessage     `json:"members"` // parsed as membership.Section
	Faults     string              `json:"faults"`  // path of the lab's fault file; empty: no faults
	Settings   json.RawMessage     `json:"settings"`
}

// siteSettings is the part of the settings that the sidecar reads: the names of everything that the balancer knows by
// number, and limits.
type siteSettings struct {
	Classes []namedEntry `json:"classes"`
	Tenants []namedEntry `json:"tenants"`
	Zones   []string     `json:"zones"`
	Zone    int          `json:"zone"`
	Kinds   []string     `json:"kinds"`
	Report  struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Limits struct {
		ConnIdle float64 `json:"conn_idle_ms"`
		MaxOpen  int     `json:"open_cap"`
	} `json:"limits"`
}

// parseSiteSettings parses and checks the part of the settings that the sidecar reads.
func parseSiteSettings(text json.RawMessage) (*siteSettings, error) {
	var s siteSettings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, wire.LocateJSONError(err)
	}
	if s.Limits.ConnIdle < 0 {
		return nil, fmt.Errorf("limits.conn_idle_ms is %v, must not be negative", s.Limits.ConnIdle)
	}
	if s.Limits.MaxOpen < 0 {
		return nil, fmt.Errorf("limits.open_cap is %d, must not be negative", s.Limits.MaxOpen)
	}
	for i, zone := range s.Zones {
		if slices.Index(s.Zones, zone) != i {
			return nil, fmt.Errorf("zones: %q is listed twice", zone)
		}
	}
	return &s, nil
}

// zoneName returns the name of the sidecar's zone; ok is false if the settings don't name one.
func (s *siteSettings) zoneName() (name string, ok bool) {
	if s.Zone < 0 || s.Zone >= len(s.Zones) {
		return "", false
	}
	return s.Zones[s.Zone], true
}

// checkServiceAddr returns an error if addr is not a host and port that an HTTP client can call.
func checkServiceAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("address %q needs a host and a port between 1 and 65535", addr)
	}
	if u, err := url.Parse("http://" + addr); err != nil || u.Host != addr {
		return fmt.Errorf("address %q is not a valid host:port", addr)
	}
	return nil
}

// Load reads the configuration file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_MANAGEMENT
// take precedence over the file if they are set. If reading the file fails with a temporary error, it is read again for
// up to retry.StartLimit. Errors name the file, and the key if there is one.
func Load(getenv func(string) string) (*Config, error) {
	return LoadWith(getenv, RetryingRead(retry.NewStartRetrier(context.Background(), nil), os.ReadFile))
}

// RetryingRead returns a function that reads a file and retries temporary errors within the limits of start.
func RetryingRead(start *retry.StartRetrier, readFile func(path string) ([]byte, error)) func(path string) ([]byte, error) {
	return func(path string) (data []byte, err error) {
		err = start.Do("read "+path, func() (failed error) {
			data, failed = readFile(path)
			return failed
		})
		return data, err
	}
}

// LoadWith is Load with readFile in place of a retrying os.ReadFile.
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
		return nil, fmt.Errorf("configuration %s: %w", path, wire.LocateJSONError(err))
	}
	for name, field := range map[string]*string{
		"NODE_NAME": &f.Name, "NODE_LISTEN": &f.Listen, "NODE_DISCOVERY": &f.Discovery,
		"NODE_MANAGEMENT": &f.Management,
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

// config checks the file and converts it into a Config. Errors name the key.
func (f *file) config() (*Config, error) {
	if err := f.checkAddrs(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: not a hexadecimal number of up to 64 bits: %w", err)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: the section is missing")
	}
	settings, err := wire.ParseSettings(seed, f.Settings)
	if err != nil {
		return nil, err
	}
	site, err := parseSiteSettings(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		Balance: settings, Zones: numberByName(site.Zones), Kinds: numberByName(site.Kinds),
		ReportFields: site.Report.Fields, ConnIdleTimeout: clock.Duration(site.Limits.ConnIdle),
		MaxOpenRequests: site.Limits.MaxOpen, KnownList: f.Known,
	}
	for _, step := range []func(*Config, *siteSettings) error{
		f.setLimits, f.setListServices, f.setRegions, f.setNames, f.setSections,
	} {
		if err := step(cfg, site); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

func (f *file) checkAddrs() error {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(f.Management); err != nil && f.Management != "" {
		return fmt.Errorf("management: %w", err)
	}
	if err := checkServiceAddr(f.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

func (f *file) setLimits(cfg *Config, _ *siteSettings) error {
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultSockets
	}
	switch {
	case cfg.Sockets < MinSockets:
		return fmt.Errorf("limits.sockets is %d, must be at least %d", cfg.Sockets, MinSockets)
	case cfg.MemoryMB < 0 || cfg.MemoryMB > maxMemoryMB:
		return fmt.Errorf("limits.memory_mb is %d, must be between 0 and %d", cfg.MemoryMB, maxMemoryMB)
	case !(cfg.Cores >= 0 && cfg.Cores <= maxCores):
		return fmt.Errorf("limits.cores is %v, must be between 0 and %d", cfg.Cores, maxCores)
	}
	return nil
}

// setListServices sets the list services, those of the sidecar's zone first, and the balancer's settings for their
// lists.
func (f *file) setListServices(cfg *Config, site *siteSettings) error {
	zone, hasZone := site.zoneName()
	var elsewhere []string
	for i, l := range f.Lists {
		if err := checkServiceAddr(l.Addr); err != nil {
			return fmt.Errorf("lists[%d].addr: %w", i, err)
		}
		if hasZone && l.Zone == zone {
			cfg.ListServices = append(cfg.ListServices, l.Addr)
		} else {
			elsewhere = append(elsewhere, l.Addr)
		}
	}
	cfg.ListServices = append(cfg.ListServices, elsewhere...)
	if !(f.SuspectFraction >= 0 && f.SuspectFraction <= 1) {
		return fmt.Errorf("list_doubt_share: %v is not between 0 and 1", f.SuspectFraction)
	}
	if !(f.StaleMS >= 0) {
		return fmt.Errorf("list_stale_ms: %v is negative, must be at least 0", f.StaleMS)
	}
	b := &cfg.Balance
	b.ListServices, b.SuspectFraction, b.StaleAfter = len(cfg.ListServices), f.SuspectFraction, f.StaleMS
	b.MaxPollBackoff = float64(discovery.MaxPollBackoff.Milliseconds())
	b.Subscribe = b.Subscribe || len(cfg.ListServices) > 0 // the balancer decides which service is called
	return nil
}

func (f *file) setRegions(cfg *Config, site *siteSettings) (err error) {
	if cfg.Balance.Regions, err = f.regionNumbers(site.Zones); err != nil {
		return err
	}
	if cfg.Balance.RegionCost = f.RegionCost; f.RegionCost == 0 {
		cfg.Balance.RegionCost = defaultRegionCost
	}
	return nil
}

func (f *file) setNames(cfg *Config, site *siteSettings) (err error) {
	if cfg.Classes, err = numberUnique("classes", site.Classes); err != nil {
		return err
	}
	for _, c := range site.Classes {
		cfg.ClassNames = append(cfg.ClassNames, c.Name)
	}
	cfg.Tenants, err = numberUnique("tenants", site.Tenants)
	return err
}

// setSections reads the sections routes, members and faults, each of which is off unless the file contains it.
func (f *file) setSections(cfg *Config, site *siteSettings) (err error) {
	if cfg.Routes, err = f.routes(cfg.ListAddrs()); err != nil {
		return err
	}
	zone, _ := site.zoneName()
	if cfg.Membership, err = f.members(zone, cfg.Balance.Peers); err != nil {
		return err
	}
	cfg.Faults, err = fault.Open(f.Faults)
	return err
}

// regionNumbers returns the number of each zone's region, from 1, in the order of zones. It returns nil if no regions
// are configured.
func (f *file) regionNumbers(zones []string) ([]int, error) {
	if !(f.RegionCost == 0 || f.RegionCost >= 1 && f.RegionCost <= maxRegionCost) {
		return nil, fmt.Errorf("region_cost: %v is not 0 (default) or between 1 and %d", f.RegionCost, maxRegionCost)
	}
	if len(f.Regions) == 0 {
		return nil, nil
	}
	zoneNumbers, regions := numberByName(zones), make([]int, len(zones))
	for number, name := range slices.Sorted(maps.Keys(f.Regions)) {
		for _, zone := range f.Regions[name] {
			i, ok := zoneNumbers[zone]
			if !ok || regions[i] != 0 {
				return nil, fmt.Errorf("regions: %s: zone %q is not in settings.zones %v, or is listed twice", name, zone, zones)
			}
			regions[i] = number + 1
		}
	}
	if i := slices.Index(regions, 0); i >= 0 {
		return nil, fmt.Errorf("regions: zone %q belongs to no region", zones[i])
	}
	return regions, nil
}

// numberByName maps each name to its index.
func numberByName(names []string) map[string]int {
	numbers := make(map[string]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// numberUnique maps the name of each entry to its index. It returns an error if a name is empty or used twice. key is
// the key of the entries in the settings.
func numberUnique(key string, entries []namedEntry) (map[string]int, error) {
	numbers := make(map[string]int, len(entries))
	for i, entry := range entries {
		if _, duplicate := numbers[entry.Name]; duplicate || entry.Name == "" {
			return nil, fmt.Errorf("settings: %s: entry %d: name %q is empty or used twice", key, i, entry.Name)
		}
		numbers[entry.Name] = i
	}
	return numbers, nil
}

// ListAddrs returns the addresses of all list services, the preferred one first.
func (cfg *Config) ListAddrs() []string {
	if len(cfg.ListServices) > 0 {
		return cfg.ListServices
	}
	return []string{cfg.Discovery}
}
