package routeclient

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/route"
)

// TestReport_concurrentAttempts verifies that no attempt starts under a revision before the acknowledged one after the
// report was made, and that the report counts all attempts started before.
func TestReport_concurrentAttempts(t *testing.T) {
	client := newLeasedClient(t, 1, time.Hour)
	const last = 200
	var started [last + 1]atomic.Int64
	var attempts sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		attempts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				rev := client.Status().ActingRev
				if under, ok := client.StartAttempt(rev, "a", true); ok {
					started[under].Add(1)
				}
			}
		})
	}
	final := map[int64]int64{}
	for rev := int64(2); rev <= last; rev++ {
		client.SetActingRev(rev)
		for _, count := range client.makeReport(rev, route.LeaderTime{}).Counts {
			if count.Rev < rev {
				if earlier, known := final[count.Rev]; known {
					require.Equal(t, earlier, count.Started, "attempts started under revision %d after a report", count.Rev)
				}
				final[count.Rev] = count.Started
			}
		}
	}
	close(stop)
	attempts.Wait()
	for rev := int64(1); rev < last; rev++ {
		require.Equal(t, started[rev].Load(), final[rev], "revision %d", rev)
	}
}

// TestSampleRing_full verifies that a full ring drops and counts the oldest sample, and keeps its NeedsUnits.
func TestSampleRing_full(t *testing.T) {
	client := newLeasedClient(t, 1, time.Hour)
	client.StartAttempt(1, "a", true)
	for i := range int64(sampleRingSize + 3) {
		counts := []route.Count{{Rev: 1, Tenant: "a", Canary: true, Ended: i}}
		client.OfferSample(Sample{ListRev: i, NeedsUnits: i == 1, Counts: counts})
	}
	oldest, newest := client.samples.items[client.samples.first], client.samples.items[(client.samples.first+7)%8]
	require.Equal(t, []int64{3, 10}, []int64{oldest.ListRev, newest.ListRev})
	r := client.makeReport(1, route.LeaderTime{})
	require.Equal(t, []int64{3, 10}, []int64{r.LostSamples, r.ListRev})
	require.Equal(t, []route.Count{{Rev: 1, Tenant: "a", Canary: true, Started: 1, Ended: 10}}, r.Counts)
	require.True(t, client.needsUnits)
}

// TestCounts_droppedOnceReceived verifies that counts of old revisions are kept until the leader has received them, and
// that newer tables are rejected while counts of too many revisions are kept.
func TestCounts_droppedOnceReceived(t *testing.T) {
	client := newLeasedClient(t, 1, time.Hour)
	rev := int64(0)
	for range maxRevs {
		rev++
		require.NoError(t, client.offerTable(&route.Table{Rev: rev}))
		client.SetActingRev(rev)
		_, ok := client.StartAttempt(rev, "a", false)
		require.True(t, ok)
	}
	r := client.makeReport(1, route.LeaderTime{})
	require.Len(t, r.Counts, maxRevs)
	require.ErrorIs(t, client.offerTable(&route.Table{Rev: rev + 1}), errTooManyRevisions)
	client.dropReceivedCounts(&r)
	require.NoError(t, client.offerTable(&route.Table{Rev: rev + 1}))
	retained := client.makeReport(2, route.LeaderTime{}).Counts
	require.Len(t, retained, minRetainedRevs)
	require.Equal(t, rev-minRetainedRevs+1, retained[0].Rev)
}

// TestReport_boundedCounts verifies that with many tenants a report contains only the newest revisions and has
// CountsTruncated set, and that the counts of older revisions are dropped.
func TestReport_boundedCounts(t *testing.T) {
	client := newLeasedClient(t, 1, time.Hour)
	for rev := int64(1); rev <= 2*maxRevs; rev++ {
		require.NoError(t, client.offerTable(&route.Table{Rev: rev}), "revision %d", rev)
		client.SetActingRev(rev)
		for tenant := range 200 {
			_, ok := client.StartAttempt(rev, fmt.Sprint("tenant-", tenant), false)
			require.True(t, ok)
		}
		r := client.makeReport(rev, route.LeaderTime{})
		require.LessOrEqual(t, len(r.Counts), maxCounts)
		require.Equal(t, rev, r.Counts[len(r.Counts)-1].Rev)
		require.Equal(t, rev > maxCounts/200, r.CountsTruncated)
		client.dropReceivedCounts(&r)
	}
	require.LessOrEqual(t, len(client.revisions), minRetainedRevs+1)
}
