package rollout

import "math"

// logWindowEvidence is what one window adds to the logarithm of the evidence that the canary is worse than the base.
// The window has canaryEnded attempts to the canary and baseEnded to the base, of which canaryFailed and baseFailed
// failed.
//
// The test is a sequential one by a test martingale. Under the null hypothesis, in which failing has nothing to do with
// the side, canaryFailed is hypergeometric given the four margins; the factor rho^canaryFailed / E[rho^canaryFailed]
// has the mean 1. By Ville's inequality the product of the factors ever exceeds 1/alpha with a probability of at most
// alpha.
func logWindowEvidence(canaryEnded, baseEnded, canaryFailed, baseFailed int64, rho float64) float64 {
	failed := canaryFailed + baseFailed
	if canaryEnded <= 0 || baseEnded <= 0 || failed <= 0 {
		return 0
	}
	const (
		negligible   = 50  // in logarithms: below 1e-21 of a sum
		fallingRatio = 0.5 // of neighbouring terms, from which on they only fall
	)
	lowest, highest := max(0, failed-baseEnded), min(failed, canaryEnded)
	// The hypergeometric weight of k canary failures, relative to that of the lowest k, comes from the ratio of
	// neighbours. It is a logarithm, as plain weights of a large window overflow.
	logRho, logWeight := math.Log(rho), 0.0
	var plain, tilted logSum
	for k := lowest; ; k++ {
		logTilted := logWeight + float64(k)*logRho
		plain.add(logWeight)
		tilted.add(logTilted)
		if k == highest {
			break
		}
		ratio := float64(canaryEnded-k) * float64(failed-k) / (float64(k+1) * float64(baseEnded-failed+k+1))
		if ratio*max(rho, 1) < fallingRatio &&
			logTilted < tilted.log()-negligible && logWeight < plain.log()-negligible {
			break
		}
		logWeight += math.Log(ratio)
	}
	return float64(canaryFailed)*logRho - (tilted.log() - plain.log())
}

// logSum is a sum of numbers that are given by their logarithms: scaled times e^top.
type logSum struct{ top, scaled float64 }

func (s *logSum) add(logX float64) {
	switch {
	case s.scaled == 0:
		s.top, s.scaled = logX, 1
	case logX > s.top:
		s.scaled, s.top = s.scaled*math.Exp(s.top-logX)+1, logX
	default:
		s.scaled += math.Exp(logX - s.top)
	}
}

func (s *logSum) log() float64 { return s.top + math.Log(s.scaled) }
