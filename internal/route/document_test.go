package route

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite testdata/readings.golden; only allowed after adding documents")

func goldenDocuments(t testing.TB, pattern string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: no documents: %v", pattern, err)
	}
	docs := map[string][]byte{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		docs[strings.TrimSuffix(filepath.Base(path), ".json")] = text
	}
	return docs
}

// TestRead_frozenReaders compares the result of each frozen reader for each document with a golden file.
func TestRead_frozenReaders(t *testing.T) {
	var got bytes.Buffer
	for _, pattern := range []string{"*.json", "refused/*.json"} {
		docs := goldenDocuments(t, pattern)
		for _, name := range slices.Sorted(maps.Keys(docs)) {
			for version := 1; version <= Newest; version++ {
				table, err := Read(version, docs[name])
				if invalid := strings.HasPrefix(pattern, "refused"); err == nil && invalid {
					t.Errorf("%s: a reader of schema %d accepts it: %+v", name, version, table)
				}
				if (err == nil) == (table == nil) {
					t.Errorf("%s: table %+v with error %v", name, table, err)
				}
				if err != nil {
					fmt.Fprintf(&got, "%s, reader %d: %v\n", name, version, err)
				} else {
					fmt.Fprintf(&got, "%s, reader %d = %+v\n", name, version, *table)
				}
			}
		}
	}
	const path = "testdata/readings.golden"
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got.String(), "\n")); diff != "" {
		t.Error(diff)
	}
}

func fullRoute() Route {
	return Route{
		Tenant: "acme", Base: Subset{Model: []string{"m4"}, Zone: []string{"east", "west"}},
		Canary: Subset{Model: []string{"m5"}, PodGroup: []int{3, 4}, Zone: []string{"east"}, UID: []string{"u-1", "u-2"}},
		Share:  0.05, Rollout: "m5-try", Step: 1, Budget: true, Late: true,
	}
}

// goldenTables returns the tables of the golden documents by name. Write must reproduce these documents byte for byte.
func goldenTables() map[string]*Table {
	classes := fullRoute()
	classes.Classes, classes.Note = []string{"gold", "silver"}, "n"
	return map[string]*Table{
		"1-empty": {},
		"1-full": {Rev: 7<<28 + 5, Closed: 7<<28 + 4, Routes: []Route{
			{Tenant: "zoo", Base: Subset{PodGroup: []int{-1}}}, {}, fullRoute(),
		}},
		"2-plain":   {Rev: 7, Closed: 3, Routes: []Route{{Tenant: "a"}}},
		"2-note":    {Rev: 7, Closed: 3, Routes: []Route{{Tenant: "a", Note: "asked for by <ops> & co"}}},
		"2-classes": {Rev: 7, Closed: 3, Routes: []Route{classes}},
		"2-idle": {Rev: 7, Closed: 3, Routes: []Route{
			{Tenant: "b", Share: 1, Classes: []string{"gold"}},
			{Tenant: "a", Canary: Subset{Zone: []string{"east"}}, Rollout: "r", Classes: []string{"gold"}},
		}},
	}
}

func TestWrite_goldenDocuments(t *testing.T) {
	docs := goldenDocuments(t, "*.json")
	for name, table := range goldenTables() {
		version := int(name[0] - '0')
		text, err := Write(table, version)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := cmp.Diff(string(docs[name]), string(text)+"\n"); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		read, err := Read(version, docs[name])
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := cmp.Diff(sortedTable(table), read); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestRead_newerSchemas(t *testing.T) {
	docs := goldenDocuments(t, "3-*.json")
	for name, reads := range map[string]int{"3-reads1": 1, "3-reads2": 2, "3-reads3": 3} {
		for version := 1; version <= Newest; version++ {
			table, err := Read(version, docs[name])
			var not UnreadableError
			switch {
			case reads <= version && (err != nil || len(table.Routes) != 1 || table.Routes[0].Tenant != "a"):
				t.Errorf("%s: reader %d returns %+v, %v", name, version, table, err)
			case reads > version && (!errors.As(err, &not) || not != UnreadableError{Schema: 3, Reads: reads}):
				t.Errorf("%s: reader %d returns error %v", name, version, err)
			}
		}
	}
	for _, version := range []int{-1, 0, Newest + 1} {
		if _, err := Read(version, docs["3-reads1"]); err == nil {
			t.Errorf("Read accepts schema version %d", version)
		}
		if _, err := Write(&Table{}, version); err == nil {
			t.Errorf("Write accepts schema version %d", version)
		}
	}
}

// TestDocument_bounds verifies that Read and Write accept a document at its bounds, and reject one that exceeds them.
func TestDocument_bounds(t *testing.T) {
	many := &Table{Rev: 9}
	for i := range MaxEntries {
		many.Routes = append(many.Routes, Route{Tenant: fmt.Sprintf("t%05d", i)})
	}
	text, err := Write(many, Newest)
	if err != nil {
		t.Fatal(err)
	}
	if table, err := Read(Newest, text); err != nil || len(table.Routes) != MaxEntries {
		t.Fatalf("%d routes: %v", MaxEntries, err)
	}
	padded := append(bytes.Clone(text), bytes.Repeat([]byte{' '}, MaxDocumentBytes-len(text))...)
	if _, err := Read(1, padded); err != nil {
		t.Errorf("%d bytes: %v", len(padded), err)
	}
	big := &Table{Rev: 9}
	for i := range 2000 {
		big.Routes = append(big.Routes, Route{Tenant: fmt.Sprint(i), Note: strings.Repeat("n", 600)})
	}
	over := &Table{Rev: 9, Routes: append(slices.Clone(many.Routes), Route{Tenant: "over"})}
	write := func(t *Table) error { _, err := Write(t, Newest); return err }
	read := func(text []byte) error { _, err := Read(Newest, text); return err }
	for _, c := range []struct {
		err  error
		want string
	}{
		{read(append(padded, ' ')), "document: it has 1048577 bytes, more than 1048576"},
		{read(make([]byte, 20<<20)), "document: it has 20971520 bytes, more than 1048576"},
		{read(bytes.Replace(text, []byte(`[`), []byte(`[{"tenant":"over"},`), 1)), "routes: it has more than 10000 entries"},
		{write(over), "routes: it has more than 10000 entries"},
		{write(big), "document: it has 1254942 bytes, more than 1048576"},
		{write(&Table{Rev: 1, Routes: []Route{{Share: math.NaN()}}}), "routes[0].share: NaN is not between 0 and 1"},
		{write(&Table{Rev: 1, Routes: []Route{{Tenant: "\xff"}}}), `routes[0].tenant: "\xff" is not UTF-8`},
	} {
		if c.err == nil || c.err.Error() != c.want {
			t.Errorf("%v, want %s", c.err, c.want)
		}
	}
	if v, f := Compare(big, 1); v != NoReading || len(f) != 1 {
		t.Errorf("Compare of a too large table: verdict %v, findings %v", v, f)
	}
}

// wireFields returns the paths of all JSON fields of a document type.
func wireFields(doc any) map[string]bool {
	fields := map[string]bool{}
	var walk func(t reflect.Type, path string)
	walk = func(t reflect.Type, path string) {
		for i := range t.NumField() {
			f := t.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			at, inner := joinPath(path, name), f.Type
			fields[at] = true
			if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
				at, inner = at+"[]", inner.Elem()
			}
			if inner.Kind() == reflect.Struct {
				walk(inner, at)
			}
		}
	}
	walk(reflect.TypeOf(doc), "")
	return fields
}

// declarationFaults compares the JSON fields of a schema's document type with the declared fields.
func declarationFaults(doc any, schema int, fields []Field) (faults []string) {
	wire, known := wireFields(doc), map[string]bool{}
	for _, f := range fields {
		switch {
		case known[f.Path]:
			faults = append(faults, f.Path+" is declared twice")
		case f.Since < 1 || f.Since > Newest || f.Rule != Ignorable && f.Rule != MustUnderstand:
			faults = append(faults, f.Path+" has an unknown schema or rule")
		case f.Since <= schema && !wire[f.Path]:
			faults = append(faults, f.Path+" is declared but not in the document type")
		case f.Since > schema && wire[f.Path]:
			faults = append(faults, f.Path+" is declared for a newer schema")
		}
		known[f.Path] = true
	}
	for path := range wire {
		if !known[path] {
			faults = append(faults, path+" is not declared")
		}
	}
	return faults
}

func TestFields_declared(t *testing.T) {
	for i, doc := range []any{document1{}, document2{}} {
		for _, fault := range declarationFaults(doc, i+1, DeclaredFields()) {
			t.Errorf("schema %d: %s", i+1, fault)
		}
	}
	// Faults that must be detected: an undeclared field, a declared field that does not exist, and one of a newer
	// schema.
	type planted struct {
		document2
		Hedge float64 `json:"hedge"`
	}
	without := slices.DeleteFunc(DeclaredFields(), func(f Field) bool { return f.Path == "routes[].note" })
	with := append(DeclaredFields(), Field{Path: "routes[].hedge", Since: 2})
	for name, faults := range map[string][]string{
		"a new field":                declarationFaults(planted{}, 2, DeclaredFields()),
		"a missing declaration":      declarationFaults(document2{}, 2, without),
		"a missing field":            declarationFaults(document2{}, 2, with),
		"a field in an older schema": declarationFaults(document2{}, 1, DeclaredFields()),
	} {
		if len(faults) == 0 {
			t.Errorf("%s is not detected", name)
		}
	}
}

func TestWrite_olderSchema(t *testing.T) {
	lossy := &Table{Rev: 2, Routes: []Route{
		{Tenant: "b", Rollout: "r", Share: 0.5, Classes: []string{"gold", "silver"}}, {Tenant: "a", Note: "n"},
	}}
	_, err := Write(lossy, 1)
	var not UnwritableError
	want := UnwritableError{Version: 1, Fields: []Finding{{
		Path: "routes[1].classes", Field: "classes",
		Effect: `tenant "b": a reader of schema 1 sends requests of all classes to the canary, not those of gold, silver alone`,
	}}}
	if !errors.As(err, &not) || !cmp.Equal(not, want) {
		t.Errorf("%v", err)
	}
	docs := goldenDocuments(t, "2-*.json")
	for name, want := range map[string]string{"2-note": "reads\":1", "2-plain": "reads\":1", "2-idle": "reads\":2"} {
		table, err := Read(2, docs[name])
		if err != nil || !strings.Contains(string(docs[name]), want) {
			t.Fatalf("%s: %v", name, err)
		}
		text, err := Write(table, 1)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		down, err := Read(1, text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for i := range table.Routes {
			table.Routes[i].Classes, table.Routes[i].Note = nil, ""
		}
		if diff := cmp.Diff(table, down); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestDocument_roundTrip verifies that Read restores what Write has written, and that Write gives the same bytes for
// any order of the routes.
func TestDocument_roundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		text, err := Write(table, Newest)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Read(Newest, text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if diff := cmp.Diff(sortedTable(table), back); diff != "" {
			t.Fatal(diff)
		}
		mixed := *table
		mixed.Routes = rapid.Permutation(table.Routes).Draw(t, "order")
		if again, err := Write(&mixed, Newest); err != nil || !bytes.Equal(again, text) {
			t.Fatalf("%s, then %s: %v", text, again, err)
		}
	})
}

// FuzzRead verifies that any bytes give either an error or a table that survives Write and Read unchanged.
func FuzzRead(f *testing.F) {
	for _, pattern := range []string{"*.json", "refused/*.json"} {
		for _, text := range goldenDocuments(f, pattern) {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for version := 1; version <= Newest; version++ {
			table, err := Read(version, text)
			if (err == nil) == (table == nil) {
				t.Fatalf("table %+v with error %v", table, err)
			}
			if err != nil {
				continue
			}
			again, err := Write(table, version)
			if err != nil {
				t.Fatalf("%+v: %v", table, err)
			}
			if back, err := Read(version, again); err != nil || !cmp.Equal(table, back) {
				t.Fatalf("%+v is read back as %+v, %v", table, back, err)
			}
		}
	})
}
