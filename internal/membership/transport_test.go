package membership

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"marblelane/internal/retry"
)

// tight are limits that a test can reach.
var tight = limits{packet: 100, stream: 1000, streams: 2, turn: time.Minute, idle: time.Minute, life: time.Minute}

// opened gives a transport, and why it dropped what it dropped, in order.
func opened(t *testing.T, bind string, l limits, networks ...string) (*transport, <-chan string) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	d := make(chan string, 1000)
	cfg := transportConfig{Bind: bind, Dropped: func(why string) { d <- why }}
	for _, n := range networks {
		cfg.Networks = append(cfg.Networks, netip.MustParsePrefix(n))
	}
	tr, err := openTransport(cfg, l)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, tr.Shutdown()) })
	return tr, d
}

func mustDial(t *testing.T, tr *transport) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", tr.bound.String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// ended waits for the other end of a connection to close it.
func ended(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := io.Copy(io.Discard, c)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestTransportAddresses(t *testing.T) {
	a, _ := opened(t, "127.0.0.9:0", defaultLimits)
	b, _ := opened(t, "127.0.0.8:0", defaultLimits)
	assert.Equal(t, a.tcp.Addr().(*net.TCPAddr).Port, a.udp.LocalAddr().(*net.UDPAddr).Port)
	ip, port, err := a.FinalAdvertiseAddr("10.9.9.9", 7)
	require.NoError(t, err)
	assert.Equal(t, a.TransportAddr().String(), fmt.Sprintf("%v:%d", ip, port))

	_, err = a.WriteToAddress([]byte("hello"), memberlist.Address{Addr: b.bound.String()})
	require.NoError(t, err)
	assert.Equal(t, a.bound.String(), (<-b.PacketCh()).From.String())
	c, err := a.DialAddressTimeout(memberlist.Address{Addr: b.bound.String()}, time.Minute)
	require.NoError(t, err)
	defer c.Close()
	its := <-b.StreamCh()
	defer its.Close()
	assert.Equal(t, "127.0.0.9", its.RemoteAddr().(*net.TCPAddr).IP.String(), "callers are told by their address")
	require.NoError(t, b.Shutdown())
	_, err = a.DialTimeout(b.bound.String(), time.Minute)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.IsType(t, &net.OpError{}, err, "the library tells the other end's failure by this type")

	for _, c := range []struct{ bind, advertise, network, says string }{
		{a.bound.String(), "", "", "address already in use"},
		{"127.0.0.9", "", "", "missing port"},
		{"0.0.0.0:0", "", "", "an address is needed"},
		{"127.0.0.9:0", "10.0.0.1:1", "127.0.0.0/8", "10.0.0.1:1 lies in none of the networks"},
	} {
		cfg := transportConfig{Bind: c.bind, Advertise: c.advertise}
		if c.network != "" {
			cfg.Networks = []netip.Prefix{netip.MustParsePrefix(c.network)}
		}
		_, err := newTransport(cfg)
		require.ErrorContains(t, err, c.says)
	}
}

// Who is in none of the networks is heard by nobody, nor called.
func TestTransportNetworks(t *testing.T) {
	tr, d := opened(t, "127.0.0.9:0", tight, "127.0.0.8/29")
	stranger, _ := opened(t, "127.0.0.1:0", defaultLimits)
	_, err := stranger.WriteTo([]byte("hello"), tr.bound.String())
	require.NoError(t, err)
	assert.Equal(t, droppedNetwork, <-d)
	c, err := stranger.DialTimeout(tr.bound.String(), time.Minute)
	require.NoError(t, err)
	ended(t, c)
	c.Close()
	assert.Equal(t, droppedNetwork, <-d)
	_, err = tr.WriteTo([]byte("hello"), stranger.bound.String())
	require.ErrorContains(t, err, "lies in none of the networks")
	_, err = tr.DialTimeout(stranger.bound.String(), time.Minute)
	require.ErrorContains(t, err, "lies in none of the networks")
	assert.Len(t, d, 2)
	friend, _ := opened(t, "127.0.0.10:0", defaultLimits)
	_, err = friend.WriteTo([]byte("hello"), tr.bound.String())
	require.NoError(t, err)
	assert.Equal(t, friend.bound.String(), (<-tr.PacketCh()).From.String(), "the first that comes through")
	c, err = friend.DialTimeout(tr.bound.String(), time.Minute)
	require.NoError(t, err)
	defer c.Close()
	assert.Equal(t, c.LocalAddr().String(), (<-tr.StreamCh()).RemoteAddr().String())
}

func TestTransportPackets(t *testing.T) {
	tr, d := opened(t, "127.0.0.9:0", tight)
	from, _ := opened(t, "127.0.0.8:0", defaultLimits)
	part := func(typ byte) []byte {
		return append([]byte("\xf4\x05fleet\x0c...."), typeCompound, 2, 0, 1, 0, 2, 3, typ, 0)
	}
	for _, b := range [][]byte{make([]byte, 101), {}, make([]byte, 5000), {typeCompressed}, part(typeCompressed),
		part(typeCompound), {typeCompound}, {typeCompound, 9, 0}, part(typeUser), make([]byte, 100)} {
		_, err := from.WriteTo(b, tr.bound.String())
		require.NoError(t, err)
	}
	assert.Len(t, (<-tr.PacketCh()).Buf, len(part(0)), "as members send it")
	assert.Len(t, (<-tr.PacketCh()).Buf, 100)
	for _, why := range []string{droppedLong, droppedEmpty, droppedLong, droppedSwollen, droppedSwollen, droppedSwollen,
		droppedSwollen, droppedSwollen} {
		assert.Equal(t, why, <-d)
	}
	_, err := tr.WriteTo(make([]byte, 101), from.bound.String())
	require.ErrorContains(t, err, "longer than 100")
}

// A stream ends by its silence, by its age and by its length, whatever its user waits for.
func TestTransportStreams(t *testing.T) {
	send := func(text string) func(net.Conn) error {
		return func(c net.Conn) error { _, err := io.WriteString(c, text); return err }
	}
	for _, c := range []struct {
		why   string
		limit func(l *limits)
		send  func(c net.Conn) error
	}{
		{droppedIdle, func(l *limits) { l.idle = 10 * time.Millisecond }, func(net.Conn) error { return nil }},
		{droppedLate, func(l *limits) { l.life = 10 * time.Millisecond }, func(net.Conn) error { return nil }},
		{droppedLong, func(*limits) {}, send(string(make([]byte, 5000)))},
		{droppedSwollen, func(*limits) {}, send("\xf4\x05fleet\x09")},
		{droppedSwollen, func(*limits) {}, send("\x06\x81\xa5Nodes\xce\x00\x01\x00\x00")},
		{droppedSwollen, func(*limits) {}, send("\x06\x93\x01\xcd\x03\xe9\xc3")},
		{droppedSwollen, func(*limits) {}, send("\x08\x81\xaaUserMsgLen\xcd\x03\xe9")},
	} {
		l := tight
		c.limit(&l)
		tr, d := opened(t, "127.0.0.9:0", l)
		caller := mustDial(t, tr)
		require.NoError(t, c.send(caller))
		s := <-tr.StreamCh()
		require.NoError(t, s.SetDeadline(time.Now().Add(time.Hour)))
		n, err := io.Copy(io.Discard, s)
		require.Error(t, err, c.why)
		assert.LessOrEqual(t, n, tr.stream)
		assert.Equal(t, c.why, <-d)
		ended(t, caller)
	}
	tr, d := opened(t, "127.0.0.9:0", tight)
	mustDial(t, tr)
	s := <-tr.StreamCh()
	require.NoError(t, s.SetDeadline(time.Now()))
	_, err := s.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "its user's own deadline")
	_, err = s.Write(make([]byte, 1001))
	require.ErrorIs(t, err, errLong)
	require.ErrorIs(t, s.Close(), net.ErrClosed)
	assert.Equal(t, droppedLong, <-d)
	assert.Empty(t, d)
}

// Beyond as many streams as there may be a caller waits for its turn, and is turned away when that does not come.
func TestTransportTurns(t *testing.T) {
	tr, d := opened(t, "127.0.0.9:0", tight)
	var open []net.Conn
	for range tight.streams {
		mustDial(t, tr)
		open = append(open, <-tr.StreamCh())
	}
	mustDial(t, tr)
	require.NoError(t, open[0].Close())
	<-tr.StreamCh()
	assert.Empty(t, d)
	l := tight
	l.turn = time.Millisecond
	tr, d = opened(t, "127.0.0.9:0", l)
	for range l.streams {
		mustDial(t, tr)
		<-tr.StreamCh()
	}
	ended(t, mustDial(t, tr))
	assert.Equal(t, droppedStreams, <-d)
}

// Shutdown ends what waits: for a library that takes nothing, for a turn, for the other end.
func TestTransportShutdown(t *testing.T) {
	tr, _ := opened(t, "127.0.0.9:0", tight)
	full, _ := opened(t, "127.0.0.8:0", tight)
	_, err := full.WriteTo([]byte("nobody takes it"), tr.bound.String())
	require.NoError(t, err)
	for range tight.streams {
		mustDial(t, tr)
		go io.Copy(io.Discard, <-tr.StreamCh()) // ends when the stream is closed
	}
	mustDial(t, tr)
	out, err := tr.DialTimeout(full.bound.String(), time.Minute)
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := out.Read(make([]byte, 1))
		done <- err
	}()
	require.NoError(t, tr.Shutdown())
	require.Error(t, <-done)
	_, err = tr.DialTimeout(full.bound.String(), time.Minute)
	require.Error(t, err)
	require.NoError(t, tr.Shutdown())
}

// The library works over it while a stranger to the protocol sends it whatever it can.
func TestTransportCarriesMemberlist(t *testing.T) {
	var all []*memberlist.Memberlist
	var at []*transport
	for i := range 3 {
		tr, _ := opened(t, fmt.Sprintf("127.0.0.%d:0", 7+i), defaultLimits)
		c := memberlist.DefaultLocalConfig()
		c.Name, c.Transport, c.Label, c.Logger = fmt.Sprint(i), tr, "fleet", log.New(io.Discard, "", 0)
		c.EnableCompression = false
		c.ProbeInterval, c.GossipInterval = 50*time.Millisecond, 10*time.Millisecond
		m, err := memberlist.Create(c)
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, m.Shutdown()) })
		all, at = append(all, m), append(at, tr)
	}
	stranger, _ := opened(t, "127.0.0.6:0", defaultLimits)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 300 {
		junk := append([]byte("\xf4\x05fleet"), byte(i%16))
		for range 1 + rng.IntN(2000) {
			junk = append(junk, byte(rng.Uint32()))
		}
		_, err := stranger.WriteTo(junk, at[0].bound.String())
		require.NoError(t, err)
		if i%10 == 0 {
			c := mustDial(t, at[0])
			_, _ = io.Copy(c, bytes.NewReader(junk)) // it may be closed before the end
			c.Close()
		}
	}
	for _, m := range all[1:] {
		_, err := m.Join([]string{at[0].bound.String()})
		require.NoError(t, err)
	}
	for _, m := range all {
		require.Eventually(t, func() bool { return m.NumMembers() == len(all) }, 20*time.Second, 5*time.Millisecond)
	}
}

// Packets that cannot be read are tried again, at intervals that grow to 100 ms, and the log stays short.
func TestTransportReadFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		tr := &transport{ctx: t.Context(), log: slog.New(slog.NewTextHandler(&text, nil))}
		failures := readFailures{backoff: retry.NewBackoff()}
		began := time.Now()
		for range 35 {
			assert.True(t, tr.pause(&failures, unix.ENOBUFS))
		}
		assert.Equal(t, 155*time.Millisecond+30*100*time.Millisecond, time.Since(began))
		assert.Equal(t, 1, strings.Count(text.String(), "\n"), "lines in 3.2 s: %s", text.String())
	})
}
