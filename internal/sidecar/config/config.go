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

// Config is the configuration of a sidecar.
type Config struct {
	Name       string
	Listen     string   // where the application connects
	Discovery  string   // address of discovery
	Lists      []string // addresses of several list services, in order of preference; empty: Discovery alone
	Management string   // address for the platform; empty: there is none
	Cores      float64  // 0: no limit
	MemoryMB   int      // 0: no limit
	Sockets    int      // descriptors in all

	Balance     balance.Config
	Classes     map[string]int // number by name
	ClassNames  []string       // by number
	Tenants     map[string]int // number by name; empty: the site has none
	Zones       map[string]int
	Kinds       map[string]int
	ReportNames []string          // of a load report's figures, in the order of balance.Config.Fields
	ConnIdle    time.Duration     // after which a server closes an idle connection
	MaxOpen     int               // requests at a time; 0: no limit of the settings
	Known       endpointlist.List // the last list of this sidecar, which may be old
	Routes      *Routes           // nil: off
	Membership  *Membership       // nil: off
	Faults      *fault.Plan       // planted by the lab; nil: none

	tempDir string // shared with the processes before and after this one; empty: none
}

// defaultSockets is the limit where the configuration sets none.
const defaultSockets = 1024

// MinReserve is the least number of sockets that the listeners, discovery, the log, the runtime and the management
// address need.
const MinReserve = 24

// MinSockets is the least limit that leaves connections for clients and servers beside the reserve.
const MinSockets = 2 * MinReserve

// Limits beyond these are mistakes, and are more than the arithmetic of the limits holds.
const (
	maxMemoryMB = 1 << 30
	maxCores    = 1 << 20
)

// maxRegionCost bounds region_cost.
const maxRegionCost = 1000

// defaultRegionCost is the cost of crossing regions where the configuration names none.
const defaultRegionCost = 2

// ManagementTimeout bounds a complete call of the management address, and the time for its answer to be taken.
const ManagementTimeout = 2 * time.Second

// named is an entry of the settings that has a name.
type named struct {
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
	// Keys that the platform never sets.
	Lists []struct {
		Addr string `json:"addr"`
		Zone string `json:"zone"`
	} `json:"lists"` // services of the own zone are preferred, the others keep their order
	SuspectFraction float64 `json:"list_doubt_share"`
	StaleMS         float64 `json:"list_stale_ms"`
	// Regions groups the settings' zones by name, and RegionCost is what an answer from another region costs, as a
	// multiple of one from another zone; 0: defaultRegionCost.
	Regions    map[string][]string `json:"regions"`
	RegionCost float64             `json:"region_cost"`
	Routes     json.RawMessage     `json:"routes"`  // see routesFile
	Members    json.RawMessage     `json:"members"` // see membership.Section
	Faults     string              `json:"faults"`  // the lab's file of faults; empty: none
	Settings   json.RawMessage     `json:"settings"`
}

// siteSettings is what the sidecar itself reads of the settings: names of what the balancer numbers, and limits.
type siteSettings struct {
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

// parseSiteSettings reads and checks what the sidecar itself needs of the settings.
func parseSiteSettings(text json.RawMessage) (*siteSettings, error) {
	var s siteSettings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, wire.LocateJSONError(err)
	}
	if s.Limits.ConnIdle < 0 {
		return nil, fmt.Errorf("limits.conn_idle_ms is %v", s.Limits.ConnIdle)
	}
	if s.Limits.MaxOpen < 0 {
		return nil, fmt.Errorf("limits.open_cap is %d", s.Limits.MaxOpen)
	}
	for i, zone := range s.Zones {
		if slices.Index(s.Zones, zone) != i {
			return nil, fmt.Errorf("zones: %q stands there twice", zone)
		}
	}
	return &s, nil
}

// zoneName is the name of the own zone, if the settings have one.
func (s *siteSettings) zoneName() (name string, ok bool) {
	if s.Zone < 0 || s.Zone >= len(s.Zones) {
		return "", false
	}
	return s.Zones[s.Zone], true
}

// checkServiceAddr rejects an address that cannot be called.
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

// Load reads the configuration file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_MANAGEMENT,
// where set, take precedence over the file. A file that cannot be opened or read for a moment is read again, for up to
// retry.StartLimit. Errors name the file, and the key where there is one.
func Load(getenv func(string) string) (*Config, error) {
	return LoadWith(getenv, RetryingRead(retry.NewStart(context.Background(), nil), os.ReadFile))
}

// RetryingRead gives a reader of files that retries, within the limits of a start, what fails for a moment.
func RetryingRead(start *retry.Start, readFile func(path string) ([]byte, error)) func(path string) ([]byte, error) {
	return func(path string) (data []byte, err error) {
		err = start.Do("read "+path, func() (failed error) {
			data, failed = readFile(path)
			return failed
		})
		return data, err
	}
}

// LoadWith is Load with a reader of files in place of os.ReadFile.
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

// config checks the file and gives the configuration that it stands for. Errors name the key.
func (f *file) config() (*Config, error) {
	if err := f.checkAddrs(); err != nil {
		return nil, err
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
	site, err := parseSiteSettings(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		Balance: settings, Zones: numberByName(site.Zones), Kinds: numberByName(site.Kinds),
		ReportNames: site.Report.Fields, ConnIdle: clock.Duration(site.Limits.ConnIdle),
		MaxOpen: site.Limits.MaxOpen, Known: f.Known,
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
		return fmt.Errorf("limits.sockets is %d, at least %d", cfg.Sockets, MinSockets)
	case cfg.MemoryMB < 0 || cfg.MemoryMB > maxMemoryMB:
		return fmt.Errorf("limits.memory_mb is %d, not between 0 and %d", cfg.MemoryMB, maxMemoryMB)
	case !(cfg.Cores >= 0 && cfg.Cores <= maxCores):
		return fmt.Errorf("limits.cores is %v, not between 0 and %d", cfg.Cores, maxCores)
	}
	return nil
}

// setListServices orders the list services, those of the own zone first, and sets how their lists are taken.
func (f *file) setListServices(cfg *Config, site *siteSettings) error {
	zone, hasZone := site.zoneName()
	var elsewhere []string
	for i, l := range f.Lists {
		if err := checkServiceAddr(l.Addr); err != nil {
			return fmt.Errorf("lists[%d].addr: %w", i, err)
		}
		if hasZone && l.Zone == zone {
			cfg.Lists = append(cfg.Lists, l.Addr)
		} else {
			elsewhere = append(elsewhere, l.Addr)
		}
	}
	cfg.Lists = append(cfg.Lists, elsewhere...)
	if !(f.SuspectFraction >= 0 && f.SuspectFraction <= 1) {
		return fmt.Errorf("list_doubt_share: %v is not between 0 and 1", f.SuspectFraction)
	}
	if !(f.StaleMS >= 0) {
		return fmt.Errorf("list_stale_ms: %v is negative", f.StaleMS)
	}
	b := &cfg.Balance
	b.ListServices, b.SuspectFraction, b.StaleAfter = len(cfg.Lists), f.SuspectFraction, f.StaleMS
	b.MaxPollBackoff = float64(discovery.MaxPollBackoff.Milliseconds())
	b.Subscribe = b.Subscribe || len(cfg.Lists) > 0 // the balancer decides which service is called
	return nil
}

func (f *file) setRegions(cfg *Config, site *siteSettings) (err error) {
	if cfg.Balance.Regions, err = f.regions(site.Zones); err != nil {
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

// setSections reads the sections that are off unless the file has them.
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

// regions gives each of the settings' zones the number of its region; nil where there are none.
func (f *file) regions(zones []string) ([]int, error) {
	if !(f.RegionCost == 0 || f.RegionCost >= 1 && f.RegionCost <= maxRegionCost) {
		return nil, fmt.Errorf("region_cost: %v is not between 1 and %d", f.RegionCost, maxRegionCost)
	}
	if len(f.Regions) == 0 {
		return nil, nil
	}
	known, out := numberByName(zones), make([]int, len(zones))
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

// numberByName numbers names in order.
func numberByName(names []string) map[string]int {
	numbers := make(map[string]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// numberUnique numbers entries in order, and rejects a name that is empty or given twice.
func numberUnique(key string, entries []named) (map[string]int, error) {
	numbers := make(map[string]int, len(entries))
	for i, entry := range entries {
		if _, twice := numbers[entry.Name]; twice || entry.Name == "" {
			return nil, fmt.Errorf("settings: %s: entry %d has no name of its own: %q", key, i, entry.Name)
		}
		numbers[entry.Name] = i
	}
	return numbers, nil
}

// ListAddrs are the addresses of all list services, in order of preference.
func (cfg *Config) ListAddrs() []string {
	if len(cfg.Lists) > 0 {
		return cfg.Lists
	}
	return []string{cfg.Discovery}
}
