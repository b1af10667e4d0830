package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is a scenario that cannot be read or meant.
type Error struct {
	File string
	Line int // 0: not known
	Key  string
	Text string
}

// Error names file, line and key.
func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", at, e.Key, e.Text)
	}
	return at + ": " + e.Text
}

type keyError struct{ key, text string }

// RuleNames lists the rules that every run is held to.
func RuleNames() []string {
	return []string{"one-answer", "unsafe-once", "one-at-a-time", "most-attempts", "no-stray", "drain", "cold", "body", "limits",
		"linearizable", "watchers-agree"}
}

// Rule tells whether there is a rule of this name.
func Rule(name string) bool { return slices.Contains(RuleNames(), name) }

// FaultKinds lists the kinds of faults.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultForms())) }

// Parse reads a scenario; name stands for its file in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, decodeError(name, text, err)
	}
	s.Name = strings.TrimSuffix(filepath.Base(name), ".toml")
	s.defaults()
	if e := s.check(); e != nil {
		return nil, &Error{File: name, Line: lines(text).find(e.key), Key: e.key, Text: e.text}
	}
	return s, nil
}

func decodeError(name string, text []byte, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return &Error{File: name, Line: line, Key: strings.Join(first.Key(), "."), Text: "there is no such key"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		if key == "" {
			key = lines(text).at(line)
		}
		return &Error{File: name, Line: line, Key: key, Text: strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return &Error{File: name, Text: err.Error()}
}

// index tells in which line a key stands.
type index map[string]int

// lines walks a file; what it cannot read, the decoder has reported.
func lines(text []byte) index {
	at := index{}
	count := map[string]int{}
	var table string
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			parts = append(parts, string(n.Data))
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table = key
			at[table] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, count[key])
			count[key]++
			at[table] = line
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			at[key] = line
		}
	}
	return at
}

// find is the line of a key, or of what it would stand in.
func (at index) find(key string) int {
	for key != "" {
		if line, ok := at[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// at is the key in a line.
func (at index) at(line int) string {
	for key, l := range at {
		if l == line {
			return key
		}
	}
	return ""
}
