package registry

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"marblelane/internal/fault"
)

func TestFreshness(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	var f freshness
	for _, c := range []struct {
		polled int // time of a poll in seconds; 0: no poll
		rev    int64
		has    int64
		want   int
	}{
		{0, 0, 5, 0},
		{10, 5, 4, 0},
		{11, 6, 4, 0},  // the first polled revision is kept beside the newer one
		{12, 9, 5, 10}, // the first is applied
		{0, 0, 8, 10},
		{13, 20, 9, 12}, // the revision that was newest then is applied
		{14, 20, 20, 14},
		{0, 0, 30, 14}, // a revision above all polled ones proves nothing newer
	} {
		if c.polled > 0 {
			f.observeLeader(at(c.polled), c.rev)
		}
		if got := f.completeSince(c.has); c.want == 0 && !got.IsZero() || c.want > 0 && !got.Equal(at(c.want)) {
			t.Fatalf("%+v: %v", c, got)
		}
	}
	if f.observeLeadership(at(12)); !f.completeSince(30).Equal(at(14)) {
		t.Error("an earlier confirmation moved the time back")
	}
	if f.observeLeadership(at(15)); !f.completeSince(30).Equal(at(15)) {
		t.Error("a confirmed leader did not advance the time")
	}
}

// The service reads the wall clock only through the clock of its fault injector. Any other read would make the lab's
// copy-clock scenario meaningless, as the clock steps that it injects would not reach it.
func TestWallClock_singleReader(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	wall := regexp.MustCompile(`\.Unix|\.Round\(0\)|\.Format\(|NextEpoch\(time\.`)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if found := wall.Find(text); found != nil {
			t.Errorf("%s reads the wall clock: %s", name, found)
		}
	}
}

func TestLeader_stepsDownOnSlowDisk(t *testing.T) {
	files := map[string]string{}
	all := cluster(t, 3, func(c *Config) {
		files[c.Name] = filepath.Join(t.TempDir(), "faults.toml")
		var err error
		if c.Faults, err = fault.Open(files[c.Name]); err != nil {
			t.Fatal(err)
		}
		c.SlowWriteThreshold = 100 * time.Millisecond
	})
	old := leader(t, all)
	put(t, old, "s1", 1, 0)
	if err := fault.NewConfig(0, 150*time.Millisecond, "").Write(files[old.cfg.Name]); err != nil {
		t.Fatal(err)
	}
	for i := int64(0); i < slowWritesToYield; i++ {
		put(t, old, "s1", 2+i, 0)
	}
	var next *testReplica
	until(t, "another leader", func() bool { next = leader(t, all); return next != old })
	put(t, next, "s2", 1, 0)
	if st := old.node.Server().Status(); st.DiskMS < 100 {
		t.Errorf("the replica with the slow disk reports writes of %v ms", st.DiskMS)
	}
}
