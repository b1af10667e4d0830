// Package snapshot stores on disk the state that a process has learned and cannot request again after a restart. A
// state file is written completely or not at all. If the state is lost, damaged, too old or belongs to another process,
// the process merely starts without one. Load therefore returns no error. docs/recovery.md lists the guarantees and
// their tests.
package snapshot

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Snapshot is the state of a process at one time. It contains no requests: a client retries a request that got no
// response, and a process must not retry it on the client's behalf after a restart.
type Snapshot struct {
	// Seq is the number of the save, counted per folder. Save sets it.
	Seq uint64
	// Identity is the process that the state belongs to. Save sets it.
	Identity Identity
	// Written is the wall clock time of the save, with millisecond precision. Ages in the state are relative to it.
	Written time.Time
	Learned Learned
	List    List
}

// Identity identifies the process that a state belongs to. A process only loads states with its own Site, Name and
// Settings.
type Identity struct {
	Site     string `json:"site"`     // name of the fleet
	Name     string `json:"name"`     // name of the process
	Settings string `json:"settings"` // digest of the settings that the learned values depend on
	Program  string `json:"program"`  // version of the program that wrote the state; for information only
}

// accepts returns ErrForeign if a process of this identity must not load a state of the other identity. Program may
// differ.
func (id Identity) accepts(other Identity) error {
	for _, field := range []struct{ name, stored, own string }{
		{"site", other.Site, id.Site}, {"name", other.Name, id.Name}, {"settings", other.Settings, id.Settings},
	} {
		if field.stored != field.own {
			return fmt.Errorf("%w: %s is %q, want %q", ErrForeign, field.name, field.stored, field.own)
		}
	}
	return nil
}

// Learned contains the values learned from responses. A size is the natural logarithm of a factor. 0 is the size that
// is assumed for an unknown server, kind or zone.
type Learned struct {
	Servers []Server           `json:"servers,omitempty"`
	Kinds   map[string]float64 `json:"kinds,omitempty"` // sizes by kind
	Zones   map[string]float64 `json:"zones,omitempty"` // sizes by zone
	Rates   Rates              `json:"rates"`
}

// Server contains the values learned about one server. Ages and remaining times are in ms at the time of the save.
type Server struct {
	UID               string  `json:"uid"`
	Size              float64 `json:"size"` // size of the server, which is added to the sizes of its kind and zone
	ConsecutiveErrors int     `json:"errors,omitempty"`
	ErrorAge          float64 `json:"error_age_ms,omitempty"`
	Ejections         int     `json:"rests,omitempty"` // number of consecutive ejections
	EjectionRemaining float64 `json:"rest_left_ms,omitempty"`
	Down              bool    `json:"down,omitempty"` // the last attempt to connect failed
	WarmingUp         bool    `json:"cold,omitempty"`
	WarmUpAge         float64 `json:"cold_age_ms,omitempty"`
	BootUnixMS        int64   `json:"boot_ms,omitempty"` // start time of the server; 0 if unknown
}

// Rates describes the throughput and latency of the fleet.
type Rates struct {
	Requests        float64          `json:"asked_per_s,omitempty"`    // requests per second
	Responses       float64          `json:"answered_per_s,omitempty"` // responses of servers per second
	MinLatencyRatio float64          `json:"quickest,omitempty"`       // lowest ratio of the mean latency to its objective
	Classes         map[string]Class `json:"classes,omitempty"`
}

// Class is the latency of the requests of one class.
type Class struct {
	Responses float64 `json:"answers"` // number of responses in Mean
	Mean      float64 `json:"mean_ms"` // mean latency in ms
	Deviation float64 `json:"dev_ms"`  // mean deviation in ms
}

// List is the last endpoint list that the process used.
type List struct {
	Rev     int64   `json:"rev,omitempty"`
	Epoch   int64   `json:"epoch,omitempty"`
	Age     float64 `json:"age_ms,omitempty"` // time since the last contact with a list service, in ms
	Source  string  `json:"source,omitempty"` // address of the list service that was last contacted
	Servers []Entry `json:"servers,omitempty"`
}

// Entry is one server of the endpoint list.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az,omitempty"`
	Model    string  `json:"model,omitempty"`
	PodGroup int     `json:"pod_group,omitempty"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms,omitempty"`
}

const (
	maxUnixMS = 253402300799999 // end of the year 9999
	maxSeq    = 1<<53 - 1       // largest integer that JSON readers of all languages represent exactly
)

// Validate returns an error for the first invalid value of a state. Save rejects an invalid state and Load skips it.
func (s *Snapshot) Validate() error {
	if ms := s.Written.UnixMilli(); ms <= 0 || ms > maxUnixMS {
		return fmt.Errorf("written: time %v is out of range", s.Written)
	}
	if s.Seq > maxSeq {
		return fmt.Errorf("seq: %d is out of range", s.Seq)
	}
	if err := s.Learned.validate(); err != nil {
		return err
	}
	return s.List.validate()
}

func (l *Learned) validate() error {
	uids := make(map[string]bool, len(l.Servers))
	for i, server := range l.Servers {
		if server.UID == "" || uids[server.UID] {
			return fmt.Errorf("learned.servers[%d]: uid %q is empty or duplicate", i, server.UID)
		}
		uids[server.UID] = true
		if !server.valid() {
			return fmt.Errorf("learned.servers[%d] (%s): number out of range", i, server.UID)
		}
	}
	for _, sizes := range []map[string]float64{l.Kinds, l.Zones} {
		for name, size := range sizes {
			if !finite(size) {
				return fmt.Errorf("learned: size %v of %q is not finite", size, name)
			}
		}
	}
	return l.Rates.validate()
}

func (s *Server) valid() bool {
	return finite(s.Size) && s.ConsecutiveErrors >= 0 && s.Ejections >= 0 &&
		validAmounts(s.ErrorAge, s.EjectionRemaining, s.WarmUpAge)
}

func (r *Rates) validate() error {
	if !validAmounts(r.Requests, r.Responses, r.MinLatencyRatio) {
		return errors.New("learned.rates: number out of range")
	}
	for name, class := range r.Classes {
		if !validAmounts(class.Responses, class.Mean, class.Deviation) {
			return fmt.Errorf("learned.rates.classes[%q]: number out of range", name)
		}
	}
	return nil
}

func (l *List) validate() error {
	if l.Rev < 0 || l.Epoch < 0 || !validAmounts(l.Age) {
		return errors.New("list: number out of range")
	}
	uids := make(map[string]bool, len(l.Servers))
	for i, entry := range l.Servers {
		if entry.UID == "" || uids[entry.UID] {
			return fmt.Errorf("list.servers[%d]: uid %q is empty or duplicate", i, entry.UID)
		}
		uids[entry.UID] = true
		if !validAmounts(entry.Capacity, entry.BootMS) {
			return fmt.Errorf("list.servers[%d] (%s): number out of range", i, entry.UID)
		}
	}
	return nil
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// validAmounts reports whether all amounts are finite and non-negative.
func validAmounts(amounts ...float64) bool {
	return !slices.ContainsFunc(amounts, func(v float64) bool { return !finite(v) || v < 0 })
}
