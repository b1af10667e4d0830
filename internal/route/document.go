package route

// This file decodes documents into tables, and encodes tables as documents.

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Newest is the newest schema that this program reads and writes.
const Newest = 2

// Read decodes a document as a reader of schema version. It accepts documents of that schema and of older ones. It
// accepts a document of a newer schema if the document's "reads" field allows readers of this version, and then skips
// unknown fields. Otherwise it returns an UnreadableError or a FieldError. A document is accepted as a whole or not at
// all.
func Read(version int, text []byte) (*Table, error) {
	if version < 1 || version > Newest {
		return nil, fmt.Errorf("read document: schema %d is not supported, want 1 to %d", version, Newest)
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

// Write encodes a table in schema version, sorted by tenant, so that equivalent tables give the same bytes. The error
// is an UnwritableError if the schema cannot express the table, and a FieldError if the table itself is invalid.
func Write(t *Table, version int) ([]byte, error) { return write(t, version, DeclaredFields()) }

func write(t *Table, version int, fields []Field) ([]byte, error) {
	if version < 1 || version > Newest {
		return nil, fmt.Errorf("write document: schema %d is not supported, want 1 to %d", version, Newest)
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
		return nil, fmt.Errorf("write document of schema %d: %w", version, err)
	}
	if text.Truncate(text.Len() - 1); text.Len() > MaxDocumentBytes { // without the newline
		return nil, fieldErrorf("", "it has %d bytes, more than %d", text.Len(), MaxDocumentBytes)
	}
	return text.Bytes(), nil
}

// sortedTable returns a copy of a table with its routes sorted by tenant, and with 0 for a share of -0.
func sortedTable(t *Table) *Table {
	out := &Table{Rev: t.Rev, Closed: t.Closed, Routes: slices.Clone(t.Routes)}
	slices.SortStableFunc(out.Routes, func(a, b Route) int { return cmp.Compare(a.Tenant, b.Tenant) })
	for i := range out.Routes {
		if out.Routes[i].Share == 0 {
			out.Routes[i].Share = 0 // replaces -0 by 0
		}
	}
	return out
}

// oldestReader returns the oldest schema whose readers interpret a document correctly.
func oldestReader(doc any, fields []Field) int {
	reads := 1
	for _, u := range usedFields(doc) {
		if f := declarationOf(fields, u.declaredPath); f.Rule == MustUnderstand {
			reads = max(reads, f.Since)
		}
	}
	return reads
}
