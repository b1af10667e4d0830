// Package operators reads and validates the operators' file: tenants, subsets, tokens and limits of changes.
package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"marblelane/internal/rollout"
	"marblelane/internal/route"
	"marblelane/internal/tomlfile"
)

// maxOperatorsFileBytes bounds the size of the operators' file.
const maxOperatorsFileBytes = 1 << 20

// Operators is the operators' file: which tenants may roll out which changes, and how the leader treats processes. A
// missing key has the default of rollout.Options. Changes of tenants, subsets and tokens take effect at once; changes of
// the other keys take effect when a replica next acquires leadership.
type Operators struct {
	Token                string            `toml:"operator_token" validate:"bytes=200"`
	LeaseTerm            tomlfile.Duration `toml:"term" validate:"omitempty,min=500ms,max=5m"`
	StragglerAfter       tomlfile.Duration `toml:"behind_after" validate:"omitempty,min=100ms,max=1h"`
	ShutOutAfter         tomlfile.Duration `toml:"shut_after" validate:"omitempty,min=100ms,max=1h"`
	GoneAfter            tomlfile.Duration `toml:"gone_after" validate:"omitempty,min=100ms,max=24h"`
	MaxStragglerFraction float64           `toml:"behind_share" validate:"omitempty,gt=0,lte=1"`
	ClockMargin          float64           `toml:"margin" validate:"omitempty,gt=0,lte=1"`
	Alpha                float64           `toml:"alpha" validate:"omitempty,gt=0,lt=1"`
	DropAfter            tomlfile.Duration `toml:"remember" validate:"omitempty,min=1s,max=720h"`
	Subsets              []NamedSubset     `toml:"subset" validate:"max=1000,unique=Name,dive"`
	Tenants              []Tenant          `toml:"tenant" validate:"max=1000,unique=Name,dive"`
}

// NamedSubset is a subset of the servers that tenants refer to by its name.
type NamedSubset struct {
	Name  string   `toml:"name" validate:"required,bytes=100,excludesall=/"`
	Model []string `toml:"model" validate:"max=1000,dive,min=1,bytes=200"`
	Pod   []int    `toml:"pod_group" validate:"max=1000"`
	Zone  []string `toml:"az" validate:"max=1000,dive,min=1,bytes=200"`
	UID   []string `toml:"uid" validate:"max=1000,dive,min=1,bytes=200"`
}

// Tenant holds the permissions and limits of one tenant. The empty name is used at a site without tenants.
type Tenant struct {
	Name    string   `toml:"name" validate:"bytes=100,excludesall=/"`
	Token   string   `toml:"token" validate:"bytes=200"` // empty if no authorization is needed
	Subsets []string `toml:"subsets" validate:"max=1000"`
	// MaxCanaryFraction is the maximum fraction of the tenant's requests that a canary receives; 1 if missing.
	MaxCanaryFraction *float64 `toml:"max_share" validate:"omitempty,gt=0,lte=1"`
	// Rollouts is the maximum number of concurrent rollouts of the tenant; 1 if missing, 0 forbids rollouts. Values above
	// 1 have no effect, as a tenant can have only one rollout at a time.
	Rollouts *int `toml:"rollouts" validate:"omitempty,gte=0,lte=100"`
	// ChangesPerMinute limits the rate of the tenant's changes, and is also the permitted burst; 10 if missing.
	ChangesPerMinute float64 `toml:"changes_per_minute" validate:"omitempty,gt=0,lte=6000"`
	// MaxBudget is the maximum budget of one rollout, in units; 1000 if missing.
	MaxBudget int64 `toml:"max_budget" validate:"omitempty,gt=0,lte=1000000"`
}

// Load reads and validates an operators' file. Errors contain the file, the line and the key.
func Load(path string) (*Operators, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	if info.Size() > maxOperatorsFileBytes {
		return nil, fmt.Errorf("operators' file %s: its size of %d bytes exceeds the maximum of %d bytes", path, info.Size(), maxOperatorsFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	o := &Operators{}
	lines, err := tomlfile.Decode(path, text, o)
	if err != nil {
		return nil, fmt.Errorf("operators' file %w", err)
	}
	invalid := NewValidator().Check(o)
	if invalid == nil {
		invalid = o.checkConsistency()
	}
	if invalid != nil {
		return nil, fmt.Errorf("operators' file %w",
			&tomlfile.Error{File: path, Line: lines.Line(invalid.Field), Key: invalid.Field, Text: invalid.Text})
	}
	o.setDefaults()
	return o, nil
}

// checkConsistency checks keys whose valid values depend on other keys.
func (o *Operators) checkConsistency() *InvalidValue {
	options := o.ControllerOptions()
	if options.ShutOutAfter <= options.StragglerAfter {
		return &InvalidValue{"shut_after", fmt.Sprintf("%d ms is not greater than behind_after (%d ms)", options.ShutOutAfter, options.StragglerAfter)}
	}
	if options.DropAfter < 2*options.LeaseTerm {
		return &InvalidValue{"remember", fmt.Sprintf("%d ms is less than two terms of %d ms each", options.DropAfter, options.LeaseTerm)}
	}
	for i, s := range o.Subsets {
		if len(s.Model)+len(s.Pod)+len(s.Zone)+len(s.UID) == 0 {
			return &InvalidValue{fmt.Sprintf("subset[%d]", i), "selects all servers: set model, pod_group, az or uid"}
		}
	}
	for i, t := range o.Tenants {
		if slices.Contains([]string{emptyTenantPath, "reports", "units", "schema", "processes", "audit"}, t.Name) {
			return &InvalidValue{fmt.Sprintf("tenant[%d].name", i), fmt.Sprintf("%q is reserved in paths", t.Name)}
		}
		for k, name := range t.Subsets {
			if _, ok := o.Subset(name); !ok {
				return &InvalidValue{fmt.Sprintf("tenant[%d].subsets[%d]", i, k), fmt.Sprintf("subset %q does not exist", name)}
			}
		}
	}
	return nil
}

// setDefaults sets the missing limits of tenants to their defaults.
func (o *Operators) setDefaults() {
	for i := range o.Tenants {
		t := &o.Tenants[i]
		if t.MaxCanaryFraction == nil {
			t.MaxCanaryFraction = new(1.0)
		}
		if t.Rollouts == nil {
			t.Rollouts = new(1)
		}
		if t.ChangesPerMinute == 0 {
			t.ChangesPerMinute = 10
		}
		if t.MaxBudget == 0 {
			t.MaxBudget = 1000
		}
	}
}

// Subset returns the subset with a name.
func (o *Operators) Subset(name string) (route.Subset, bool) {
	for _, s := range o.Subsets {
		if s.Name == name {
			return route.Subset{Model: s.Model, PodGroup: s.Pod, Zone: s.Zone, UID: s.UID}, true
		}
	}
	return route.Subset{}, false
}

// emptyTenantPath replaces the empty tenant name in paths and in the state of routes.
const emptyTenantPath = "-"

// StateTenantName returns the name of a tenant in the state of routes.
func StateTenantName(name string) string {
	if name == "" {
		return emptyTenantPath
	}
	return name
}

// ConfiguredTenantName returns the name that settings and processes use for a tenant, given its name in a path or in the
// state of routes.
func ConfiguredTenantName(name string) string {
	if name == emptyTenantPath {
		return ""
	}
	return name
}

// Tenant returns the tenant with a name in a path.
func (o *Operators) Tenant(pathName string) (*Tenant, bool) {
	i := slices.IndexFunc(o.Tenants, func(t Tenant) bool { return t.Name == ConfiguredTenantName(pathName) })
	if i < 0 {
		return nil, false
	}
	return &o.Tenants[i], true
}

// TokenMatches reports whether a request carries the given token. An empty token matches every request.
func TokenMatches(token string, r *http.Request) bool {
	if token == "" {
		return true
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token)) // equal lengths, so that the comparison takes constant time
	return ok && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// InvalidValue describes an invalid value: its key and the bound that it violates.
type InvalidValue struct {
	Field string
	Text  string
}

// Validator checks the bounds in validate tags, both of files and of request bodies.
type Validator struct{ v *validator.Validate }

// NewValidator returns a validator that supports the tags used in this package and in request bodies.
func NewValidator() Validator {
	v := validator.New(validator.WithRequiredStructEnabled())
	// The built-in max counts the characters of a string, but the limits of stored data are in bytes.
	if err := v.RegisterValidation("bytes", checkMaxBytes); err != nil {
		panic(err)
	}
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		for _, tag := range []string{"toml", "json"} {
			if name, _, _ := strings.Cut(f.Tag.Get(tag), ","); name != "" && name != "-" {
				return name
			}
		}
		return f.Name
	})
	// Compare a duration with bounds such as 500ms, not as an integer.
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return time.Duration(f.Int()) }, tomlfile.Duration(0))
	return Validator{v}
}

// checkMaxBytes implements the tag bytes=N. It panics if N is not a number.
func checkMaxBytes(f validator.FieldLevel) bool {
	limit, err := strconv.Atoi(f.Param())
	if err != nil {
		panic(fmt.Sprintf("registry: validate tag bytes=%s of field %s is not a number", f.Param(), f.FieldName()))
	}
	return len(f.Field().String()) <= limit
}

// Check returns the first value that violates its validate tag, or nil if there is none.
func (v Validator) Check(value any) *InvalidValue {
	err := v.v.Struct(value)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return &InvalidValue{"", err.Error()}
	}
	first := violations[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	return &InvalidValue{field, boundText(first)}
}

// boundText returns the error text for a violated bound. It is also sent in HTTP responses.
func boundText(e validator.FieldError) string {
	value := fmt.Sprint(e.Value())
	if d, ok := e.Value().(tomlfile.Duration); ok {
		value = d.Duration().String()
	}
	if len(value) > 40 {
		value = strings.ToValidUTF8(value[:40], "") + "..."
	}
	size := ""
	switch e.Kind() {
	case reflect.String:
		size, value = " bytes", fmt.Sprintf("%q", value)
	case reflect.Slice, reflect.Map:
		size, value = " entries", fmt.Sprintf("a list of %d", reflect.ValueOf(e.Value()).Len())
	}
	switch e.Tag() {
	case "required":
		return "is missing"
	case "min", "gte":
		return fmt.Sprintf("%s is below %s%s", value, e.Param(), size)
	case "max", "lte", "bytes":
		return fmt.Sprintf("%s is above %s%s", value, e.Param(), size)
	case "gt":
		return fmt.Sprintf("%s is not above %s%s", value, e.Param(), size)
	case "lt":
		return fmt.Sprintf("%s is not below %s%s", value, e.Param(), size)
	case "oneof":
		return fmt.Sprintf("%s is none of %s", value, strings.Join(strings.Fields(e.Param()), ", "))
	case "unique":
		return "a name comes twice"
	case "excludesall":
		return fmt.Sprintf("%s has a character of %q", value, e.Param())
	}
	return fmt.Sprintf("%s breaks the bound %s %s", value, e.Tag(), e.Param())
}

// ControllerOptions returns the options of the rollout controller, with defaults for missing keys.
func (o *Operators) ControllerOptions() rollout.Options {
	options := rollout.Defaults()
	for _, d := range []struct {
		to   *int64
		from tomlfile.Duration
	}{{&options.LeaseTerm, o.LeaseTerm}, {&options.StragglerAfter, o.StragglerAfter}, {&options.ShutOutAfter, o.ShutOutAfter}, {&options.GoneAfter, o.GoneAfter},
		{&options.DropAfter, o.DropAfter}} {
		if d.from > 0 {
			*d.to = d.from.Duration().Milliseconds()
		}
	}
	for _, f := range []struct {
		to   *float64
		from float64
	}{{&options.MaxStragglerFraction, o.MaxStragglerFraction}, {&options.ClockMargin, o.ClockMargin}, {&options.Alpha, o.Alpha}} {
		if f.from > 0 {
			*f.to = f.from
		}
	}
	return options
}
