package route

import "fmt"

// Verdict says how a reader of an older schema reads a table: whether a balancer decides the same with the older reading.
type Verdict int

// The verdicts, the best first.
const (
	SameReading        Verdict = iota // it decides the same with the document of the newest schema
	SameWhenDowngraded                // it decides the same once the table is written in its schema
	DifferentReading                  // it would decide differently
	NoReading                         // no document can be written for it
)

// String is the verdict in words.
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
	return fmt.Sprintf("verdict %d", int(v))
}

// Finding is one reason why a reader of an older schema reads a table differently. Rejections over HTTP have it as JSON
// with the names of its fields, which therefore stay as they are.
type Finding struct {
	Path   string // in the document, whose routes are sorted by tenant
	Field  string
	Effect string // in words
}

// Compare says how a reader of an older schema reads a table, and why where it reads it differently or not at all. A
// route's classes count as a difference unless no requests go to its canary: only sidecars know which classes there are,
// so even a list of all classes is taken to leave one out.
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
	if _, err := write(t, version, fields); err != nil { // too large
		return NoReading, []Finding{errorFinding(err)}
	}
	return verdict, nil
}

// ChooseSchema chooses the schema in which to write a table for a process that reads some schemas, with the verdict on how
// the process reads it. Where none gives the same decisions the version is 0, and the table must not be sent; the findings
// are those of the schema that comes closest.
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
