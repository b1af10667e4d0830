// Package snapshot stores on disk what a process has learned and cannot request again after a restart. A state file is
// written completely or not at all. A state that is lost, damaged, another process's or too old costs a start without
// one and nothing else, so Load returns no error. docs/recovery.md states the promise and the test of each part.
package snapshot

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Snapshot is one state of a process. It holds no requests: a client retries a request that got no answer, and a process
// must not retry it in the client's place after a restart.
type Snapshot struct {
	// Seq counts the saves in a folder; Save sets it.
	Seq      uint64
	Identity Identity
	// Written is the wall time of the save, to the millisecond. Ages in the state are relative to it.
	Written time.Time
	Learned Learned
	List    List
}

// Identity says which process a state belongs to. A process uses states of its own Site, Name and Settings alone.
type Identity struct {
	Site     string `json:"site"`     // the fleet
	Name     string `json:"name"`     // the process
	Settings string `json:"settings"` // digest of the settings that the learned values depend on
	Program  string `json:"program"`  // version that wrote the state; informative
}

// accepts returns ErrForeign if a process of this identity must not use states of the other one. The program may differ.
func (id Identity) accepts(other Identity) error {
	for _, field := range []struct{ name, stored, own string }{
		{"site", other.Site, id.Site}, {"name", other.Name, id.Name}, {"settings", other.Settings, id.Settings},
	} {
		if field.stored != field.own {
			return fmt.Errorf("%w: its %s is %q, here it is %q", ErrForeign, field.name, field.stored, field.own)
		}
	}
	return nil
}

// Learned is what was learned from answers. A size is the natural logarithm of a multiple; 0 is what is assumed of an
// unknown server, kind or zone.
type Learned struct {
	Servers []Server           `json:"servers,omitempty"`
	Kinds   map[string]float64 `json:"kinds,omitempty"` // sizes by name of the kind
	Zones   map[string]float64 `json:"zones,omitempty"` // sizes by name of the zone
	Rates   Rates              `json:"rates"`
}

// Server is what was learned of one server. Ages and remaining times are in ms, at the time of the save.
type Server struct {
	UID               string  `json:"uid"`
	Size              float64 `json:"size"` // on top of the sizes of its kind and zone
	ConsecutiveErrors int     `json:"errors,omitempty"`
	ErrorAge          float64 `json:"error_age_ms,omitempty"`
	Ejections         int     `json:"rests,omitempty"` // in a row
	EjectionRemaining float64 `json:"rest_left_ms,omitempty"`
	Down              bool    `json:"down,omitempty"` // the last attempt could not connect
	WarmingUp         bool    `json:"cold,omitempty"`
	WarmUpAge         float64 `json:"cold_age_ms,omitempty"`
	BootUnixMS        int64   `json:"boot_ms,omitempty"` // start of the server that all this belongs to; 0: unknown
}

// Rates describe how fast the fleet answered.
type Rates struct {
	Requests        float64          `json:"asked_per_s,omitempty"`
	Responses       float64          `json:"answered_per_s,omitempty"` // of servers
	MinLatencyRatio float64          `json:"quickest,omitempty"`       // lowest mean latency, as a part of its objective
	Classes         map[string]Class `json:"classes,omitempty"`
}

// Class is the latency of a class of requests.
type Class struct {
	Responses float64 `json:"answers"` // number of answers in Mean
	Mean      float64 `json:"mean_ms"`
	Deviation float64 `json:"dev_ms"` // mean deviation
}

// List is the endpoint list that the process used last.
type List struct {
	Rev     int64   `json:"rev,omitempty"`
	Epoch   int64   `json:"epoch,omitempty"`
	Age     float64 `json:"age_ms,omitempty"` // since the last contact with a list service
	Source  string  `json:"source,omitempty"` // address of that list service
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
	maxUnixMS = 253402300799999 // the end of the year 9999
	maxSeq    = 1<<53 - 1       // the largest integer that a JSON reader of any language holds
)

// Validate returns the first impossible value of a state. Save refuses such a state, and Load does not use it.
func (s *Snapshot) Validate() error {
	if ms := s.Written.UnixMilli(); ms <= 0 || ms > maxUnixMS {
		return fmt.Errorf("written: %v cannot be", s.Written)
	}
	if s.Seq > maxSeq {
		return fmt.Errorf("seq: %d cannot be", s.Seq)
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
			return fmt.Errorf("learned.servers[%d]: uid %q is empty or there twice", i, server.UID)
		}
		uids[server.UID] = true
		if !server.valid() {
			return fmt.Errorf("learned.servers[%d] (%s): a figure cannot be", i, server.UID)
		}
	}
	for _, sizes := range []map[string]float64{l.Kinds, l.Zones} {
		for name, size := range sizes {
			if !finite(size) {
				return fmt.Errorf("learned: size %v of %q cannot be", size, name)
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
		return errors.New("learned.rates: a figure cannot be")
	}
	for name, class := range r.Classes {
		if !validAmounts(class.Responses, class.Mean, class.Deviation) {
			return fmt.Errorf("learned.rates.classes[%q]: a figure cannot be", name)
		}
	}
	return nil
}

func (l *List) validate() error {
	if l.Rev < 0 || l.Epoch < 0 || !validAmounts(l.Age) {
		return errors.New("list: a figure cannot be")
	}
	uids := make(map[string]bool, len(l.Servers))
	for i, entry := range l.Servers {
		if entry.UID == "" || uids[entry.UID] {
			return fmt.Errorf("list.servers[%d]: uid %q is empty or there twice", i, entry.UID)
		}
		uids[entry.UID] = true
		if !validAmounts(entry.Capacity, entry.BootMS) {
			return fmt.Errorf("list.servers[%d] (%s): a figure cannot be", i, entry.UID)
		}
	}
	return nil
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// validAmounts reports whether all amounts are finite and not negative.
func validAmounts(amounts ...float64) bool {
	return !slices.ContainsFunc(amounts, func(v float64) bool { return !finite(v) || v < 0 })
}
