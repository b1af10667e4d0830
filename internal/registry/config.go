package registry

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/membership"
	"marblelane/internal/membership/addrcheck"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/recovery"
	"marblelane/internal/registry/routeleader"
	"marblelane/internal/retry"
	"marblelane/internal/tomlfile"
)

// file is the configuration file of a replica.
type file struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	Raft   string `toml:"raft"`
	Dir    string `toml:"dir"`

	Advertise string `toml:"advertise"`

	Join  bool              `toml:"join"`
	Peers []listserver.Peer `toml:"peer"`

	Keep               int               `toml:"keep"`
	Beat               tomlfile.Duration `toml:"beat"`
	Batch              tomlfile.Duration `toml:"batch"`
	Watches            float64           `toml:"watches_per_s"`
	Burst              int               `toml:"watch_burst"`
	MaxStaleness       tomlfile.Duration `toml:"most_stale"`
	MaxExpiredFraction float64           `toml:"hold_share"`

	Routes string `toml:"routes"` // path of the operators' file, relative to this file's folder; empty: routes are off

	Members *membership.Section `toml:"members"` // membership group; absent: off

	EachEncodes bool              `toml:"each_encodes"`
	RouteDefect string            `toml:"lab_route_defect"` // a defect that the lab plants, see routeleader.Defect
	SlowDisk    tomlfile.Duration `toml:"slow_disk"`
	Faults      string            `toml:"lab_faults"` // path of the lab's fault file, see package fault
}

// membersConfig returns the configuration of the membership group; nil: off.
func (f *file) membersConfig() (*membership.Config, error) {
	if f.Members == nil {
		return nil, nil
	}
	c, err := f.Members.Config() // errors of Section.Config name the key
	if err != nil {
		return nil, err
	}
	c.Name, c.Role, c.Observer = f.Name, listserver.MemberRole, true
	if err := addrcheck.Check(c); err != nil {
		return nil, fmt.Errorf("this replica as a member: %w", err)
	}
	return &c, nil
}

// LoadConfig reads the configuration of a replica. Transient read failures are retried. The limit, retry.StartLimit,
// covers LoadConfig and Open together. Errors name the file, line and key.
func LoadConfig(path string) (Config, error) { return loadConfig(path, os.ReadFile) }

func loadConfig(path string, readFile func(path string) ([]byte, error)) (Config, error) {
	start := retry.NewStartRetrier(context.Background(), nil)
	var text []byte
	if err := start.Do("read "+path, func() (failed error) {
		text, failed = readFile(path)
		return failed
	}); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	var f file
	if _, err := tomlfile.Decode(path, text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration %w", err)
	}
	c := Config{start: start, Name: f.Name, Listen: f.Listen, RaftListen: f.Raft, Advertise: f.Advertise, Dir: f.Dir, Join: f.Join, Peers: f.Peers, MaxHistory: f.Keep,
		HeartbeatInterval: time.Duration(f.Beat), SlowWriteThreshold: time.Duration(f.SlowDisk), Options: listserver.Options{BatchInterval: time.Duration(f.Batch), AdmissionRate: f.Watches, AdmissionBurst: f.Burst,
			MaxStaleness: time.Duration(f.MaxStaleness), MaxExpiredFraction: f.MaxExpiredFraction, EncodePerWatch: f.EachEncodes, InjectedDefect: f.RouteDefect}}
	err := c.validate()
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.Members, err = f.membersConfig(); err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	if c.Faults, err = fault.Open(f.Faults); err != nil {
		return Config{}, fmt.Errorf("configuration %s: lab_faults: %w", path, err)
	}
	if f.Routes != "" {
		if !filepath.IsAbs(f.Routes) {
			f.Routes = filepath.Join(filepath.Dir(path), f.Routes)
		}
		if c.Operators, err = operators.Load(f.Routes); err != nil {
			return Config{}, fmt.Errorf("configuration %s: routes: %w", path, err)
		}
	}
	return c, nil
}

// validate returns an error that names the key of a missing or invalid setting.
func (c *Config) validate() error {
	for _, k := range []struct{ key, value string }{{"name", c.Name}, {"listen", c.Listen}, {"raft", c.RaftListen}} {
		if k.value == "" {
			return fmt.Errorf("%s: is missing", k.key)
		}
	}
	for key, v := range map[string]time.Duration{"beat": c.HeartbeatInterval, "batch": c.BatchInterval, "most_stale": c.MaxStaleness, "slow_disk": c.SlowWriteThreshold} {
		if v < 0 {
			return fmt.Errorf("%s: is negative", key)
		}
	}
	switch {
	case c.MaxHistory < 0:
		return errors.New("keep: is negative")
	case c.AdmissionRate < 0 || c.AdmissionBurst < 0:
		return errors.New("watches_per_s: watches_per_s or watch_burst is negative")
	case c.MaxExpiredFraction < 0 || c.MaxExpiredFraction > 1:
		return errors.New("hold_share: is not between 0 and 1")
	case !routeleader.Defect(c.InjectedDefect).Valid():
		return fmt.Errorf("lab_route_defect: %q is not one of %v", c.InjectedDefect, routeleader.Defects())
	case c.Join && len(c.Peers) > 0:
		return errors.New("join: must not be combined with peers, which a joining replica receives from the leader")
	}
	included := len(c.Peers) == 0
	names := map[string]bool{}
	for i, p := range c.Peers {
		if p.Name == "" || p.Raft == "" || p.Serve == "" || names[p.Name] {
			return fmt.Errorf("peer[%d]: name (unique), raft and serve must be set", i)
		}
		names[p.Name] = true
		included = included || p.Name == c.Name
	}
	if !included {
		return fmt.Errorf("peer: replica name %q is not among the peers", c.Name)
	}
	return nil
}

// RecoveryTarget returns the settings of the replica that package recovery needs to restore it.
func (c *Config) RecoveryTarget() recovery.Target {
	address := c.advertisedAddress()
	if address == "" {
		address = c.RaftListen
	}
	return recovery.Target{Name: c.Name, Dir: c.Dir, Raft: address, Join: c.Join}
}

// Endpoints returns the HTTP addresses of this replica and of its peers.
func (c *Config) Endpoints() []recovery.Endpoint {
	all := []recovery.Endpoint{{Name: c.Name, Address: c.Listen}}
	for _, p := range c.Peers {
		all = append(all, recovery.Endpoint{Name: p.Name, Address: p.Serve})
	}
	return all
}
