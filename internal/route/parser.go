package route

// This file parses documents, for all schemas.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// parser decodes a document into the structs of a schema. It is stricter than encoding/json, which ignores the case of
// names, uses the last of duplicate names, and accepts null for any value: two programs could interpret such a document
// differently. All frozen readers use the parser, so the set of accepted documents must not change. The golden
// documents in testdata verify this.
type parser struct {
	dec         *json.Decoder
	skipUnknown bool // the document has a newer schema: unknown fields are skipped
	layouts     map[reflect.Type]structLayout
}

// structLayout maps the JSON names of a struct's fields to their indexes. Fields without omitempty or omitzero are
// required.
type structLayout struct {
	index    map[string]int
	required []string
}

// parseDocument decodes text into the struct that into points to. If newer is set, unknown fields are skipped.
func parseDocument(text []byte, into any, newer bool) error {
	switch {
	case len(text) == 0:
		return fieldErrorf("", "it has 0 bytes")
	case len(text) > MaxDocumentBytes:
		return fieldErrorf("", "it has %d bytes, more than %d", len(text), MaxDocumentBytes)
	case !utf8.Valid(text):
		return fieldErrorf("", "it is not UTF-8")
	}
	var document json.RawMessage // rejects text after the document, and too deep nesting
	if err := json.Unmarshal(text, &document); err != nil {
		return FieldError{"", fmt.Sprintf("invalid JSON: %v", err)}
	}
	p := &parser{dec: json.NewDecoder(bytes.NewReader(text)), skipUnknown: newer, layouts: map[reflect.Type]structLayout{}}
	p.dec.UseNumber()
	return p.parseValue("", reflect.ValueOf(into).Elem())
}

func (p *parser) parseValue(path string, v reflect.Value) error {
	tok, err := p.dec.Token()
	if err != nil {
		return fieldErrorf(path, "%v", err)
	}
	switch v.Kind() {
	case reflect.Struct:
		if tok == json.Delim('{') {
			return p.parseObject(path, v)
		}
		return fieldErrorf(path, "%s is not an object", describeToken(tok))
	case reflect.Slice:
		if tok == json.Delim('[') {
			return p.parseList(path, v)
		}
		return fieldErrorf(path, "%s is not a list", describeToken(tok))
	case reflect.String:
		if s, ok := tok.(string); ok {
			v.SetString(s)
			return nil
		}
		return fieldErrorf(path, "%s is not a string", describeToken(tok))
	case reflect.Bool:
		if b, ok := tok.(bool); ok {
			v.SetBool(b)
			return nil
		}
		return fieldErrorf(path, "%s is neither true nor false", describeToken(tok))
	}
	return parseNumber(path, tok, v)
}

func parseNumber(path string, tok json.Token, v reflect.Value) error {
	n, ok := tok.(json.Number)
	if !ok {
		return fieldErrorf(path, "%s is not a number", describeToken(tok))
	}
	if v.Kind() == reflect.Float64 {
		f, err := strconv.ParseFloat(n.String(), 64)
		if err != nil {
			return fieldErrorf(path, "%s is out of range", describeToken(tok))
		}
		v.SetFloat(f + 0) // replaces -0 by 0
		return nil
	}
	i, err := strconv.ParseInt(n.String(), 10, 64)
	if err != nil || v.OverflowInt(i) {
		return fieldErrorf(path, "%s is not a whole number of 64 bits", describeToken(tok))
	}
	v.SetInt(i)
	return nil
}

func (p *parser) parseObject(path string, v reflect.Value) error {
	l := p.layoutOf(v.Type())
	seen := map[string]bool{}
	for p.dec.More() {
		tok, err := p.dec.Token()
		if err != nil {
			return fieldErrorf(path, "%v", err)
		}
		name, _ := tok.(string)
		at := joinPath(path, name)
		if seen[name] {
			return fieldErrorf(at, "the field is duplicated")
		}
		seen[name] = true
		i, known := l.index[name]
		switch {
		case known:
			err = p.parseValue(at, v.Field(i))
		case p.skipUnknown:
			var skipped json.RawMessage
			err = p.dec.Decode(&skipped)
		default:
			err = fieldErrorf(at, "the field is unknown in this schema")
		}
		if err != nil {
			return err
		}
	}
	for _, name := range l.required {
		if !seen[name] {
			return fieldErrorf(joinPath(path, name), "the field is missing")
		}
	}
	_, err := p.dec.Token()
	return err
}

func (p *parser) parseList(path string, v reflect.Value) error {
	for i := 0; p.dec.More(); i++ {
		if i == MaxEntries {
			return fieldErrorf(path, "it has more than %d entries", MaxEntries)
		}
		v.Grow(1)
		v.SetLen(i + 1)
		if err := p.parseValue(fmt.Sprintf("%s[%d]", path, i), v.Index(i)); err != nil {
			return err
		}
	}
	_, err := p.dec.Token()
	return err
}

func (p *parser) layoutOf(t reflect.Type) structLayout {
	if l, ok := p.layouts[t]; ok {
		return l
	}
	l := structLayout{index: map[string]int{}}
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		l.index[name] = i
		if options == "" {
			l.required = append(l.required, name)
		}
	}
	p.layouts[t] = l
	return l
}

// joinPath appends a field name to a path. A name with other characters than those of declared fields is quoted.
func joinPath(path, name string) string {
	if name = truncate(name); strings.ContainsFunc(name, func(c rune) bool { return c != '_' && (c < 'a' || c > 'z') }) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeToken describes a JSON value in an error text.
func describeToken(tok json.Token) string {
	switch v := tok.(type) {
	case nil:
		return "null"
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return strconv.Quote(truncate(v))
	}
	return truncate(fmt.Sprint(tok))
}
