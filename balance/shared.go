package balance

import "math"

// milliseconds is a duration, or a time on the clock of the events.
type milliseconds = float64

// shared holds what all components of one balancer use: the settings, the present time, the random source, the
// servers, and the actions of the event that is being handled.
type shared struct {
	cfg          Config
	maxObjective milliseconds // longest latency objective of all classes

	started milliseconds // time of the call to Start
	now     milliseconds // time of the event that is being handled
	rng     uint64       // state of the random source
	actions []Action     // actions of the event that is being handled

	servers []*server // the listed servers, by rank
	byID    map[ServerID]*server
}

// newShared returns the shared state of a new balancer. A Goal of zeros is replaced by Overall alone.
func newShared(cfg Config) *shared {
	s := &shared{cfg: cfg, rng: cfg.Seed, maxObjective: 1, byID: map[ServerID]*server{}}
	for i := range cfg.Classes {
		s.maxObjective = math.Max(s.maxObjective, cfg.Classes[i].LatencyObjective)
	}
	if cfg.Goal == (Goal{}) {
		s.cfg.Goal.Overall = 1
	}
	return s
}

// startEvent sets the present time for a new event and discards the actions of the previous one.
func (s *shared) startEvent(now milliseconds) { s.now, s.actions = now, s.actions[:0] }

// emit adds an action to those of the event.
func (s *shared) emit(a Action) { s.actions = append(s.actions, a) }

// log emits a Log action.
func (s *shared) log(text string) { s.emit(Action{Kind: Log, Text: text}) }

// random returns the next number in [0, 1) from the random source, which is splitmix64 with the seed of the
// settings.
func (s *shared) random() float64 {
	s.rng += 0x9e3779b97f4a7c15
	return unit(mix(s.rng))
}

// randomFor returns a number in [0, 1) that depends only on the seed, this sidecar's number, key and counter. It
// does not advance the random source.
func (s *shared) randomFor(key, counter uint64) float64 {
	return unit(mix(mix(mix(s.cfg.Seed)^uint64(s.cfg.Number)) ^ mix(key+counter*0x9e3779b97f4a7c15)))
}

// unit maps 64 random bits to a number in [0, 1).
func unit(z uint64) float64 { return float64(z>>11) / (1 << 53) }

// mix is the finalizer of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// bound limits v to the range from low to high.
func bound(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }
