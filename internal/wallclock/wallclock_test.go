// Package wallclock contains only a test. The test lists every expression with which the programs read the wall clock
// or get a time without a monotonic part, and why a step of the clock does no harm there.
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

// moduleRoot is the root folder of the module.
const moduleRoot = "../.."

// sourceFolders contain the source of the programs. The lab is not one of these programs, and is in skippedFolder.
var sourceFolders = []string{"balance", "cmd", "internal"}

const skippedFolder = "internal/lab"

// wallClockMethods are the methods that read the wall clock part of a time.Time or remove its monotonic part. They are
// matched only by name, so that methods of other types are found as well.
var wallClockMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "Truncate", "Format",
	"AppendFormat", "Date", "AddDate", "UTC", "Local", "In", "ModTime", "Now", "Gettimeofday", "ClockGettime"}

// wallTimeFunctions are the functions of package time that return a time without a monotonic part. time.Now returns a
// time with one. A use of its wall clock part is found through wallClockMethods.
var wallTimeFunctions = []string{"Unix", "UnixMilli", "UnixMicro", "Date", "Parse", "ParseInLocation"}

// clockRead is an expression in a file that reads the wall clock.
type clockRead struct{ file, expression string }

// justification is the number of uses of an expression in a file, and why a step of the clock does no harm there.
type justification struct {
	count  int
	reason string
}

// justifiedReads lists all reads of the wall clock, by file and expression.
var justifiedReads = map[string]map[string]justification{
	"cmd/marblelane/members_text.go": {
		"d.Round": {1, "a duration"},
	},
	"cmd/marblelane/members_watch.go": {
		"delay.Round":                     {1, "a duration"},
		"time.UnixMilli":                  {1, "only shown to people"},
		"time.UnixMilli(r.UnixMS).Format": {1, "only shown to people"},
	},
	"cmd/marblelane/register.go": {
		"faults.Now":             {1, "a server's start, see balance/wallclock.go; the agent raises a smaller one"},
		"faults.Now().UnixMilli": {1, "as above"},
	},
	"cmd/marblelane/registry_restore.go": {
		"cfg.Faults.Now": {1, "the epoch of a restored history, raised above the former epoch regardless of the clock"},
	},
	"cmd/marblelane/state_verify.go": {
		"s.Written.Format": {1, "only shown to people"},
	},
	"internal/audit/count_bounds.go": {
		"b.query.Now": {1, "a field: the leader's monotonic clock"},
	},
	"internal/audit/query.go": {
		"q.Now": {2, "a field: the leader's monotonic clock"},
	},
	"internal/fault/fault.go": {
		"info.ModTime":        {1, "only compared for equality, and files are also compared by inode"},
		"in.readInfo.ModTime": {1, "only compared for equality, and files are also compared by inode"},
		"time.Now().Round":    {1, "the clock that the lab steps; its callers are listed"},
	},
	"internal/membership/config.go": {
		"time.Now().UnixMilli": {1, "a member's start; raised above earlier starts of the same name, see docs/membership.md"},
	},
	"internal/membership/report.go": {
		"time.Now().UnixMilli": {1, "the time of a report, only shown to people"},
	},
	"internal/registry/node.go": {
		"cfg.Faults.Now": {1, "times of transitions, shown to people, and `remember`, see docs/routes.md"},
	},
	"internal/registry/node_lead.go": {
		"n.cfg.Faults.Now": {1, "the epoch of the first history"},
	},
	"internal/registry/reader_revisions.go": {
		"n.cfg.Faults.Now": {1, "the epoch of a new history, raised above the former epoch regardless of the clock"},
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
		"time.Date": {1, "a constant; epochs are raised above the former one"},
	},
	"internal/registry/supervisor.go": {
		"time.Since(closed).Round": {1, "a duration"},
	},
	"internal/route/document.go": {
		"text.Truncate": {1, "a buffer"},
	},
	"internal/routeclient/client.go": {
		"cfg.Now":   {2, "the field is set here"},
		"c.cfg.Now": {1, "time.Now except in tests; its monotonic part is used"},
	},
	"internal/routeclient/reporter.go": {
		"r.client.cfg.Now": {1, "time.Now except in tests; its monotonic part is used"},
	},
	"internal/sidecar/clock/step_detector.go": {
		"t.UnixMicro": {1, "compared with the monotonic clock to detect steps, and the start of the sidecar's clock, which is monotonic from then on"},
	},
	"internal/sidecar/netcall/conn.go": {
		"time.Unix": {1, "a constant: a deadline in the distant past, regardless of the clock"},
	},
	"internal/sidecar/routing/router.go": {
		"cfg.Faults.Now":            {1, "a process's start; raised above earlier starts of the same name, see docs/routes.md"},
		"cfg.Faults.Now().UnixNano": {1, "as above"},
	},
	"internal/sidecar/sidecar.go": {
		"cfg.Faults.Now":             {1, "a member's start, as internal/membership/config.go"},
		"cfg.Faults.Now().UnixMilli": {1, "as above"},
	},
	"internal/snapshot/crashcheck/crashcheck.go": {
		"time.UnixMilli": {1, "only shown to people"},
		"time.UnixMilli(1_700_000_000_000 + int64(number)).UTC": {1, "a constant"},
	},
	"internal/snapshot/format.go": {
		"s.Written.UnixMilli":                {1, "the time of the save; a negative age counts as unknown, see docs/recovery.md"},
		"time.UnixMilli":                     {1, "as above"},
		"time.UnixMilli(head.WrittenMS).UTC": {1, "as above"},
	},
	"internal/snapshot/snapshot.go": {
		"s.Written.UnixMilli": {1, "only checked to be in range"},
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
			t.Errorf("%s: %s reads the wall clock and is not listed with a reason why a step does no harm",
				read.file, read.expression)
		case listed.count != found[read]:
			t.Errorf("%s: %s found %d times, listed %d times", read.file, read.expression, found[read], listed.count)
		}
	}
	for file, expressions := range justifiedReads {
		for expression, listed := range expressions {
			if found[clockRead{file, expression}] == 0 {
				t.Errorf("%s: %s is listed but not found", file, expression)
			}
			if listed.reason == "" {
				t.Errorf("%s: %s is listed without a reason", file, expression)
			}
		}
	}
}

// countReads adds the reads of the wall clock in a folder and its subfolders to found. It skips tests.
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

// sortedReads returns the reads found, sorted by file and expression.
func sortedReads(found map[clockRead]int) []clockRead {
	return slices.SortedFunc(maps.Keys(found), func(a, b clockRead) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.expression, b.expression))
	})
}

// fileReads returns the expressions of a file that read the wall clock, and its tagged fields of type time.Time. Tagged
// fields transfer a time into or out of the process.
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

// readsWallClock reports whether a selector names one of wallTimeFunctions or wallClockMethods.
func readsWallClock(selector *ast.SelectorExpr) bool {
	if operand, ok := selector.X.(*ast.Ident); ok && operand.Name == "time" {
		return slices.Contains(wallTimeFunctions, selector.Sel.Name)
	}
	return slices.Contains(wallClockMethods, selector.Sel.Name)
}

// sourceText returns the source text of a node.
func sourceText(fileSet *token.FileSet, node ast.Node) string {
	var text strings.Builder
	if err := printer.Fprint(&text, fileSet, node); err != nil {
		return err.Error()
	}
	return text.String()
}
