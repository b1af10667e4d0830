package harness

import (
	"math"
	"time"
)

// Quantile returns the element of a sorted list at a quantile between 0 and 1, rounded down to the next position.
func Quantile[T any](sorted []T, q float64) T { return sorted[int(q*float64(len(sorted)-1))] }

// UpperQuantile is Quantile, rounded up to the next position.
func UpperQuantile[T any](sorted []T, q float64) T {
	return sorted[int(math.Ceil(q*float64(len(sorted)-1)))]
}

// Milliseconds returns a time in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
