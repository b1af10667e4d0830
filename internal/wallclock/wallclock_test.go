// Package wallclock holds no code: its test lists every place at which the programs read the wall clock, or take a time
// that has no monotonic part, and why a step of the clock does no harm there.
package wallclock

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// root is the module's folder.
const root = "../.."

// folders hold what the programs are made of; the lab is none of them, and is skipped.
var folders = []string{"balance", "cmd", "internal"}

const skipped = "internal/lab"

// methods read the wall clock's part of a time, or take the monotonic part away. Some are of other types, too.
var methods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "Truncate", "Format", "AppendFormat",
	"Date", "AddDate", "UTC", "Local", "In", "ModTime", "Now", "Gettimeofday", "ClockGettime"}

// functions of package time give a time without a monotonic part. time.Now does not: what is done with the wall clock's
// part of it is one of the methods.
var functions = []string{"Unix", "UnixMilli", "UnixMicro", "Date", "Parse", "ParseInLocation"}

// read is a place at which the wall clock is read.
type read struct{ file, expression string }

// listed is how often a read is there, and why a step of the clock does no harm.
type listed struct {
	times int
	sound string
}

// reads are all of them, by file and expression.
var reads = map[string]map[string]listed{
	"cmd/marblelane/members.go": {
		"again.Round":                     {1, "a duration"},
		"d.Round":                         {1, "a duration"},
		"time.UnixMilli":                  {1, "is shown to people alone"},
		"time.UnixMilli(r.UnixMS).Format": {1, "is shown to people alone"},
	},
	"cmd/marblelane/register.go": {
		"faults.Now":             {1, "a server's start, see balance/wallclock.go; the agent raises one that is smaller"},
		"faults.Now().UnixMilli": {1, "as above"},
	},
	"cmd/marblelane/registry_state.go": {
		"cfg.Faults.Now": {1, "the epoch of a restored history, above the former one whatever the clock says"},
	},
	"cmd/marblelane/state.go": {
		"s.Written.Format": {1, "is shown to people alone"},
	},
	"internal/audit/ask.go": {
		"k.q.Now": {1, "a field: the leader's monotonic clock"},
		"q.Now":   {2, "a field: the leader's monotonic clock"},
	},
	"internal/fault/fault.go": {
		"info.ModTime":     {1, "is compared for equality alone, and files are told apart by their inode, too"},
		"p.seen.ModTime":   {1, "is compared for equality alone, and files are told apart by their inode, too"},
		"time.Now().Round": {1, "is the clock that the lab steps; who asks for it is listed"},
	},
	"internal/membership/config.go": {
		"time.Now().UnixMilli": {1, "a member's start; one below another of its name is raised, see docs/membership.md"},
	},
	"internal/membership/publish.go": {
		"time.Now().UnixMilli": {1, "the time of a report, shown to people alone"},
	},
	"internal/registry/node.go": {
		"cfg.Faults.Now": {1, "times of transitions, for people, and `remember`, see docs/routes.md"},
	},
	"internal/registry/node_lead.go": {
		"n.cfg.Faults.Now": {1, "the epoch of the first history"},
	},
	"internal/registry/restore_seen.go": {
		"n.cfg.Faults.Now": {1, "the epoch of a new history, above the former one whatever the clock says"},
	},
	"internal/registry/routes.go": {
		"(*fault.Plan)(nil).Now": {1, "as node.go, which replaces it"},
	},
	"internal/registry/routes_lead.go": {
		"since.Truncate": {1, "a duration"},
	},
	"internal/registry/routes_table.go": {
		"age.Round": {1, "a duration"},
	},
	"internal/registry/server.go": {
		"age.Round": {1, "a duration"},
	},
	"internal/registry/server_status.go": {
		"age.Round": {1, "a duration"},
	},
	"internal/registry/state.go": {
		"time.Date": {1, "is constant; epochs are raised above the former one"},
	},
	"internal/registry/supervisor.go": {
		"time.Since(closed).Round": {1, "a duration"},
	},
	"internal/route/fields.go": {
		"text.Truncate": {1, "a buffer"},
	},
	"internal/routeclient/client.go": {
		"cfg.Now":   {2, "where that is set"},
		"s.cfg.Now": {3, "time.Now but in tests; its monotonic part counts"},
	},
	"internal/routeclient/counts.go": {
		"s.cfg.Now": {1, "time.Now but in tests; its monotonic part counts"},
	},
	"internal/routeclient/reporter.go": {
		"r.s.cfg.Now": {1, "time.Now but in tests; its monotonic part counts"},
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
		"time.UnixMilli(1_700_000_000_000 + int64(n)).UTC": {1, "is constant"},
	},
	"internal/snapshot/format.go": {
		"e.In":                                {1, "a field: the section of a file"},
		"s.Written.UnixMilli":                 {1, "the time of writing; an age below 0 is unknown, see docs/recovery.md"},
		"time.UnixMilli":                      {1, "as above"},
		"time.UnixMilli(first.WrittenMS).UTC": {1, "as above"},
	},
	"internal/snapshot/snapshot.go": {
		"s.Written.UnixMilli": {1, "is checked to be a time that can be"},
	},
}

func TestEachReadOfTheWallClockIsListed(t *testing.T) {
	found := map[read]int{}
	for _, folder := range folders {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			name := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
			switch {
			case entry.IsDir() && (name == skipped || entry.Name() == "testdata"):
				return filepath.SkipDir
			case entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
				return nil
			}
			all, err := readsOf(path)
			for _, expression := range all {
				found[read{name, expression}]++
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range sorted(found) {
		switch listed := reads[r.file][r.expression]; {
		case listed.times == 0:
			t.Errorf("%s: %s reads the wall clock, and is not listed with why a step does no harm", r.file, r.expression)
		case listed.times != found[r]:
			t.Errorf("%s: %s is there %d times, listed %d times", r.file, r.expression, found[r], listed.times)
		}
	}
	for file, expressions := range reads {
		for expression, listed := range expressions {
			if found[read{file, expression}] == 0 {
				t.Errorf("%s: %s is listed, and not there any more", file, expression)
			}
			if listed.sound == "" {
				t.Errorf("%s: %s is listed without a reason", file, expression)
			}
		}
	}
}

func sorted(found map[read]int) []read {
	var all []read
	for r := range found {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b read) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.expression, b.expression))
	})
	return all
}

// readsOf gives the expressions of a file that read the wall clock, and the fields that carry a time into or out of the
// process.
func readsOf(path string) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var all []string
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if reading(n) {
				all = append(all, text(files, n))
			}
		case *ast.Field:
			if n.Tag != nil && text(files, n.Type) == "time.Time" {
				all = append(all, fmt.Sprint("field ", n.Names[0].Name))
			}
		}
		return true
	})
	return all, nil
}

// reading reports whether a selector names one of the functions or methods.
func reading(s *ast.SelectorExpr) bool {
	if of, ok := s.X.(*ast.Ident); ok && of.Name == "time" {
		return slices.Contains(functions, s.Sel.Name)
	}
	return slices.Contains(methods, s.Sel.Name)
}

func text(files *token.FileSet, n ast.Node) string {
	var out strings.Builder
	if err := printer.Fprint(&out, files, n); err != nil {
		return err.Error()
	}
	return out.String()
}
