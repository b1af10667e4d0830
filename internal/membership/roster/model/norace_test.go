//go:build !race

package model_test

// raceDetector reports whether the race detector is on, which makes tests several times slower.
const raceDetector = false
