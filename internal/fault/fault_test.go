package fault

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestPlan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "faults.toml")
	p, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]*Plan{"nil": nil, "no file": p} {
		undone := errors.New("not called")
		if unheard, err := p.Disk(func(undo error) error { undone = undo; return nil }); unheard || err != nil || undone != nil {
			t.Errorf("%s: plants unheard %v, %v, undo %v", name, unheard, err, undone)
		}
		if off := time.Until(p.Now()); off > time.Second || off < -time.Second {
			t.Errorf("%s: the clock is off by %v", name, off)
		}
	}
	for _, c := range []struct {
		set           Set
		undone        bool
		unheard, fail bool
		clock         time.Duration
	}{
		{NewSet(-time.Hour, 0, SyncKept), false, false, true, -time.Hour},
		{NewSet(time.Hour, time.Millisecond, SyncLost), true, false, true, time.Hour},
		{NewSet(0, 0, SyncUnheard), true, true, true, 0},
		{Set{Calls: map[string]string{CallWrite: "ENOSPC"}}, true, false, true, 0},
		{Set{}, false, false, false, 0},
	} {
		if err := c.set.Write(path); err != nil {
			t.Fatal(err)
		}
		var undo error
		began := time.Now()
		unheard, err := p.Disk(func(u error) error { undo = u; return u })
		if (undo != nil) != c.undone || unheard != c.unheard || (err != nil) != c.fail || time.Since(began) < time.Duration(c.set.Disk) {
			t.Errorf("%+v: undo %v, unheard %v, error %v", c.set, undo, unheard, err)
		}
		if off := time.Until(p.Now()) - c.clock; off > time.Second || off < -time.Second {
			t.Errorf("%+v: the clock is off by %v", c.set, off+c.clock)
		}
	}
	for text, want := range map[string]string{"clock = 3": "clock", "sync = \"sometimes\"": "sync", "disc = \"1s\"": "faults",
		"[calls]\naccept = \"EMOOD\"": "calls.accept"} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestPlannedCallFails(t *testing.T) {
	path := filepath.Join(t.TempDir(), "faults.toml")
	p, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Call(CallAccept); err != nil {
		t.Errorf("nothing is planted: %v", err)
	}
	if err := (Set{Calls: map[string]string{CallAccept: "ENOBUFS"}}).Write(path); err != nil {
		t.Fatal(err)
	}
	var call *os.SyscallError
	if err := p.Call(CallAccept); !errors.Is(err, syscall.ENOBUFS) || !errors.As(err, &call) {
		t.Errorf("accept: %v", err)
	}
	if err := p.Call(CallOpen); err != nil {
		t.Errorf("open: %v", err)
	}
}
