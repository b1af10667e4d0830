package rollout

import "math"

// logWindowEvidence returns the logarithm of one window's factor in the evidence that the canary is worse than the base.
// In the window, canaryEnded attempts to the canary and baseEnded attempts to the base have ended, of which canaryFailed
// and baseFailed failed.
//
// The sequential test uses a test martingale. Under the null hypothesis, failures are independent of the side: given the
// four margins, canaryFailed has a hypergeometric distribution, and the factor rho^canaryFailed / E[rho^canaryFailed]
// has mean 1. By Ville's inequality the product of the factors ever exceeds 1/alpha with a probability of at most
// alpha.
func logWindowEvidence(canaryEnded, baseEnded, canaryFailed, baseFailed int64, rho float64) float64 {
	failed := canaryFailed + baseFailed
	if canaryEnded <= 0 || baseEnded <= 0 || failed <= 0 {
		return 0
	}
	const (
		negligible   = 50  // difference of logarithms: a term below 1e-21 of the sum
		fallingRatio = 0.5 // ratio of neighbouring terms below which further terms only fall
	)
	lowest, highest := max(0, failed-baseEnded), min(failed, canaryEnded)
	// The hypergeometric weight of k canary failures, relative to that of the lowest k, is computed from the ratio of
	// neighbouring weights. It is kept as a logarithm, as the weights of a large window overflow.
	logRho, logWeight := math.Log(rho), 0.0
	var untiltedSum, tiltedSum logSum
	for k := lowest; ; k++ {
		logTilted := logWeight + float64(k)*logRho
		untiltedSum.add(logWeight)
		tiltedSum.add(logTilted)
		if k == highest {
			break
		}
		ratio := float64(canaryEnded-k) * float64(failed-k) / (float64(k+1) * float64(baseEnded-failed+k+1))
		if ratio*max(rho, 1) < fallingRatio &&
			logTilted < tiltedSum.log()-negligible && logWeight < untiltedSum.log()-negligible {
			break
		}
		logWeight += math.Log(ratio)
	}
	return float64(canaryFailed)*logRho - (tiltedSum.log() - untiltedSum.log())
}

// logSum is a sum of numbers that are added by their logarithms. The sum is scaled times e^top.
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
