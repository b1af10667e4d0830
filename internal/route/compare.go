package route

import "fmt"

// Verdict is the result of comparing how readers of the newest schema and of an older one interpret a table: whether a
// balancer makes the same decisions with both.
type Verdict int

// Verdicts, from best to worst.
const (
	SameReading        Verdict = iota // same decisions, with the document in the newest schema
	SameWhenDowngraded                // same decisions, if the document is written in the older schema
	DifferentReading                  // the reader of the older schema would decide differently
	NoReading                         // no document can be written: the table or the schema is invalid
)

// String describes the verdict.
func (v Verdict) String() string {
	switch v {
	case SameReading:
		return "read alike"
	case SameWhenDowngraded:
		return "read alike after writing it down to the older schema"
	case DifferentReading:
		return "read otherwise"
	case NoReading:
		return "not read"
	}
	return fmt.Sprintf("Verdict(%d)", int(v))
}

// Finding is one reason why a reader of an older schema interprets a table differently. HTTP rejections contain
// findings as JSON with the Go field names as keys, so the field names must not change.
type Finding struct {
	Path   string // path in the document, whose routes are sorted by tenant
	Field  string // last element of Path
	Effect string // description of the difference
}

// Compare reports how a reader of schema older interprets a table, with the reasons if the verdict is DifferentReading
// or NoReading. The classes of a route count as a difference unless its canary gets no requests. Only sidecars know
// which classes exist, so even a list of all classes is assumed to omit some.
func Compare(t *Table, older int) (Verdict, []Finding) { return compare(t, older, DeclaredFields()) }

func compare(t *Table, older int, fields []Field) (Verdict, []Finding) {
	if older < 1 {
		return NoReading, []Finding{{Path: "schema", Field: "schema", Effect: fmt.Sprintf("there is no schema %d", older)}}
	}
	t = sortedTable(t)
	doc := newDocument2(t)
	if err := doc.check(); err != nil {
		return NoReading, []Finding{errorFinding(err)}
	}
	lost, unused := lostFields(t, doc, older, fields)
	if len(lost) > 0 {
		return DifferentReading, lost
	}
	verdict, version := SameReading, Newest
	if unused > 0 {
		verdict, version = SameWhenDowngraded, older
	}
	if _, err := write(t, version, fields); err != nil { // the document is too large
		return NoReading, []Finding{errorFinding(err)}
	}
	return verdict, nil
}

// ChooseSchema chooses the schema in which to write a table for a process that reads the given schemas, and returns the
// verdict for that process. If no schema gives the same decisions, the version is 0, the table must not be sent, and
// the findings are those of the schema with the best verdict.
func ChooseSchema(t *Table, reads []int) (version int, verdict Verdict, findings []Finding) {
	best, verdict := 0, NoReading
	findings = []Finding{{Path: "schema", Field: "schema", Effect: "the process names no schema that it reads"}}
	for i, older := range reads {
		older = min(older, Newest)
		if v, found := Compare(t, older); i == 0 || v < verdict || v == verdict && older > best {
			best, verdict, findings = older, v, found
		}
	}
	switch verdict {
	case SameReading:
		return Newest, verdict, nil
	case SameWhenDowngraded:
		return best, verdict, nil
	}
	return 0, verdict, findings
}
