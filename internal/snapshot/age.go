package snapshot

import (
	"math"
	"slices"
	"time"
)

// AgingPolicy defines how a loaded state is discounted for the time since it was written.
type AgingPolicy struct {
	SizeHalfLife time.Duration // time in which the weight of sizes halves
	MaxSizeAge   time.Duration // age above which sizes have weight 0
	MaxRateAge   time.Duration // age above which rates are dropped
	MaxErrorAge  time.Duration // age above which errors are dropped
	WarmUpTime   time.Duration // duration of a server's warm-up
	// ClockSlack is the largest backward step of the wall clock at which a state still counts as just written.
	ClockSlack time.Duration
}

// DefaultAgingPolicy returns a policy for a fleet whose servers are replaced within hours and whose faults last for
// seconds.
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

// Age is the age of a state when it is loaded.
type Age struct {
	Elapsed    time.Duration // time since the state was written; 0 if Known is false
	Known      bool          // false if the wall clock was stepped back by more than ClockSlack
	SizeWeight float64       // factor for the sizes of the state, from 0 to 1
}

// unknownAgeWeight is the weight of sizes of unknown age. It equals the weight after one half-life.
const unknownAgeWeight = 0.5

// AgedAt returns the state adjusted to the given time, and its age. Sizes decay towards those of unknown servers, old
// rates and errors are dropped, ejections and warm-ups continue, and the age of the list increases.
//
// If the wall clock was stepped back, the age is unknown and each value is adjusted conservatively: sizes have half
// their weight, rates are dropped, and errors, ejections and warm-ups stay as if no time had passed. These end within
// seconds, whereas a server that is overloaded while it warms up takes longer to recover.
func (s *Snapshot) AgedAt(now time.Time, policy AgingPolicy) (*Snapshot, Age) {
	age := policy.ageAfter(now.Sub(s.Written))
	aged := *s
	aged.List.Age += milliseconds(age.Elapsed)
	aged.List.Servers = slices.Clone(s.List.Servers)
	aged.Learned = Learned{Kinds: scaledSizes(s.Learned.Kinds, age.SizeWeight), Zones: scaledSizes(s.Learned.Zones, age.SizeWeight)}
	if age.Known && age.Elapsed <= policy.MaxRateAge {
		aged.Learned.Rates = s.Learned.Rates
	}
	for _, server := range s.Learned.Servers {
		aged.Learned.Servers = append(aged.Learned.Servers, server.aged(age, policy))
	}
	return &aged, age
}

// ageAfter returns the age of a state for the time that has passed since its save by the wall clock.
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

// aged returns the server adjusted to the age of its state. The count of consecutive ejections is reset once the last
// ejection is over and no error counts.
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

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// scaledSizes returns a new map with the sizes multiplied by a factor, or nil for nil.
func scaledSizes(sizes map[string]float64, factor float64) map[string]float64 {
	if sizes == nil {
		return nil
	}
	result := make(map[string]float64, len(sizes))
	for name, size := range sizes {
		result[name] = size * factor
	}
	return result
}
