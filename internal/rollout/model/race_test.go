//go:build race

package model

// raceEnabled is true if the tests run with the race detector, which makes them several times slower.
const raceEnabled = true
