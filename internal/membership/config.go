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

// Defects that the lab plants to verify that its checks find them.
const (
	DefectTrustDetector = "trust-detector" // a member is declared gone as soon as the failure detector declares it dead
	DefectNoAdmission   = "no-admission"   // a joining process is admitted at once
)

// Config configures a Group.
type Config struct {
	Name, Fleet, Zone, Role, Version string

	Start        int64          // start of the process in Unix ms; 0 means now
	Bind         string         // HOST:PORT to bind for UDP and TCP; port 0 lets the system choose
	Advertise    string         // HOST:PORT at which others reach this process; empty means the bound address
	Networks     []netip.Prefix // allowed networks of members' and callers' addresses; empty allows all
	Seeds        []string       // HOST:PORT of members to join
	Peers        int            // number of sidecars in the settings; at least 1 is assumed
	Observer     bool           // the process is a member but has no share of the fleet's budgets
	Interval     time.Duration  // time between two probes of the failure detector; 0 means 1 s
	AdmitWithin  time.Duration  // time after which a joining process is admitted without all acks; 0 means 5 s
	TrustRefused bool           // a refused connection proves that a process has ended
	Defect       string         // DefectTrustDetector, DefectNoAdmission or empty

	EstimatedSize func() float64    // returns the balancer's estimate of the fleet's size, for reports; may be nil
	ViewChanged   func(roster.View) // called by one goroutine at each change and at least once a second; must not block
	Log           *slog.Logger
	Transport     memberlist.NodeAwareTransport // nil means sockets; Shutdown may be called more than once
}

// Section is the `members` section of a configuration file, in JSON or TOML. Durations have a unit, such as "1s".
type Section struct {
	Fleet        string   `json:"fleet" toml:"fleet"`
	Bind         string   `json:"bind" toml:"bind"`
	Advertise    string   `json:"advertise,omitempty" toml:"advertise,omitempty"`
	Networks     []string `json:"networks,omitempty" toml:"networks,omitempty"`
	Seeds        []string `json:"seeds,omitempty" toml:"seeds,omitempty"`
	Interval     string   `json:"interval,omitempty" toml:"interval,omitempty"`
	AdmitWithin  string   `json:"admit_within,omitempty" toml:"admit_within,omitempty"`
	TrustRefused *bool    `json:"believe_refused,omitempty" toml:"believe_refused,omitempty"` // nil means true
	Defect       string   `json:"defect,omitempty" toml:"defect,omitempty"`
}

// Bounds of the configuration. A member's name, zone, role and version of maximal length fit into the library's
// metadata together.
const (
	maxNameBytes    = 64 // the limit of package roster
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

// Config converts the section to a Config. Errors name the key.
func (s *Section) Config() (Config, error) {
	c := Config{Fleet: s.Fleet, Bind: s.Bind, Advertise: s.Advertise, Seeds: s.Seeds, Defect: s.Defect,
		TrustRefused: s.TrustRefused == nil || *s.TrustRefused}
	var errs []error
	for i, text := range s.Networks {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			errs = append(errs, withKey(fmt.Sprintf("networks[%d]", i),
				fmt.Errorf("%q is not a network prefix such as 10.0.0.0/8", text)))
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
			err = errors.New("not positive")
		}
		if err != nil {
			errs = append(errs, withKey(d.key, fmt.Errorf("%q is not a positive duration with a unit, such as 1s", d.text)))
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

// withKey prefixes an error with the key of the setting. It returns nil for a nil error.
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
		errs = append(errs, withKey("seeds", fmt.Errorf("%d seeds exceed the limit of %d", len(c.Seeds), maxSeeds)))
	}
	for i, s := range c.Seeds {
		errs = append(errs, withKey(fmt.Sprintf("seeds[%d]", i), checkHostPort(s, 1)))
	}
	switch c.Defect {
	case "", DefectTrustDetector, DefectNoAdmission:
	default:
		errs = append(errs, withKey("defect",
			fmt.Errorf("unknown defect %q, want %q or %q", c.Defect, DefectTrustDetector, DefectNoAdmission)))
	}
	return errors.Join(errs...)
}

// Check returns the errors that Open would return, except for addresses in use. Errors name the key.
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
		errs = append(errs, withKey("start", fmt.Errorf("%d is not a time in Unix milliseconds", c.Start)))
	}
	return errors.Join(errs...)
}

// checkText checks the length of a text, and that it is safe in a node name, a metric label and a log line and needs no
// escaping in JSON.
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
		return fmt.Errorf("%q is not HOST:PORT", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n < minPort {
		return fmt.Errorf("%q: port is not in the range %d to 65535", s, minPort)
	}
	if minPort > 0 && host == "" {
		return fmt.Errorf("%q: host is missing", s)
	}
	return nil
}

// checkRange checks that a duration is within bounds. 0 stands for the default and passes.
func checkRange(d, minimum, maximum time.Duration) error {
	if d != 0 && (d < minimum || d > maximum) {
		return fmt.Errorf("%v is not in the range %v to %v", d, minimum, maximum)
	}
	return nil
}

// checkMemberAddr checks that an address can be dialed and lies in an allowed network.
func checkMemberAddr(networks []netip.Prefix, ip netip.Addr) error {
	if !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("address %v cannot be dialed", ip)
	}
	if !transport.InNetworks(networks, ip) {
		return fmt.Errorf("address %v is outside the allowed networks", ip)
	}
	return nil
}
