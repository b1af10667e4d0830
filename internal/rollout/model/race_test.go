//go:build race

package model

// raceEnabled reports whether tests run with the race detector, which makes them several times slower.
const raceEnabled = true
