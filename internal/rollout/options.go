package rollout

import "math"

// Options are a controller's settings. Times are in milliseconds.
type Options struct {
	Leader               string  // the leader's name and start number, sent in stamps
	LeaseTerm            int64   // term of a canary lease
	StragglerAfter       int64   // time without the newest revision after which a process is sent the whole table
	ShutOutAfter         int64   // time without the newest revision after which a process's lease is not renewed
	GoneAfter            int64   // time without a report, beyond termWithMargin, after which a process counts as gone
	DropAfter            int64   // time without a report after which a process is dropped
	MaxStragglerFraction float64 // fraction of the processes in contact; with more stragglers the service is at fault
	ClockMargin          float64 // fraction by which the rates of two clocks may differ
	Alpha                float64 // significance level of one leader's sequential test; 0: no test
	Rho                  float64 // failure ratio of canary to base at which the test is most powerful
	MaxGrant             int64   // units in one grant; 0: no bound
}

// Defaults returns the settings that docs/routes.md describes.
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

// termWithMargin returns the time after which a granted lease has expired on every clock, however slow within the margin.
func (o *Options) termWithMargin() int64 {
	return int64(math.Ceil(float64(o.LeaseTerm) * (1 + o.ClockMargin)))
}

// goneTimeout returns the time without a report after which a process counts as gone.
func (o *Options) goneTimeout() int64 { return o.termWithMargin() + o.GoneAfter }
