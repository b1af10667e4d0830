package scenarios_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"marblelane/lab/scenarios"
)

// wantPlansDigest is the SHA-256 of the plans of all scenarios for planSeeds. A change that only moves or renames code
// does not alter it.
const wantPlansDigest = "9c199241dfa45190569f1b483882e7fdcae85fa1d7ac29b3075724d9d1699fc2"

var planSeeds = []uint64{1, 901}

// The digest covers each scenario with its defaults, its plan, its schedule and the settings of its sidecars.
func TestPlans_keepTheirDigest(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("other architectures can fuse floating-point operations, which changes the last digits")
	}
	all, fields := sha256.New(), map[reflect.Type][]canonicalField{}
	for _, name := range scenarios.Names() {
		s, err := scenarios.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		one := sha256.New()
		for _, seed := range planSeeds {
			plan := s.Plan(seed)
			form := canonical{fields: fields}
			form.add(reflect.ValueOf(plan))
			one.Write(form.bytes)
			if _, err := plan.WriteTo(one); err != nil {
				t.Fatal(err)
			}
			for i := range plan.Sidecars {
				settings, err := json.Marshal(plan.Settings(i))
				if err != nil {
					t.Fatal(err)
				}
				one.Write(settings)
			}
		}
		sum := one.Sum(nil)
		t.Logf("%x %s", sum, name)
		all.Write(sum)
	}
	if got := hex.EncodeToString(all.Sum(nil)); got != wantPlansDigest {
		t.Errorf("digest of all plans is %s, want %s: run both versions with -v and compare the digests of each scenario", got, wantPlansDigest)
	}
}

// canonical encodes values without the names of Go types and fields. A field is identified by its TOML key, or by its
// position if it has none.
type canonical struct {
	bytes  []byte
	fields map[reflect.Type][]canonicalField
}

type canonicalField struct {
	key   string
	index int
}

func (c *canonical) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			c.bytes = append(c.bytes, "nil"...)
			break
		}
		c.add(v.Elem())
	case reflect.Struct:
		for _, f := range c.fieldsOf(v.Type()) {
			c.bytes = append(append(c.bytes, f.key...), '=')
			c.add(v.Field(f.index))
		}
	case reflect.Slice, reflect.Array:
		c.bytes = append(strconv.AppendInt(c.bytes, int64(v.Len()), 10), '[')
		for i := range v.Len() {
			c.add(v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		for _, key := range keys {
			c.bytes = append(strconv.AppendQuote(c.bytes, key.String()), ':')
			c.add(v.MapIndex(key))
		}
	case reflect.String:
		c.bytes = strconv.AppendQuote(c.bytes, v.String())
	case reflect.Float64:
		c.bytes = strconv.AppendFloat(c.bytes, v.Float(), 'g', -1, 64)
	case reflect.Bool:
		c.bytes = strconv.AppendBool(c.bytes, v.Bool())
	case reflect.Int, reflect.Int64:
		c.bytes = strconv.AppendInt(c.bytes, v.Int(), 10)
	case reflect.Uint64:
		c.bytes = strconv.AppendUint(c.bytes, v.Uint(), 10)
	default:
		panic(fmt.Sprintf("plan contains a value of type %v, which has no canonical form", v.Type()))
	}
	c.bytes = append(c.bytes, ';')
}

// fieldsOf returns the fields of a struct, ordered by key.
func (c *canonical) fieldsOf(t reflect.Type) []canonicalField {
	if fields, ok := c.fields[t]; ok {
		return fields
	}
	var fields []canonicalField
	for i := range t.NumField() {
		key, tagged := t.Field(i).Tag.Lookup("toml")
		if !tagged {
			key = fmt.Sprintf("#%02d", i)
		}
		fields = append(fields, canonicalField{key, i})
	}
	slices.SortFunc(fields, func(a, b canonicalField) int { return strings.Compare(a.key, b.key) })
	c.fields[t] = fields
	return fields
}
