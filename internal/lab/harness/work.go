package harness

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Sleep waits for a duration or until ctx is done. It reports whether the whole duration passed.
func Sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// ForEach calls do concurrently for all numbers, waits for all calls, and returns the first error.
func ForEach(numbers []int, do func(int) error) error {
	errs := make(chan error, len(numbers))
	for _, i := range numbers {
		go func() { errs <- do(i) }()
	}
	var first error
	for range numbers {
		if err := <-errs; first == nil {
			first = err
		}
	}
	return first
}

// Parallel calls do for each number below n in a limited number of goroutines, and returns the first error. A
// goroutine ends at its first error, while the others continue.
func Parallel(n, goroutines int, do func(i int) error) error {
	var next atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	for range min(n, goroutines) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				if err := do(i); err != nil {
					mu.Lock()
					if first == nil {
						first = err
					}
					mu.Unlock()
					return
				}
			}
		})
	}
	wg.Wait()
	return first
}

// Median returns the median of a non-empty list, which need not be sorted.
func Median(list []float64) float64 {
	list = slices.Sorted(slices.Values(list))
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}
