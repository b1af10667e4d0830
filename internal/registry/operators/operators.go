// Package operators reads and validates the operators' file: tenants, subsets, tokens and the bounds of changes.
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

// maxOperatorsFileBytes bounds the operators' file.
const maxOperatorsFileBytes = 1 << 20

// Operators is the operators' file: who may roll out what, and how the leader deals with processes. Absent keys stand
// for the defaults of rollout.Options. Times and shares of processes hold from when a replica next begins to lead;
// tenants, subsets and tokens at once.
type Operators struct {
	Token                string            `toml:"operator_token" validate:"bytes=200"`
	Term                 tomlfile.Duration `toml:"term" validate:"omitempty,min=500ms,max=5m"`
	BehindAfter          tomlfile.Duration `toml:"behind_after" validate:"omitempty,min=100ms,max=1h"`
	ShutAfter            tomlfile.Duration `toml:"shut_after" validate:"omitempty,min=100ms,max=1h"`
	GoneAfter            tomlfile.Duration `toml:"gone_after" validate:"omitempty,min=100ms,max=24h"`
	MaxStragglerFraction float64           `toml:"behind_share" validate:"omitempty,gt=0,lte=1"`
	Margin               float64           `toml:"margin" validate:"omitempty,gt=0,lte=1"`
	Alpha                float64           `toml:"alpha" validate:"omitempty,gt=0,lt=1"`
	Remember             tomlfile.Duration `toml:"remember" validate:"omitempty,min=1s,max=720h"`
	Subsets              []Named           `toml:"subset" validate:"max=1000,unique=Name,dive"`
	Tenants              []Tenant          `toml:"tenant" validate:"max=1000,unique=Name,dive"`
}

// Named is a subset of the servers with the name that tenants know it by.
type Named struct {
	Name  string   `toml:"name" validate:"required,bytes=100,excludesall=/"`
	Model []string `toml:"model" validate:"max=1000,dive,min=1,bytes=200"`
	Pod   []int    `toml:"pod_group" validate:"max=1000"`
	Zone  []string `toml:"az" validate:"max=1000,dive,min=1,bytes=200"`
	UID   []string `toml:"uid" validate:"max=1000,dive,min=1,bytes=200"`
}

// Tenant is what one tenant may do. The empty name stands for a site without tenants.
type Tenant struct {
	Name              string   `toml:"name" validate:"bytes=100,excludesall=/"`
	Token             string   `toml:"token" validate:"bytes=200"` // empty: no authorization needed
	Subsets           []string `toml:"subsets" validate:"max=1000"`
	MaxCanaryFraction *float64 `toml:"max_share" validate:"omitempty,gt=0,lte=1"`             // of its requests to a canary; 1
	Rollouts          *int     `toml:"rollouts" validate:"omitempty,gte=0,lte=100"`           // at once; 1, and no tenant has more. 0: it may begin none
	Changes           float64  `toml:"changes_per_minute" validate:"omitempty,gt=0,lte=6000"` // 10; so many at once, then one as each comes free
	MaxBudget         int64    `toml:"max_budget" validate:"omitempty,gt=0,lte=1000000"`      // units of one rollout; 1,000
}

// Load reads an operators' file. Errors name file, line and key.
func Load(path string) (*Operators, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	if info.Size() > maxOperatorsFileBytes {
		return nil, fmt.Errorf("operators' file %s: has %d bytes, %d at most", path, info.Size(), maxOperatorsFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	o := &Operators{}
	at, err := tomlfile.Decode(path, text, o)
	if err != nil {
		return nil, fmt.Errorf("operators' file %w", err)
	}
	bad := NewValidator().Check(o)
	if bad == nil {
		bad = o.check()
	}
	if bad != nil {
		return nil, fmt.Errorf("operators' file %w", &tomlfile.Error{File: path, Line: at.Line(bad.Field), Key: bad.Field, Text: bad.Text})
	}
	o.defaults()
	return o, nil
}

// check validates the keys against each other.
func (o *Operators) check() *InvalidValue {
	d := o.ControllerOptions()
	if d.ShutOutAfter <= d.StragglerAfter {
		return &InvalidValue{"shut_after", fmt.Sprintf("%d ms is not after behind_after, %d ms", d.ShutOutAfter, d.StragglerAfter)}
	}
	if d.DropAfter < 2*d.LeaseTerm {
		return &InvalidValue{"remember", fmt.Sprintf("%d ms is less than two terms of %d ms", d.DropAfter, d.LeaseTerm)}
	}
	for i, s := range o.Subsets {
		if len(s.Model)+len(s.Pod)+len(s.Zone)+len(s.UID) == 0 {
			return &InvalidValue{fmt.Sprintf("subset[%d]", i), "selects all servers: it needs model, pod_group, az or uid"}
		}
	}
	for i, t := range o.Tenants {
		if slices.Contains([]string{emptyTenantPath, "reports", "units", "schema", "processes", "audit"}, t.Name) {
			return &InvalidValue{fmt.Sprintf("tenant[%d].name", i), fmt.Sprintf("%q has another meaning in paths", t.Name)}
		}
		for k, name := range t.Subsets {
			if _, ok := o.Subset(name); !ok {
				return &InvalidValue{fmt.Sprintf("tenant[%d].subsets[%d]", i, k), fmt.Sprintf("there is no subset %q", name)}
			}
		}
	}
	return nil
}

func (o *Operators) defaults() {
	for i := range o.Tenants {
		t := &o.Tenants[i]
		if t.MaxCanaryFraction == nil {
			t.MaxCanaryFraction = new(1.0)
		}
		if t.Rollouts == nil {
			t.Rollouts = new(1)
		}
		if t.Changes == 0 {
			t.Changes = 10
		}
		if t.MaxBudget == 0 {
			t.MaxBudget = 1000
		}
	}
}

// Subset finds a subset by its name.
func (o *Operators) Subset(name string) (route.Subset, bool) {
	for _, s := range o.Subsets {
		if s.Name == name {
			return route.Subset{Model: s.Model, PodGroup: s.Pod, Zone: s.Zone, UID: s.UID}, true
		}
	}
	return route.Subset{}, false
}

// emptyTenantPath stands for the empty tenant name in paths and in the state of routes.
const emptyTenantPath = "-"

// StateTenantName gives the name under which the state of routes keeps a tenant.
func StateTenantName(name string) string {
	if name == "" {
		return emptyTenantPath
	}
	return name
}

// ConfiguredTenantName gives the name that settings and processes use for a tenant of the state of routes.
func ConfiguredTenantName(name string) string {
	if name == emptyTenantPath {
		return ""
	}
	return name
}

// Tenant finds a tenant by its name in a path.
func (o *Operators) Tenant(part string) (*Tenant, bool) {
	i := slices.IndexFunc(o.Tenants, func(t Tenant) bool { return t.Name == ConfiguredTenantName(part) })
	if i < 0 {
		return nil, false
	}
	return &o.Tenants[i], true
}

// TokenMatches reports whether a request carries a tenant's token. Where the token is empty, every request does.
func TokenMatches(token string, r *http.Request) bool {
	if token == "" {
		return true
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token)) // of one length, whatever was given
	return ok && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// InvalidValue is an invalid value: the name of its key or field, and the bound that it violates.
type InvalidValue struct {
	Field string
	Text  string
}

// Validator checks the bounds that validate tags set, for files and for request bodies alike.
type Validator struct{ v *validator.Validate }

// NewValidator makes a validator of the tags in this package and in request bodies.
func NewValidator() Validator {
	v := validator.New(validator.WithRequiredStructEnabled())
	// The validator's max counts characters of a text; stored size is in bytes. An invalid bound in a tag panics.
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
	// A duration of a file is compared as one.
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return time.Duration(f.Int()) }, tomlfile.Duration(0))
	return Validator{v}
}

func checkMaxBytes(f validator.FieldLevel) bool {
	limit, err := strconv.Atoi(f.Param())
	if err != nil {
		panic(fmt.Sprintf("registry: the bound bytes=%s of %s is no number", f.Param(), f.FieldName()))
	}
	return len(f.Field().String()) <= limit
}

// Check returns the first value that violates its validate tag.
func (r Validator) Check(v any) *InvalidValue {
	err := r.v.Struct(v)
	if err == nil {
		return nil
	}
	var all validator.ValidationErrors
	if !errors.As(err, &all) || len(all) == 0 {
		return &InvalidValue{"", err.Error()}
	}
	e := all[0]
	_, field, _ := strings.Cut(e.Namespace(), ".")
	return &InvalidValue{field, boundText(e)}
}

// boundText is the error text of a violated bound.
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

// ControllerOptions returns the options of the controller, with defaults for the keys that the file leaves out.
func (o *Operators) ControllerOptions() rollout.Options {
	out := rollout.Defaults()
	for _, d := range []struct {
		to   *int64
		from tomlfile.Duration
	}{{&out.LeaseTerm, o.Term}, {&out.StragglerAfter, o.BehindAfter}, {&out.ShutOutAfter, o.ShutAfter}, {&out.GoneAfter, o.GoneAfter},
		{&out.DropAfter, o.Remember}} {
		if d.from > 0 {
			*d.to = d.from.Duration().Milliseconds()
		}
	}
	for _, f := range []struct {
		to   *float64
		from float64
	}{{&out.MaxStragglerFraction, o.MaxStragglerFraction}, {&out.ClockMargin, o.Margin}, {&out.Alpha, o.Alpha}} {
		if f.from > 0 {
			*f.to = f.from
		}
	}
	return out
}
