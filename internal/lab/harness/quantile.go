package harness

import (
	"math"
	"time"
)

// Quantile returns the element of a sorted, non-empty list at a quantile between 0 and 1. A position between two
// elements is rounded down.
func Quantile[T any](sorted []T, q float64) T { return sorted[int(q*float64(len(sorted)-1))] }

// UpperQuantile is like Quantile, but rounds the position up.
func UpperQuantile[T any](sorted []T, q float64) T {
	return sorted[int(math.Ceil(q*float64(len(sorted)-1)))]
}

// Milliseconds converts a duration to milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
