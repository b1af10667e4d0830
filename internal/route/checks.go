package route

// The readers of all schemas share the checks of this file. Like the parser, the checks are frozen.

import (
	"fmt"
	"unicode/utf8"
)

// Bounds of a document. They are part of each schema: programs in the fleet reject documents that exceed them, so a
// bound may only be raised in a new schema.
const (
	MaxDocumentBytes = 1 << 20
	MaxEntries       = 10000 // maximum length of each list
	MaxNameBytes     = 200   // maximum name length of a tenant, rollout, class, model, zone or uid
	MaxNoteBytes     = 1000  // maximum length of Route.Note
	maxShownBytes    = 60    // maximum length of an invalid value in an error text
)

// checkName checks the length and the encoding of a name. An empty name is valid.
func checkName(path, name string) error {
	if len(name) > MaxNameBytes {
		return fieldErrorf(path, "%q has %d bytes, more than %d", truncate(name), len(name), MaxNameBytes)
	}
	if !utf8.ValidString(name) {
		return fieldErrorf(path, "%q is not UTF-8", truncate(name))
	}
	return nil
}

// checkNames checks a list of names. An empty name is invalid.
func checkNames(path string, names []string) error {
	if len(names) > MaxEntries {
		return fieldErrorf(path, "it has more than %d entries", MaxEntries)
	}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if name == "" {
			return fieldErrorf(at, "it is empty")
		}
		if err := checkName(at, name); err != nil {
			return err
		}
	}
	return nil
}

// checkRevisions checks the revisions of a table: closed is below rev, except in the initial table, where all is zero.
// It also checks the number of routes.
func checkRevisions(rev, closed int64, routes int) error {
	switch {
	case rev < 0:
		return fieldErrorf("rev", "%d is negative", rev)
	case closed < 0:
		return fieldErrorf("closed", "%d is negative", closed)
	case rev == 0 && closed == 0 && routes == 0:
		return nil
	case closed >= rev:
		return fieldErrorf("closed", "%d is not below rev, %d", closed, rev)
	case routes > MaxEntries:
		return fieldErrorf("routes", "it has more than %d entries", MaxEntries)
	}
	return nil
}

// checkSubset checks the lists of a subset.
func checkSubset(path string, model, zone, uid []string, groups []int) error {
	if err := checkNames(path+".model", model); err != nil {
		return err
	}
	if err := checkNames(path+".az", zone); err != nil {
		return err
	}
	if len(groups) > MaxEntries {
		return fieldErrorf(path+".pod_group", "it has more than %d entries", MaxEntries)
	}
	return checkNames(path+".uid", uid)
}

// checkFraction checks that a fraction is between 0 and 1; NaN is not.
func checkFraction(path string, fraction float64) error {
	if !(fraction >= 0 && fraction <= 1) {
		return fieldErrorf(path, "%v is not between 0 and 1", fraction)
	}
	return nil
}
