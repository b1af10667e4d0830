package rollout

// LogWindowEvidence exports logWindowEvidence to the tests of package rollout_test.
func LogWindowEvidence(canaryEnded, baseEnded, canaryFailed, baseFailed int64, rho float64) float64 {
	return logWindowEvidence(canaryEnded, baseEnded, canaryFailed, baseFailed, rho)
}
