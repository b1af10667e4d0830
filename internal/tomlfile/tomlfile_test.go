package tomlfile

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// testFile has a field for each kind of key that Decode supports.
type testFile struct {
	Length  Duration  `toml:"length"`
	Grace   *Duration `toml:"grace"`
	Count   int       `toml:"count"`
	Ratio   float64   // has no tag: the key is the field name
	Servers struct {
		Every Duration `toml:"every"`
	} `toml:"servers"`
	Fault []struct {
		Kind string   `toml:"kind"`
		At   Duration `toml:"at"`
		Size float64  `toml:"size"`
	} `toml:"fault"`
}

const validFile = `length = "5s"
grace = "250ms"
count = 8
ratio = 0.5

[servers]
every = "1m"

[[fault]]
kind = "slow"
at = "2s"

[[fault]]
kind = "cut"
size = 3
`

func TestDecode(t *testing.T) {
	var file testFile
	index, err := Decode("good.toml", []byte(validFile), &file)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		key  string
		got  Duration
		want time.Duration
	}{
		{"length", file.Length, 5 * time.Second},
		{"grace", *file.Grace, 250 * time.Millisecond},
		{"servers.every", file.Servers.Every, time.Minute},
		{"fault[0].at", file.Fault[0].At, 2 * time.Second},
	} {
		if time.Duration(test.got) != test.want {
			t.Errorf("%s is %v, want %v", test.key, time.Duration(test.got), test.want)
		}
	}
	if file.Count != 8 || file.Ratio != 0.5 || file.Fault[1].Size != 3 {
		t.Errorf("count %d, ratio %v, size %v, want 8, 0.5 and 3", file.Count, file.Ratio, file.Fault[1].Size)
	}
	for key, want := range map[string]int{
		"length": 1, "ratio": 4, "servers": 6, "servers.every": 7, "fault[0]": 9, "fault[0].at": 11, "fault[1].size": 15,
		"fault[1].absent": 13, "servers.absent.deeper": 6, "absent": 0, "": 0,
	} {
		if got := index.Line(key); got != want {
			t.Errorf("line %d of %q, want %d", got, key, want)
		}
	}
}

func TestDecode_malformed(t *testing.T) {
	const unit = "it needs a number and a unit (ms, s, m)"
	for _, test := range []struct {
		name, old, text string
		line            int
		key, want       string
	}{
		{"unknown key", `count = 8`, `cuont = 8`, 3, "cuont", "unknown key"},
		{"unknown key of a table", `every = "1m"`, `evry = "1m"`, 7, "servers.evry", "unknown key"},
		{"unknown table", `[servers]`, `[sirvers]`, 6, "sirvers", "unknown key"},
		{"no unit", `length = "5s"`, `length = "5"`, 1, "length", unit},
		{"wrong unit", `every = "1m"`, `every = "1 kg"`, 7, "servers.every", unit},
		{"bare number", `length = "5s"`, `length = 5`, 1, "length", unit},
		{"bare number of a pointer", `grace = "250ms"`, `grace = 250`, 2, "grace", unit},
		{"bare number of a table", `every = "1m"`, `every = 60`, 7, "servers.every", unit},
		{"bare number of an array of tables", `size = 3`, `at = 3`, 15, "fault[1].at", unit},
		{"wrong type", `count = 8`, `count = "eight"`, 3, "count", ""},
		{"not TOML", `count = 8`, `count = `, 3, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validFile, test.old, test.text, 1)
			_, err := Decode("bad.toml", []byte(text), &testFile{})
			var fileErr *Error
			if !errors.As(err, &fileErr) {
				t.Fatalf("error %v, want type *Error", err)
			}
			if fileErr.File != "bad.toml" || fileErr.Line != test.line || fileErr.Key != test.key {
				t.Errorf("file %q, line %d, key %q, want line %d and key %q", fileErr.File, fileErr.Line, fileErr.Key,
					test.line, test.key)
			}
			if !strings.Contains(fileErr.Text, test.want) {
				t.Errorf("text %q, want %q in it", fileErr.Text, test.want)
			}
		})
	}
}

func TestError_string(t *testing.T) {
	for _, test := range []struct {
		err  Error
		want string
	}{
		{Error{File: "a.toml", Line: 3, Key: "size", Text: "too big"}, "a.toml:3: size: too big"},
		{Error{File: "a.toml", Key: "size", Text: "too big"}, "a.toml: size: too big"},
		{Error{File: "a.toml", Line: 3, Text: "too big"}, "a.toml:3: too big"},
		{Error{File: "a.toml", Text: "too big"}, "a.toml: too big"},
	} {
		if got := test.err.Error(); got != test.want {
			t.Errorf("%q, want %q", got, test.want)
		}
	}
}

func TestDuration_roundTrip(t *testing.T) {
	type file struct {
		Wait Duration `toml:"wait"`
	}
	written, err := toml.Marshal(file{Wait: Duration(1500 * time.Millisecond)})
	if err != nil {
		t.Fatal(err)
	}
	var read file
	if _, err := Decode("w.toml", written, &read); err != nil {
		t.Fatal(err)
	}
	if want := 1500 * time.Millisecond; time.Duration(read.Wait) != want {
		t.Errorf("%v, want %v", time.Duration(read.Wait), want)
	}
}
