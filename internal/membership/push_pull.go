package membership

import (
	"sync"
	"sync/atomic"

	"marblelane/internal/membership/roster"
)

// pushPullState is a snapshot of all entries, and what a push/pull says of them beside the library's own list of nodes:
// only entries that the list does not cover. A receiver ignores a suspected node of that list that it does not know; it
// learns of the node when it is alive again or unreachable.
type pushPullState struct {
	entries    []roster.Entry
	unreported []roster.Entry // those that the library's list does not cover
	once       sync.Once
	encoded    []byte
}

// bytes returns the message of the push/pull. It is encoded at the first call.
func (s *pushPullState) bytes() []byte {
	s.once.Do(func() {
		s.encoded = encodeEntries(kindEntries, s.unreported[:min(len(s.unreported), maxEntries)]...).bytes()
	})
	return s.encoded
}

// pushPullCache holds the latest snapshot. The owner rebuilds it; instances read it.
type pushPullCache struct {
	latest   atomic.Pointer[pushPullState]
	upToDate bool // latest is up to date; only for the owner
}

func (c *pushPullCache) invalidate() { c.upToDate = false }

// get returns the snapshot, rebuilt if it is out of date.
func (c *pushPullCache) get(build func() *pushPullState) *pushPullState {
	if !c.upToDate {
		c.latest.Store(build())
		c.upToDate = true
	}
	return c.latest.Load()
}

// load returns the latest snapshot, or nil if none was built.
func (c *pushPullCache) load() *pushPullState { return c.latest.Load() }
