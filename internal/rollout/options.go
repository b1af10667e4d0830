package rollout

import "math"

// Options are a controller's settings. Times are in milliseconds.
type Options struct {
	Leader               string  // the leader's name and the number of its start, for stamps
	LeaseTerm            int64   // of a canary lease
	StragglerAfter       int64   // without the newest revision, until a process is sent the whole table
	ShutOutAfter         int64   // likewise, until its lease is not renewed
	GoneAfter            int64   // silence beyond a lengthened term, until a process is gone
	DropAfter            int64   // silence, until a process is forgotten
	MaxStragglerFraction float64 // of the processes in contact; with more stragglers the service is at fault
	ClockMargin          float64 // by which the rates of two clocks may differ
	Alpha                float64 // significance level of one leader's sequential test; 0: no test
	Rho                  float64 // failure ratio of canary to base at which the test is most powerful
	MaxGrant             int64   // units of one grant; 0: no bound
}

// Defaults are the settings of docs/routes.md.
func Defaults() Options {
	return Options{
		LeaseTerm:            5000,
		StragglerAfter:       2000,
		ShutOutAfter:         6000,
		GoneAfter:            15000,
		DropAfter:            600_000,
		MaxStragglerFraction: 0.3,
		ClockMargin:          0.02,
		Alpha:                0.001,
		Rho:                  3,
	}
}

// lengthenedTerm is how long after its grant a lease has expired on every clock.
func (o *Options) lengthenedTerm() int64 {
	return int64(math.Ceil(float64(o.LeaseTerm) * (1 + o.ClockMargin)))
}

// silenceUntilGone is how long a process is silent until it is gone.
func (o *Options) silenceUntilGone() int64 { return o.lengthenedTerm() + o.GoneAfter }
