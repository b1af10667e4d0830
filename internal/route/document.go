package route

// This file reads and writes documents.

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Newest is the newest schema that this program reads and writes.
const Newest = 2

// Read reads a document as a reader of a schema does. It accepts documents of its own schema and of older ones, and newer
// ones that say that it reads them the same; fields that it does not know are skipped then. Anything else is an
// UnreadableError or a FieldError, and never is a part of a document accepted.
func Read(version int, text []byte) (*Table, error) {
	if version < 1 || version > Newest {
		return nil, fmt.Errorf("there is no reader of schema %d, only of 1 to %d", version, Newest)
	}
	var head struct {
		Schema int `json:"schema"`
		Reads  int `json:"reads"`
	}
	if err := parseDocument(text, &head, true); err != nil {
		return nil, err
	}
	switch {
	case head.Schema < 1:
		return nil, fieldErrorf("schema", "%d is below 1", head.Schema)
	case head.Reads < 1 || head.Reads > head.Schema:
		return nil, fieldErrorf("reads", "%d is not between 1 and schema, %d", head.Reads, head.Schema)
	case head.Schema > version && head.Reads > version:
		return nil, UnreadableError{Schema: head.Schema, Reads: head.Reads}
	}
	newer := head.Schema > version
	if min(head.Schema, version) == 1 {
		return readSchema1(text, newer)
	}
	return readSchema2(text, newer)
}

// Write writes a table in a schema, sorted by tenant: of tables that mean the same it writes the same bytes. The error is
// an UnwritableError where the schema cannot express the table, and a FieldError where the table itself is invalid.
func Write(t *Table, version int) ([]byte, error) { return write(t, version, DeclaredFields()) }

func write(t *Table, version int, fields []Field) ([]byte, error) {
	if version < 1 || version > Newest {
		return nil, fmt.Errorf("schema %d cannot be written, only 1 to %d", version, Newest)
	}
	t = sortedTable(t)
	complete := newDocument2(t)
	if err := complete.check(); err != nil {
		return nil, err
	}
	if lost, _ := lostFields(t, complete, version, fields); len(lost) > 0 {
		return nil, UnwritableError{Version: version, Fields: lost}
	}
	var doc any = complete
	if version == 1 {
		d := newDocument1(t)
		d.Reads, doc = oldestReader(d, fields), d
	} else {
		complete.Reads = oldestReader(complete, fields)
	}
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(doc); err != nil {
		return nil, fmt.Errorf("writing schema %d: %w", version, err)
	}
	if text.Truncate(text.Len() - 1); text.Len() > MaxDocumentBytes { // without the newline
		return nil, fieldErrorf("", "it has %d bytes, more than %d", text.Len(), MaxDocumentBytes)
	}
	return text.Bytes(), nil
}

func sortedTable(t *Table) *Table {
	out := &Table{Rev: t.Rev, Closed: t.Closed, Routes: slices.Clone(t.Routes)}
	slices.SortStableFunc(out.Routes, func(a, b Route) int { return cmp.Compare(a.Tenant, b.Tenant) })
	for i := range out.Routes {
		if out.Routes[i].Share == 0 {
			out.Routes[i].Share = 0 // makes 0 of -0
		}
	}
	return out
}

// oldestReader is the oldest schema whose readers read a document the same.
func oldestReader(doc any, fields []Field) int {
	reads := 1
	for _, u := range usedFields(doc) {
		if f := declarationOf(fields, u.declaredPath); f.Rule == MustUnderstand {
			reads = max(reads, f.Since)
		}
	}
	return reads
}
