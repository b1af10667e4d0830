package process

import (
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Two busy threads that may use only one processor wait for each other, and the delays show it.
func TestThreadRunDelays_contention(t *testing.T) {
	const busy = 200 * time.Millisecond
	before, err := ThreadRunDelays(os.Getpid())
	require.NoError(t, err)
	ids := make(chan int, 2)
	release := make(chan struct{})
	for range 2 {
		go func() {
			runtime.LockOSThread() // not unlocked: the thread ends with the goroutine, and its processor set with it
			assert.NoError(t, pinToOneProcessor())
			for start := time.Now(); time.Since(start) < busy; {
			}
			ids <- syscall.Gettid()
			<-release
		}()
	}
	first, second := <-ids, <-ids
	after, err := ThreadRunDelays(os.Getpid())
	close(release)
	require.NoError(t, err)
	waited := after[first] - before[first] + after[second] - before[second]
	assert.Greater(t, waited, busy/2)
	_, err = ThreadRunDelays(1 << 30)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// pinToOneProcessor leaves the calling thread the first of the processors that it may use.
func pinToOneProcessor() error {
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	for n := 0; ; n++ {
		if allowed.IsSet(n) {
			var one unix.CPUSet
			one.Set(n)
			return unix.SchedSetaffinity(0, &one)
		}
	}
}
