package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func openPair(t *testing.T, rules Rules) (*Network, *Port, *Port) {
	n := New(7, rules)
	var ports [2]*Port
	for i := range ports {
		p, err := n.Open(Addr(i + 1))
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, p.Shutdown()) })
		ports[i] = p
	}
	return n, ports[0], ports[1]
}

// sendAndReceive sends one packet and returns its delay, or -1 if it did not arrive within a minute.
func sendAndReceive(t *testing.T, from, to *Port) time.Duration {
	sent, err := from.WriteTo([]byte("hello"), to.Addr().String())
	require.NoError(t, err)
	select {
	case p := <-to.PacketCh():
		assert.Equal(t, from.Addr().String(), p.From.String())
		return p.Timestamp.Sub(sent)
	case <-time.After(time.Minute):
		return -1
	}
}

func TestPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := openPair(t, Rules{Delay: 5 * time.Millisecond, Jitter: time.Millisecond})
		_, err := n.Open(a.Addr())
		require.ErrorContains(t, err, "address in use")
		for range 20 {
			assert.InDelta(t, 5.5, sendAndReceive(t, a, b).Seconds()*1000, 0.5)
		}
		n.SetLink(a.Addr(), b.Addr(), Rules{Cut: true})
		assert.Negative(t, sendAndReceive(t, a, b), "the direction is cut")
		assert.Positive(t, sendAndReceive(t, b, a), "the other direction is not cut")
		n.Heal()
		for _, partitions := range []map[netip.AddrPort]int{{a.Addr(): 1}, {b.Addr(): 1}} {
			n.Partition(partitions)
			assert.Negative(t, sendAndReceive(t, a, b))
			assert.Negative(t, sendAndReceive(t, b, a))
		}
		n.Partition(map[netip.AddrPort]int{a.Addr(): 1, b.Addr(): 1})
		assert.Positive(t, sendAndReceive(t, a, b), "both in one partition")
		n.Heal()
		n.SetHostDown(b.Addr(), true)
		assert.Negative(t, sendAndReceive(t, a, b))
		n.SetHostDown(b.Addr(), false)
		assert.Positive(t, sendAndReceive(t, a, b))
		c := a.Counts()
		assert.Equal(t, Counts{SentPackets: 26, SentBytes: 130, LostPackets: 4, ReceivedPackets: 1, ReceivedBytes: 5}, c)
	})
}

// The same seed loses the same packets, and the lost fraction is that of the rules.
func TestLossIsSeeded(t *testing.T) {
	lost := func(seed uint64) (out []int) {
		n := New(seed, Rules{Loss: 0.3})
		a, err := n.Open(Addr(1))
		require.NoError(t, err)
		b, err := n.Open(Addr(2))
		require.NoError(t, err)
		for i := range 2000 {
			_, err := a.WriteTo([]byte{1}, b.Addr().String())
			require.NoError(t, err)
			select {
			case <-b.PacketCh():
			default:
				out = append(out, i)
			}
		}
		return out
	}
	one := lost(1)
	assert.InDelta(t, 600, len(one), 80)
	assert.Equal(t, one, lost(1))
	assert.NotEqual(t, one, lost(2))
}

func TestStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := openPair(t, Rules{Delay: 10 * time.Millisecond})
		started := time.Now()
		local, err := a.DialTimeout(b.Addr().String(), time.Second)
		require.NoError(t, err)
		assert.Equal(t, 20*time.Millisecond, time.Since(started))
		remote := <-b.StreamCh()
		assert.Equal(t, a.Addr().String(), remote.RemoteAddr().String())
		sent := bytes.Repeat([]byte("x"), 3<<20) // more than maxBufferedBytes
		go func() {
			for part := range slices.Chunk(sent, 64<<10) {
				_, err := local.Write(part)
				assert.NoError(t, err)
			}
			assert.NoError(t, local.Close())
		}()
		n.SetLink(a.Addr(), b.Addr(), Rules{Cut: true})
		require.NoError(t, remote.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = remote.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "blocked by the cut")
		n.Heal()
		require.NoError(t, remote.SetDeadline(time.Time{}))
		got, err := io.ReadAll(remote)
		require.NoError(t, err)
		assert.Len(t, got, len(sent))
		_, err = remote.Write([]byte("y"))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.NoError(t, remote.Close())
		assert.EqualValues(t, len(sent), b.Counts().ReceivedBytes)
	})
}

func TestDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := openPair(t, Rules{})
		dial := func(to netip.AddrPort) (net.Conn, error) { return a.DialTimeout(to.String(), 10*time.Second) }
		_, err := dial(Addr(99))
		require.ErrorIs(t, err, syscall.ECONNREFUSED, "no port listens")
		var op *net.OpError
		require.True(t, errors.As(err, &op) && op.Op == "dial", "the form of error that memberlist treats as a failure of the remote member")
		n.SetLink(b.Addr(), a.Addr(), Rules{Cut: true})
		_, err = dial(b.Addr())
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the opposite direction is cut")
		n.Heal()
		n.SetLink(a.Addr(), b.Addr(), Rules{RejectDials: true})
		_, err = dial(b.Addr())
		require.ErrorIs(t, err, syscall.ECONNREFUSED, "refused although the port listens")
		n.Heal()
		n.SetHostDown(b.Addr(), true)
		_, err = dial(b.Addr())
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a host that is down does not refuse")
		n.SetHostDown(b.Addr(), false)
		for range backlog {
			_, err = dial(b.Addr())
			require.NoError(t, err)
		}
		_, err = dial(b.Addr())
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the backlog is full")
		s := <-b.StreamCh()
		blocked := make(chan error)
		go func() {
			_, err := s.Read(make([]byte, 1))
			blocked <- err
		}()
		require.NoError(t, a.Shutdown())
		require.ErrorIs(t, <-blocked, syscall.ECONNRESET)
		_, err = dial(b.Addr())
		require.ErrorIs(t, err, net.ErrClosed)
		assert.EqualValues(t, 2, a.Counts().RejectedDials)
	})
}

// join retries joining, because some packets are lost.
func join(t *testing.T, m *memberlist.Memberlist) {
	for range 10 {
		if _, err := m.Join([]string{Addr(0).String()}); err == nil {
			return
		}
	}
	t.Fatal("join failed 10 times")
}

// memberlist works on the simulated network: members join, notice a closed port, and recover from a partition.
func TestMemberlist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 12
		n := New(1, Rules{Loss: 0.05, Delay: time.Millisecond})
		var all []*memberlist.Memberlist
		partitions := map[netip.AddrPort]int{}
		for i := range count {
			p, err := n.Open(Addr(i))
			require.NoError(t, err)
			partitions[Addr(i)] = i % 2
			c := memberlist.DefaultLocalConfig()
			c.Name, c.Transport, c.Logger = fmt.Sprint(i), p, log.New(io.Discard, "", 0)
			m, err := memberlist.Create(c)
			require.NoError(t, err)
			all = append(all, m)
			join(t, m)
		}
		await := func(alive int, of []*memberlist.Memberlist) {
			for end := time.Now().Add(5 * time.Minute); ; time.Sleep(100 * time.Millisecond) {
				agree := true
				for _, m := range of {
					agree = agree && m.NumMembers() == alive
				}
				if agree {
					return
				}
				require.True(t, time.Now().Before(end), "members do not agree on %d live members within 5 minutes", alive)
			}
		}
		await(count, all)
		n.Partition(partitions)
		await(count/2, all)
		n.Heal()
		for _, m := range all[1:] {
			join(t, m)
		}
		await(count, all)
		require.NoError(t, all[count-1].Shutdown())
		await(count-1, all[:count-1])
		for _, m := range all {
			require.NoError(t, m.Shutdown())
		}
		time.Sleep(time.Minute) // simulated time: the library's last probes end by timeout
	})
}
