package transport

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

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// smallLimits are limits small enough for a test to reach.
var smallLimits = limits{maxPacketBytes: 100, maxStreamBytes: 1000, maxStreams: 2, slotTimeout: time.Minute,
	idleTimeout: time.Minute, streamLifetime: time.Minute}

// openTestTransport returns a transport and a channel that receives the reason of each drop.
func openTestTransport(t *testing.T, bind string, l limits, networks ...string) (*Transport, <-chan string) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	drops := make(chan string, 1000)
	cfg := Config{Bind: bind, OnDrop: func(reason string) { drops <- reason }}
	for _, n := range networks {
		cfg.Networks = append(cfg.Networks, netip.MustParsePrefix(n))
	}
	tr, err := openWithLimits(cfg, l)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, tr.Shutdown()) })
	return tr, drops
}

func mustDial(t *testing.T, tr *Transport) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", tr.bound.String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// requireClosed waits until the remote end of a connection closes it.
func requireClosed(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := io.Copy(io.Discard, c)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestTransportAddresses(t *testing.T) {
	a, _ := openTestTransport(t, "127.0.0.9:0", defaultLimits)
	b, _ := openTestTransport(t, "127.0.0.8:0", defaultLimits)
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
	accepted := <-b.StreamCh()
	defer accepted.Close()
	assert.Equal(t, "127.0.0.9", accepted.RemoteAddr().(*net.TCPAddr).IP.String(), "connections use the bound address")
	require.NoError(t, b.Shutdown())
	_, err = a.DialTimeout(b.bound.String(), time.Minute)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.IsType(t, &net.OpError{}, err, "the library detects a failure of the remote end by this type")

	for _, c := range []struct{ bind, advertise, network, text string }{
		{a.bound.String(), "", "", "address already in use"},
		{"127.0.0.9", "", "", "missing port"},
		{"0.0.0.0:0", "", "", "no IP address to advertise"},
		{"127.0.0.9:0", "10.0.0.1:1", "127.0.0.0/8", "10.0.0.1:1 is not in any of the networks"},
	} {
		cfg := Config{Bind: c.bind, Advertise: c.advertise}
		if c.network != "" {
			cfg.Networks = []netip.Prefix{netip.MustParsePrefix(c.network)}
		}
		_, err := Open(cfg)
		require.ErrorContains(t, err, c.text)
	}
}

// The transport neither accepts data from an address outside the networks nor sends to it.
func TestTransportNetworks(t *testing.T) {
	tr, drops := openTestTransport(t, "127.0.0.9:0", smallLimits, "127.0.0.8/29")
	stranger, _ := openTestTransport(t, "127.0.0.1:0", defaultLimits)
	_, err := stranger.WriteTo([]byte("hello"), tr.bound.String())
	require.NoError(t, err)
	assert.Equal(t, droppedNetwork, <-drops)
	c, err := stranger.DialTimeout(tr.bound.String(), time.Minute)
	require.NoError(t, err)
	requireClosed(t, c)
	c.Close()
	assert.Equal(t, droppedNetwork, <-drops)
	_, err = tr.WriteTo([]byte("hello"), stranger.bound.String())
	require.ErrorContains(t, err, "is not in any of the networks")
	_, err = tr.DialTimeout(stranger.bound.String(), time.Minute)
	require.ErrorContains(t, err, "is not in any of the networks")
	assert.Len(t, drops, 2)
	member, _ := openTestTransport(t, "127.0.0.10:0", defaultLimits)
	_, err = member.WriteTo([]byte("hello"), tr.bound.String())
	require.NoError(t, err)
	assert.Equal(t, member.bound.String(), (<-tr.PacketCh()).From.String(), "the first accepted packet")
	c, err = member.DialTimeout(tr.bound.String(), time.Minute)
	require.NoError(t, err)
	defer c.Close()
	assert.Equal(t, c.LocalAddr().String(), (<-tr.StreamCh()).RemoteAddr().String())
}

func TestTransportPackets(t *testing.T) {
	tr, drops := openTestTransport(t, "127.0.0.9:0", smallLimits)
	from, _ := openTestTransport(t, "127.0.0.8:0", defaultLimits)
	compound := func(typ byte) []byte {
		return append([]byte("\xf4\x05fleet\x0c...."), typeCompound, 2, 0, 1, 0, 2, 3, typ, 0)
	}
	for _, b := range [][]byte{make([]byte, 101), {}, make([]byte, 5000), {typeCompressed}, compound(typeCompressed),
		compound(typeCompound), {typeCompound}, {typeCompound, 9, 0}, compound(typeUser), make([]byte, 100)} {
		_, err := from.WriteTo(b, tr.bound.String())
		require.NoError(t, err)
	}
	assert.Len(t, (<-tr.PacketCh()).Buf, len(compound(0)), "compound message of the form that members send")
	assert.Len(t, (<-tr.PacketCh()).Buf, 100)
	for _, reason := range []string{droppedTooLong, droppedEmpty, droppedTooLong, droppedOversized, droppedOversized, droppedOversized,
		droppedOversized, droppedOversized} {
		assert.Equal(t, reason, <-drops)
	}
	_, err := tr.WriteTo(make([]byte, 101), from.bound.String())
	require.ErrorContains(t, err, "101 bytes exceed the limit of 100")
}

// A stream is closed when it exceeds the limits on idle time, lifetime, bytes or announced sizes, regardless of the
// deadline that its user set.
func TestTransportStreams(t *testing.T) {
	send := func(text string) func(net.Conn) error {
		return func(c net.Conn) error { _, err := io.WriteString(c, text); return err }
	}
	for _, c := range []struct {
		reason string
		limit  func(l *limits)
		send   func(c net.Conn) error
	}{
		{droppedIdle, func(l *limits) { l.idleTimeout = 10 * time.Millisecond }, func(net.Conn) error { return nil }},
		{droppedLifetime, func(l *limits) { l.streamLifetime = 10 * time.Millisecond }, func(net.Conn) error { return nil }},
		{droppedTooLong, func(*limits) {}, send(string(make([]byte, 5000)))},
		{droppedOversized, func(*limits) {}, send("\xf4\x05fleet\x09")},
		{droppedOversized, func(*limits) {}, send("\x06\x81\xa5Nodes\xce\x00\x01\x00\x00")},
		{droppedOversized, func(*limits) {}, send("\x06\x93\x01\xcd\x03\xe9\xc3")},
		{droppedOversized, func(*limits) {}, send("\x08\x81\xaaUserMsgLen\xcd\x03\xe9")},
	} {
		l := smallLimits
		c.limit(&l)
		tr, drops := openTestTransport(t, "127.0.0.9:0", l)
		caller := mustDial(t, tr)
		require.NoError(t, c.send(caller))
		s := <-tr.StreamCh()
		require.NoError(t, s.SetDeadline(time.Now().Add(time.Hour)))
		n, err := io.Copy(io.Discard, s)
		require.Error(t, err, c.reason)
		assert.LessOrEqual(t, n, tr.maxStreamBytes)
		assert.Equal(t, c.reason, <-drops)
		requireClosed(t, caller)
	}
	tr, drops := openTestTransport(t, "127.0.0.9:0", smallLimits)
	mustDial(t, tr)
	s := <-tr.StreamCh()
	require.NoError(t, s.SetDeadline(time.Now()))
	_, err := s.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the user's own deadline")
	_, err = s.Write(make([]byte, 1001))
	require.ErrorIs(t, err, errStreamTooLong)
	require.ErrorIs(t, s.Close(), net.ErrClosed)
	assert.Equal(t, droppedTooLong, <-drops)
	assert.Empty(t, drops)
}

// If maxStreams are open, a new stream waits for a slot, and is dropped if none is free within slotTimeout.
func TestTransportSlots(t *testing.T) {
	tr, drops := openTestTransport(t, "127.0.0.9:0", smallLimits)
	var open []net.Conn
	for range smallLimits.maxStreams {
		mustDial(t, tr)
		open = append(open, <-tr.StreamCh())
	}
	mustDial(t, tr)
	require.NoError(t, open[0].Close())
	<-tr.StreamCh()
	assert.Empty(t, drops)
	l := smallLimits
	l.slotTimeout = time.Millisecond
	tr, drops = openTestTransport(t, "127.0.0.9:0", l)
	for range l.maxStreams {
		mustDial(t, tr)
		<-tr.StreamCh()
	}
	requireClosed(t, mustDial(t, tr))
	assert.Equal(t, droppedNoSlot, <-drops)
}

// Shutdown ends all blocked operations: delivery to the library, waiting for a slot, and reads from the remote end.
func TestTransportShutdown(t *testing.T) {
	tr, _ := openTestTransport(t, "127.0.0.9:0", smallLimits)
	remote, _ := openTestTransport(t, "127.0.0.8:0", smallLimits)
	_, err := remote.WriteTo([]byte("not received"), tr.bound.String())
	require.NoError(t, err)
	for range smallLimits.maxStreams {
		mustDial(t, tr)
		go io.Copy(io.Discard, <-tr.StreamCh()) // ends when the stream is closed
	}
	mustDial(t, tr)
	outgoing, err := tr.DialTimeout(remote.bound.String(), time.Minute)
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := outgoing.Read(make([]byte, 1))
		done <- err
	}()
	require.NoError(t, tr.Shutdown())
	require.Error(t, <-done)
	_, err = tr.DialTimeout(remote.bound.String(), time.Minute)
	require.Error(t, err)
	require.NoError(t, tr.Shutdown())
}

// Members join each other while another address sends random data.
func TestTransportCarriesMemberlist(t *testing.T) {
	var all []*memberlist.Memberlist
	var at []*Transport
	for i := range 3 {
		tr, _ := openTestTransport(t, fmt.Sprintf("127.0.0.%d:0", 7+i), defaultLimits)
		c := memberlist.DefaultLocalConfig()
		c.Name, c.Transport, c.Label, c.Logger = fmt.Sprint(i), tr, "fleet", log.New(io.Discard, "", 0)
		c.EnableCompression = false
		c.ProbeInterval, c.GossipInterval = 50*time.Millisecond, 10*time.Millisecond
		m, err := memberlist.Create(c)
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, m.Shutdown()) })
		all, at = append(all, m), append(at, tr)
	}
	stranger, _ := openTestTransport(t, "127.0.0.6:0", defaultLimits)
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
			_, _ = io.Copy(c, bytes.NewReader(junk)) // the transport may close the connection before the end
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

// Failed reads of packets are retried after delays that grow to 100 ms, and their log lines are rate-limited.
func TestTransportReadFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		tr := &Transport{ctx: t.Context(), log: slog.New(slog.NewTextHandler(&text, nil))}
		failures := readFailures{backoff: retry.NewBackoff()}
		start := time.Now()
		for range 35 {
			assert.True(t, tr.waitAfterReadFailure(&failures, unix.ENOBUFS))
		}
		assert.Equal(t, 155*time.Millisecond+30*100*time.Millisecond, time.Since(start))
		assert.Equal(t, 1, strings.Count(text.String(), "\n"), "lines in 3.2 s: %s", text.String())
	})
}
