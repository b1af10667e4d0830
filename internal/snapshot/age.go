package snapshot

import (
	"math"
	"slices"
	"time"
)

// AgingPolicy says how fast a state goes out of date.
type AgingPolicy struct {
	SizeHalfLife time.Duration // in which the weight of sizes halves
	MaxSizeAge   time.Duration // beyond which sizes have no weight
	MaxRateAge   time.Duration // beyond which rates are dropped
	MaxErrorAge  time.Duration // beyond which errors are dropped
	WarmUpTime   time.Duration // in which a server warms up
	// ClockSlack is how far the wall clock may have gone back and the state still counts as just written.
	ClockSlack time.Duration
}

// DefaultAgingPolicy suits a fleet whose servers are replaced within hours and whose faults last for seconds.
func DefaultAgingPolicy() AgingPolicy {
	return AgingPolicy{
		SizeHalfLife: time.Hour,
		MaxSizeAge:   24 * time.Hour,
		MaxRateAge:   30 * time.Second,
		MaxErrorAge:  30 * time.Second,
		WarmUpTime:   10 * time.Second,
		ClockSlack:   2 * time.Second,
	}
}

// Age is how old a state is.
type Age struct {
	Elapsed    time.Duration // since the state was written
	Known      bool          // false: the wall clock has gone back
	SizeWeight float64       // of the sizes, from 0 to 1
}

// unknownAgeWeight is the weight of sizes of unknown age: that after one half-life.
const unknownAgeWeight = 0.5

// AgedAt returns the state as it is now. Sizes decay towards those of unknown servers, rates and errors are dropped in
// time, ejections and warm-ups go on, and the list grows older.
//
// If the wall clock has gone back, the age is unknown, and each value is taken on its careful side: sizes have half
// their weight, there are no rates, and errors, ejections and warm-ups are as if no time had passed. These end within
// seconds, whereas a server that is overloaded while it warms up takes longer to recover.
func (s *Snapshot) AgedAt(now time.Time, policy AgingPolicy) (*Snapshot, Age) {
	age := policy.ageAfter(now.Sub(s.Written))
	aged := *s
	aged.List.Age += milliseconds(age.Elapsed)
	aged.List.Servers = slices.Clone(s.List.Servers)
	aged.Learned = Learned{Kinds: scaled(s.Learned.Kinds, age.SizeWeight), Zones: scaled(s.Learned.Zones, age.SizeWeight)}
	if age.Known && age.Elapsed <= policy.MaxRateAge {
		aged.Learned.Rates = s.Learned.Rates
	}
	for _, server := range s.Learned.Servers {
		aged.Learned.Servers = append(aged.Learned.Servers, server.aged(age, policy))
	}
	return &aged, age
}

// ageAfter returns the age of a state that the wall clock says was written so long ago.
func (a AgingPolicy) ageAfter(elapsed time.Duration) Age {
	switch {
	case elapsed < -a.ClockSlack:
		return Age{SizeWeight: unknownAgeWeight}
	case elapsed > a.MaxSizeAge:
		return Age{Elapsed: elapsed, Known: true}
	}
	elapsed = max(elapsed, 0)
	return Age{Elapsed: elapsed, Known: true, SizeWeight: math.Exp2(-elapsed.Seconds() / a.SizeHalfLife.Seconds())}
}

// aged returns the server as it is now. Ejections in a row are forgotten once the last is over and no error counts.
func (s Server) aged(age Age, policy AgingPolicy) Server {
	elapsed := milliseconds(age.Elapsed)
	s.Size *= age.SizeWeight
	s.ErrorAge += elapsed
	if s.ErrorAge > milliseconds(policy.MaxErrorAge) {
		s.ConsecutiveErrors, s.Down = 0, false
	}
	if s.ConsecutiveErrors == 0 {
		s.ErrorAge = 0
	}
	s.EjectionRemaining = max(s.EjectionRemaining-elapsed, 0)
	if s.EjectionRemaining == 0 && s.ConsecutiveErrors == 0 {
		s.Ejections = 0
	}
	s.WarmUpAge += elapsed
	if !s.WarmingUp || s.WarmUpAge > milliseconds(policy.WarmUpTime) {
		s.WarmingUp, s.WarmUpAge = false, 0
	}
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// scaled returns the sizes times a factor.
func scaled(sizes map[string]float64, factor float64) map[string]float64 {
	if sizes == nil {
		return nil
	}
	out := make(map[string]float64, len(sizes))
	for name, size := range sizes {
		out[name] = size * factor
	}
	return out
}
