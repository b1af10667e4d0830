// Package wallclock holds no code. Its test lists every expression by which the programs read the wall clock, or get a
// time without a monotonic part, and why a step of the clock does no harm there.
package wallclock

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// moduleRoot is the folder of the module.
const moduleRoot = "../.."

// sourceFolders hold the source of the programs. The lab, which is none of them, is in skippedFolder.
var sourceFolders = []string{"balance", "cmd", "internal"}

const skippedFolder = "internal/lab"

// wallClockMethods read the wall clock part of a time.Time, or remove its monotonic part. They are matched by name alone, so that
// wallClockMethods of other types are found as well.
var wallClockMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "Truncate", "Format", "AppendFormat",
	"Date", "AddDate", "UTC", "Local", "In", "ModTime", "Now", "Gettimeofday", "ClockGettime"}

// wallTimeFunctions are those of package time that return a time without a monotonic part. time.Now returns one with it; a use
// of its wall clock part is found by one of the methods.
var wallTimeFunctions = []string{"Unix", "UnixMilli", "UnixMicro", "Date", "Parse", "ParseInLocation"}

// clockRead is an expression of a file that reads the wall clock.
type clockRead struct{ file, expression string }

// justification is how often an expression stands in a file, and why a step of the clock does no harm there.
type justification struct {
	count  int
	reason string
}

// justifiedReads are all reads of the wall clock, by file and expression.
var justifiedReads = map[string]map[string]justification{
	"cmd/marblelane/members_text.go": {
		"d.Round": {1, "a duration"},
	},
	"cmd/marblelane/members_watch.go": {
		"again.Round":                     {1, "a duration"},
		"time.UnixMilli":                  {1, "is shown to people alone"},
		"time.UnixMilli(r.UnixMS).Format": {1, "is shown to people alone"},
	},
	"cmd/marblelane/register.go": {
		"faults.Now":             {1, "a server's start, see balance/wallclock.go; the agent raises one that is smaller"},
		"faults.Now().UnixMilli": {1, "as above"},
	},
	"cmd/marblelane/registry_restore.go": {
		"cfg.Faults.Now": {1, "the epoch of a restored history, above the former one whatever the clock says"},
	},
	"cmd/marblelane/state_verify.go": {
		"s.Written.Format": {1, "is shown to people alone"},
	},
	"internal/audit/count_bounds.go": {
		"b.query.Now": {1, "a field: the leader's monotonic clock"},
	},
	"internal/audit/query.go": {
		"q.Now": {2, "a field: the leader's monotonic clock"},
	},
	"internal/fault/fault.go": {
		"info.ModTime":        {1, "is compared for equality alone, and files are told apart by their inode, too"},
		"in.readInfo.ModTime": {1, "is compared for equality alone, and files are told apart by their inode, too"},
		"time.Now().Round":    {1, "is the clock that the lab steps; who asks for it is listed"},
	},
	"internal/membership/config.go": {
		"time.Now().UnixMilli": {1, "a member's start; one below another of its name is raised, see docs/membership.md"},
	},
	"internal/membership/report.go": {
		"time.Now().UnixMilli": {1, "the time of a report, shown to people alone"},
	},
	"internal/registry/node.go": {
		"cfg.Faults.Now": {1, "times of transitions, for people, and `remember`, see docs/routes.md"},
	},
	"internal/registry/node_lead.go": {
		"n.cfg.Faults.Now": {1, "the epoch of the first history"},
	},
	"internal/registry/reader_revisions.go": {
		"n.cfg.Faults.Now": {1, "the epoch of a new history, above the former one whatever the clock says"},
	},
	"internal/registry/routeleader/leader_clock.go": {
		"since.Truncate": {1, "a duration"},
	},
	"internal/registry/routeleader/tables.go": {
		"age.Round": {1, "a duration"},
	},
	"internal/registry/listserver/server.go": {
		"age.Round": {1, "a duration"},
	},
	"internal/registry/listserver/status.go": {
		"age.Round": {1, "a duration"},
	},
	"internal/registry/state/state.go": {
		"time.Date": {1, "is constant; epochs are raised above the former one"},
	},
	"internal/registry/supervisor.go": {
		"time.Since(closed).Round": {1, "a duration"},
	},
	"internal/route/document.go": {
		"text.Truncate": {1, "a buffer"},
	},
	"internal/routeclient/client.go": {
		"cfg.Now":   {2, "where that is set"},
		"c.cfg.Now": {1, "time.Now but in tests; its monotonic part counts"},
	},
	"internal/routeclient/reporter.go": {
		"r.client.cfg.Now": {1, "time.Now but in tests; its monotonic part counts"},
	},
	"internal/sidecar/clock/step_detector.go": {
		"faults.Now":  {1, "is held against the monotonic clock to notice steps"},
		"t.UnixMicro": {1, "as above; and the begin of the sidecar's clock, monotonic from there on"},
	},
	"internal/sidecar/netcall/conn.go": {
		"time.Unix": {1, "is constant: a deadline that is long past, whatever the clock says"},
	},
	"internal/sidecar/routing/router.go": {
		"cfg.Faults.Now":            {1, "a process's start; one below another of its name is raised, see docs/routes.md"},
		"cfg.Faults.Now().UnixNano": {1, "as above"},
	},
	"internal/sidecar/sidecar.go": {
		"cfg.Faults.Now":             {1, "a member's start, as internal/membership/config.go"},
		"cfg.Faults.Now().UnixMilli": {1, "as above"},
	},
	"internal/snapshot/crashcheck/crashcheck.go": {
		"time.UnixMilli": {1, "is shown to people alone"},
		"time.UnixMilli(1_700_000_000_000 + int64(number)).UTC": {1, "is constant"},
	},
	"internal/snapshot/format.go": {
		"s.Written.UnixMilli":                {1, "the time of writing; an age below 0 is unknown, see docs/recovery.md"},
		"time.UnixMilli":                     {1, "as above"},
		"time.UnixMilli(head.WrittenMS).UTC": {1, "as above"},
	},
	"internal/snapshot/snapshot.go": {
		"s.Written.UnixMilli": {1, "is checked to be a time that can be"},
	},
}

func TestWallClockReads(t *testing.T) {
	found := map[clockRead]int{}
	for _, folder := range sourceFolders {
		if err := countReads(filepath.Join(moduleRoot, folder), found); err != nil {
			t.Fatal(err)
		}
	}
	for _, read := range sortedReads(found) {
		switch listed := justifiedReads[read.file][read.expression]; {
		case listed.count == 0:
			t.Errorf("%s: %s reads the wall clock, and is not listed with the reason why a step does no harm",
				read.file, read.expression)
		case listed.count != found[read]:
			t.Errorf("%s: %s is found %d times, listed %d times", read.file, read.expression, found[read], listed.count)
		}
	}
	for file, expressions := range justifiedReads {
		for expression, listed := range expressions {
			if found[clockRead{file, expression}] == 0 {
				t.Errorf("%s: %s is listed, and not found any more", file, expression)
			}
			if listed.reason == "" {
				t.Errorf("%s: %s is listed without a reason", file, expression)
			}
		}
	}
}

// countReads adds the reads of the wall clock in a folder and those below it, tests excepted.
func countReads(folder string, found map[clockRead]int) error {
	return filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, moduleRoot+string(filepath.Separator)))
		if entry.IsDir() {
			if name == skippedFolder || entry.Name() == "testdata" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		expressions, err := fileReads(path)
		for _, expression := range expressions {
			found[clockRead{name, expression}]++
		}
		return err
	})
}

// sortedReads has the reads that were found, by file and expression.
func sortedReads(found map[clockRead]int) []clockRead {
	return slices.SortedFunc(maps.Keys(found), func(a, b clockRead) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.expression, b.expression))
	})
}

// fileReads returns the expressions of a file that read the wall clock, and its tagged fields of type time.Time, which
// carry a time into or out of the process.
func fileReads(path string) ([]string, error) {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var expressions []string
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.SelectorExpr:
			if readsWallClock(node) {
				expressions = append(expressions, sourceText(fileSet, node))
			}
		case *ast.Field:
			if node.Tag != nil && sourceText(fileSet, node.Type) == "time.Time" {
				expressions = append(expressions, fmt.Sprint("field ", node.Names[0].Name))
			}
		}
		return true
	})
	return expressions, nil
}

// readsWallClock reports whether a selector names one of timeFunctions or methods.
func readsWallClock(selector *ast.SelectorExpr) bool {
	if operand, ok := selector.X.(*ast.Ident); ok && operand.Name == "time" {
		return slices.Contains(wallTimeFunctions, selector.Sel.Name)
	}
	return slices.Contains(wallClockMethods, selector.Sel.Name)
}

// sourceText is a node as it stands in the source.
func sourceText(fileSet *token.FileSet, node ast.Node) string {
	var text strings.Builder
	if err := printer.Fprint(&text, fileSet, node); err != nil {
		return err.Error()
	}
	return text.String()
}
