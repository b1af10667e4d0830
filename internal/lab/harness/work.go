package harness

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Sleep waits, and tells whether ctx was not done before the time was over.
func Sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// ForEach calls do for all numbers at once, and gives the first error after all have ended.
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

// Parallel calls do for each number below n in a few goroutines, and gives the first error. A goroutine ends at its first
// error.
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

// Median is the median of a list that is not empty.
func Median(list []float64) float64 {
	list = slices.Sorted(slices.Values(list))
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}
