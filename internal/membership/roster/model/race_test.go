//go:build race

package model_test

// raceDetector is true in builds with the race detector, under which the tests run several times slower.
const raceDetector = true
