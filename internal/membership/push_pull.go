package membership

import (
	"sync"
	"sync/atomic"

	"marblelane/internal/membership/roster"
)

// pushPullState is a snapshot of the roster, with the message that a push/pull carries in addition to the library's own
// list of nodes. The message holds only the entries that the list does not cover. A receiver ignores a suspected node
// of that list if it does not know the node. It learns of the node when the node is alive again or unreachable.
type pushPullState struct {
	entries    []roster.Entry
	unreported []roster.Entry // entries that the library's list does not cover
	once       sync.Once
	encoded    []byte
}

// bytes returns the message for a push/pull. The first call encodes it.
func (s *pushPullState) bytes() []byte {
	s.once.Do(func() {
		s.encoded = encodeEntries(kindEntries, s.unreported[:min(len(s.unreported), maxEntries)]...).bytes()
	})
	return s.encoded
}

// pushPullCache holds the latest snapshot. The owner rebuilds it, and instances read it.
type pushPullCache struct {
	latest   atomic.Pointer[pushPullState]
	upToDate bool // latest matches the roster; used only by the owner
}

// invalidate makes the next get rebuild the snapshot.
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
