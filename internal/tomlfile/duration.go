package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a duration that is written with a unit in a file: "250ms", "10s".
type Duration time.Duration

// durationHint is the end of the error text for a value that is not a duration.
const durationHint = " is not a duration: it needs a number and a unit (ms, s, m)"

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q%s", text, durationHint)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Duration returns the duration as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// Milliseconds returns the duration in milliseconds.
func (d Duration) Milliseconds() float64 { return float64(d) / float64(time.Millisecond) }
