package audit

import (
	"fmt"

	"marblelane/internal/route"
)

// Bounds of the fields of a report.
const (
	maxTextBytes = 256
	maxSchemas   = 64
	maxCounts    = 1 << 14 // 256 revisions, base and canary, 32 tenants
	maxStarted   = 1 << 48 // attempts in one count, so that the sum of a report's counts does not overflow
)

// ValidateReport returns an error for the first field of a report that is out of its bound. Tracker.Report ignores an
// invalid report.
func ValidateReport(r *route.Report) error {
	switch {
	case r.Name == "" || len(r.Name) > maxTextBytes:
		return fmt.Errorf("report: name has %d bytes, it has 1 to %d", len(r.Name), maxTextBytes)
	case r.Seq < 1:
		return fmt.Errorf("report of %s: seq is %d, it counts from 1", r.Name, r.Seq)
	case r.AcknowledgedRev < 0:
		return fmt.Errorf("report of %s: have is %d, it is not negative", r.Name, r.AcknowledgedRev)
	case len(r.Version) > maxTextBytes || len(r.Config) > maxTextBytes:
		return fmt.Errorf("report of %s: version and config have at most %d bytes each", r.Name, maxTextBytes)
	case len(r.Schemas) > maxSchemas:
		return fmt.Errorf("report of %s: schemas has %d entries, at most %d", r.Name, len(r.Schemas), maxSchemas)
	case len(r.Counts) > maxCounts:
		return fmt.Errorf("report of %s: counts has %d entries, at most %d", r.Name, len(r.Counts), maxCounts)
	}
	for i, c := range r.Counts {
		if c.Rev < 0 {
			return fmt.Errorf("report of %s: counts[%d].rev is %d, it is not negative", r.Name, i, c.Rev)
		}
		if c.Started < 0 || c.Started > maxStarted {
			return fmt.Errorf("report of %s: counts[%d].begun is %d, it is 0 to %d", r.Name, i, c.Started, int64(maxStarted))
		}
	}
	return nil
}
