package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
	"marblelane/internal/membership/transport"
)

// Defects that the lab plants to see that its checks find them.
const (
	DefectTrustDetector = "trust-detector" // a member that is dead by the failure detector counts as gone
	DefectNoAdmission   = "no-admission"   // a joining process is admitted at once
)

// Config configures a Group.
type Config struct {
	Name, Fleet, Zone, Role, Version string

	Start        int64          // Unix ms; 0: the wall clock's
	Bind         string         // HOST:PORT, UDP and TCP; port 0: the system's choice
	Advertise    string         // HOST:PORT that others call; empty: the bound address
	Networks     []netip.Prefix // members' addresses and callers must lie in one of them; empty: all
	Seeds        []string
	Peers        int           // number of sidecars in the settings
	Observer     bool          // it is a member without a part of the fleet's budgets
	Interval     time.Duration // between two probes of the failure detector; 0: 1 s
	AdmitWithin  time.Duration // after which a joining process is admitted without all acknowledgements; 0: 5 s
	TrustRefused bool          // a refused connection proves a process gone
	Defect       string        // DefectTrustDetector, DefectNoAdmission or none

	EstimatedSize func() float64    // the fleet's size that the balancer goes by, for reports; may be nil
	ViewChanged   func(roster.View) // called by one goroutine at each change and once a second at least; must not block
	Log           *slog.Logger
	Transport     memberlist.NodeAwareTransport // nil: sockets; its Shutdown may be called more than once
}

// Section is the section `members` of a configuration file, in JSON or TOML. Durations are written as "1s".
type Section struct {
	Fleet        string   `json:"fleet" toml:"fleet"`
	Bind         string   `json:"bind" toml:"bind"`
	Advertise    string   `json:"advertise,omitempty" toml:"advertise,omitempty"`
	Networks     []string `json:"networks,omitempty" toml:"networks,omitempty"`
	Seeds        []string `json:"seeds,omitempty" toml:"seeds,omitempty"`
	Interval     string   `json:"interval,omitempty" toml:"interval,omitempty"`
	AdmitWithin  string   `json:"admit_within,omitempty" toml:"admit_within,omitempty"`
	TrustRefused *bool    `json:"believe_refused,omitempty" toml:"believe_refused,omitempty"` // nil: true
	Defect       string   `json:"defect,omitempty" toml:"defect,omitempty"`
}

// Bounds of the configuration. The texts of a member fit into the library's metadata together. Texts are in bytes.
const (
	maxNameBytes    = 64 // as in package roster
	maxZoneBytes    = 64
	maxRoleBytes    = 32
	maxVersionBytes = 64
	maxFleetBytes   = 64
	maxSeeds        = 64
	maxAddrBytes    = 64

	minInterval    = 20 * time.Millisecond
	maxInterval    = time.Minute
	maxAdmitWithin = 10 * time.Minute
	maxStart       = 1 << 53 // the largest integer that JSON numbers carry exactly
)

// Config converts the section. An error names the key.
func (s *Section) Config() (Config, error) {
	c := Config{Fleet: s.Fleet, Bind: s.Bind, Advertise: s.Advertise, Seeds: s.Seeds, Defect: s.Defect,
		TrustRefused: s.TrustRefused == nil || *s.TrustRefused}
	var errs []error
	for i, text := range s.Networks {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			errs = append(errs, withKey(fmt.Sprintf("networks[%d]", i), fmt.Errorf("%q is no network as 10.0.0.0/8", text)))
		}
		c.Networks = append(c.Networks, p.Masked())
	}
	for _, d := range []struct {
		key, text string
		target    *time.Duration
	}{{"interval", s.Interval, &c.Interval}, {"admit_within", s.AdmitWithin, &c.AdmitWithin}} {
		if d.text == "" {
			continue
		}
		v, err := time.ParseDuration(d.text)
		if err == nil && v <= 0 {
			err = errors.New("is not above 0")
		}
		if err != nil {
			errs = append(errs, withKey(d.key, fmt.Errorf("%q is no time above 0 with its unit, as 1s", d.text)))
		}
		*d.target = v
	}
	if len(errs) == 0 {
		errs = append(errs, c.checkSection())
	}
	if err := errors.Join(errs...); err != nil {
		return Config{}, err
	}
	return c, nil
}

// withKey adds the key to an error.
func withKey(key string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("members.%s: %w", key, err)
}

// checkSection checks the fields that a Section sets.
func (c *Config) checkSection() error {
	errs := []error{withKey("fleet", checkText(c.Fleet, 1, maxFleetBytes)),
		withKey("interval", checkRange(c.Interval, minInterval, maxInterval)),
		withKey("admit_within", checkRange(c.AdmitWithin, time.Millisecond, maxAdmitWithin))}
	if c.Transport == nil || c.Bind != "" {
		errs = append(errs, withKey("bind", checkHostPort(c.Bind, 0)))
	}
	if c.Advertise != "" {
		errs = append(errs, withKey("advertise", checkHostPort(c.Advertise, 0)))
	}
	if len(c.Seeds) > maxSeeds {
		errs = append(errs, withKey("seeds", fmt.Errorf("%d are more than %d", len(c.Seeds), maxSeeds)))
	}
	for i, s := range c.Seeds {
		errs = append(errs, withKey(fmt.Sprintf("seeds[%d]", i), checkHostPort(s, 1)))
	}
	switch c.Defect {
	case "", DefectTrustDetector, DefectNoAdmission:
	default:
		errs = append(errs, withKey("defect",
			fmt.Errorf("%q is none of %q and %q", c.Defect, DefectTrustDetector, DefectNoAdmission)))
	}
	return errors.Join(errs...)
}

// Check finds what Open would reject, but for addresses that are in use. An error names the key.
func (c Config) Check() error { return c.normalize() }

// normalize sets the defaults and checks all fields.
func (c *Config) normalize() error {
	if c.Interval == 0 {
		c.Interval = time.Second
	}
	if c.AdmitWithin == 0 {
		c.AdmitWithin = 5 * time.Second
	}
	if c.Start == 0 {
		c.Start = time.Now().UnixMilli()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	c.Peers = max(c.Peers, 1)
	errs := []error{c.checkSection(), withKey("name", checkText(c.Name, 1, maxNameBytes)),
		withKey("zone", checkText(c.Zone, 0, maxZoneBytes)), withKey("role", checkText(c.Role, 0, maxRoleBytes)),
		withKey("version", checkText(c.Version, 0, maxVersionBytes))}
	if c.Start < 0 || c.Start >= maxStart {
		errs = append(errs, withKey("start", fmt.Errorf("%d is no time in Unix milliseconds", c.Start)))
	}
	return errors.Join(errs...)
}

// checkText checks a text's length and that it may be part of a node's name, a metric label and a log line, and needs no
// escape in JSON.
func checkText(s string, minBytes, maxBytes int) error {
	if len(s) < minBytes || len(s) > maxBytes {
		return fmt.Errorf("%d bytes, not from %d to %d", len(s), minBytes, maxBytes)
	}
	for _, r := range s {
		if r == utf8.RuneError || strings.ContainsRune("\"\\<>&", r) || unicode.IsSpace(r) || !unicode.IsPrint(r) {
			return fmt.Errorf("%q has a character that may not be there: %q", s, r)
		}
	}
	return nil
}

// checkHostPort checks a HOST:PORT. The host may be empty if the port may be 0.
func checkHostPort(s string, minPort uint64) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%q is no HOST:PORT", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n < minPort {
		return fmt.Errorf("%q has no port from %d to 65535", s, minPort)
	}
	if minPort > 0 && host == "" {
		return fmt.Errorf("%q names no host", s)
	}
	return nil
}

// checkRange checks a duration, of which 0 stands for the default.
func checkRange(d, minimum, maximum time.Duration) error {
	if d != 0 && (d < minimum || d > maximum) {
		return fmt.Errorf("%v is not from %v to %v", d, minimum, maximum)
	}
	return nil
}

// checkMemberAddr checks that a member may have an address and that others can call it.
func checkMemberAddr(networks []netip.Prefix, ip netip.Addr) error {
	if !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("%v is no address to call", ip)
	}
	if !transport.InNetworks(networks, ip) {
		return fmt.Errorf("%v lies in none of the networks", ip)
	}
	return nil
}
