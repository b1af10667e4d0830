package requestcost

import (
	"fmt"
	"io"
	"math"
	"strconv"

	"marblelane/internal/lab/harness"
)

// summarize computes the result from the rounds of each variant. base is the index of the baseline.
func summarize(o *Options, base int, rounds [][]Round) *Result {
	out := &Result{Baseline: o.Variants[base].Name, Rounds: o.Rounds, Seconds: o.Length.Seconds(), Rate: o.Rate,
		Connections: o.Connections}
	for i, all := range rounds {
		medianOf := func(figure func(*Round) float64) float64 {
			var list []float64
			for k := range all {
				list = append(list, figure(&all[k]))
			}
			return harness.Median(list)
		}
		v := VariantResult{Name: o.Variants[i].Name, Rounds: all,
			CPU:       medianOf(func(r *Round) float64 { return r.CPU }),
			PerSecond: medianOf(func(r *Round) float64 { return r.PerSecond }),
			IdleCPU:   medianOf(func(r *Round) float64 { return r.IdleCPU }),
			IdleRSS:   medianOf(func(r *Round) float64 { return r.IdleRSS }),
			Start:     medianOf(func(r *Round) float64 { return r.Start })}
		if i != base {
			var ratios []float64
			for k := range all {
				ratios = append(ratios, all[k].CPU/rounds[base][k].CPU)
			}
			v.Ratio = meanInterval(ratios)
		}
		out.Variants = append(out.Variants, v)
	}
	return out
}

// meanInterval returns the mean of two or more values with its 95 % confidence interval.
func meanInterval(list []float64) *Interval {
	n, mean, squares := float64(len(list)), 0.0, 0.0
	for _, v := range list {
		mean += v / n
	}
	for _, v := range list {
		squares += (v - mean) * (v - mean)
	}
	half := studentQuantile(len(list)-1) * math.Sqrt(squares/(n-1)/n)
	return &Interval{Mean: mean, Low: mean - half, High: mean + half}
}

// studentQuantile returns the 97.5 % quantile of Student's t distribution, with an error below 0.003.
func studentQuantile(degreesOfFreedom int) float64 {
	if small := []float64{12.706, 4.303, 3.182, 2.776}; degreesOfFreedom <= len(small) {
		return small[degreesOfFreedom-1]
	}
	const z = 1.959964
	n := float64(degreesOfFreedom)
	// Uses the Cornish-Fisher expansion at z, the quantile of the normal distribution.
	return z + (math.Pow(z, 3)+z)/(4*n) + (5*math.Pow(z, 5)+16*math.Pow(z, 3)+3*z)/(96*n*n) +
		(3*math.Pow(z, 7)+19*math.Pow(z, 5)+17*math.Pow(z, 3)-15*z)/(384*n*n*n)
}

// Print writes the result as a table, one line per variant.
func Print(w io.Writer, r *Result) {
	load := "closed loop"
	if r.Rate > 0 {
		load = strconv.FormatFloat(r.Rate, 'f', -1, 64) + " requests per second"
	}
	fmt.Fprintf(w,
		"%d rounds of %v s, %d connections, %s; medians, and the mean ratio of pairs to %s with its 95 %% interval\n",
		r.Rounds, r.Seconds, r.Connections, load, r.Baseline)
	width := len("variant")
	for _, v := range r.Variants {
		width = max(width, len(v.Name))
	}
	fmt.Fprintf(w, "%-*s %14s %25s %11s %13s %12s %9s\n", width, "variant", "us CPU/request", "ratio", "requests/s",
		"idle us CPU/s", "idle RSS MB", "start ms")
	for _, v := range r.Variants {
		ratio := "1"
		if v.Ratio != nil {
			ratio = fmt.Sprintf("%.4f [%.4f, %.4f]", v.Ratio.Mean, v.Ratio.Low, v.Ratio.High)
		}
		fmt.Fprintf(w, "%-*s %14.2f %25s %11.0f %13.0f %12.2f %9.1f\n", width, v.Name, v.CPU, ratio, v.PerSecond,
			v.IdleCPU, v.IdleRSS, v.Start)
	}
}
