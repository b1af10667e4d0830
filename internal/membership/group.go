// Package membership tells the processes of a fleet who its members are. Presence and failure detection are those of
// hashicorp/memberlist (SWIM). Package roster derives from them how many members share the fleet's budgets.
// docs/membership.md states what is promised.
//
// A Group has three goroutines. The owner holds the roster and publishes its view, the joiner exchanges knowledge with
// seeds and unreachable members, and the prober looks for proofs that an unreachable member is gone. The library's
// callbacks (see instance) queue what they receive for the owner and never wait.
package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"marblelane/internal/membership/roster"
	"marblelane/internal/membership/transport"
)

// ErrUnknownMember means that an operator named a process that is not known.
var ErrUnknownMember = errors.New("no such process is known")

// Group is this process's part in its fleet.
type Group struct {
	*shared
	wg        sync.WaitGroup
	closeOnce sync.Once
	closeErr  error
}

// shared is what a Group's goroutines have in common. It is set up before they start; what changes later is safe for
// concurrent use.
type shared struct {
	cfg       Config
	log       *slog.Logger
	startedAt time.Time
	transport memberlist.NodeAwareTransport
	addr      string // where others reach this process
	counters  counters
	status    *statusTable

	view    atomic.Pointer[roster.View]
	peers   atomic.Pointer[peerSnapshot]
	current atomic.Pointer[instance]
	left    atomic.Bool // this process has said that it leaves

	ctx       context.Context // ended by Close
	cancel    func()
	ownerDone chan struct{} // closed when the owner has ended

	// To the owner.
	commands chan queuedCommand
	wake     chan struct{} // an instance has something for it
	// To the joiner.
	exchanges chan exchangeRequest
	joinWake  chan struct{} // members became unreachable, or this process starts anew
	// To the prober.
	probeWake chan struct{} // members are unreachable
}

// peerSnapshot is what the owner publishes for the joiner and the prober.
type peerSnapshot struct {
	unreachable []roster.Entry
	present     []roster.Entry  // the other present processes; only set if none is reachable
	reachable   map[string]bool // by address
}

// exchangeRequest asks the joiner for a push/pull with another process.
type exchangeRequest struct{ addr string }

// Open binds the addresses and starts the group. Seeds are joined in the background, again and again; that none of them
// answers is no error.
func Open(cfg Config) (*Group, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	s := newShared(cfg)
	if s.transport == nil {
		t, err := transport.Open(transport.Config{Bind: cfg.Bind, Advertise: cfg.Advertise, Networks: cfg.Networks,
			Log: cfg.Log, OnDrop: s.counters.drop})
		if err != nil {
			return nil, fmt.Errorf("members: %w", err)
		}
		s.transport = t
	}
	o, err := startOwner(s)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("members: %w", err), s.transport.Shutdown())
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	g := &Group{shared: s}
	g.wg.Go(o.run)
	g.wg.Go(newJoiner(s).run)
	g.wg.Go(newProber(s).run)
	return g, nil
}

func newShared(cfg Config) *shared {
	s := &shared{cfg: cfg, log: cfg.Log, startedAt: time.Now(), transport: cfg.Transport, status: newStatusTable(),
		ownerDone: make(chan struct{}), commands: make(chan queuedCommand), wake: make(chan struct{}, 1),
		exchanges: make(chan exchangeRequest, 1), joinWake: make(chan struct{}, 1), probeWake: make(chan struct{}, 1)}
	s.peers.Store(&peerSnapshot{})
	s.view.Store(&roster.View{Known: cfg.Peers, Reachable: 1})
	return s
}

// advertisedAddr returns where others reach this process.
func advertisedAddr(cfg *Config, transport memberlist.NodeAwareTransport) (string, error) {
	ip, port, err := transport.FinalAdvertiseAddr("", 0)
	if at, parseErr := netip.ParseAddrPort(cfg.Advertise); parseErr == nil && cfg.Transport != nil {
		ip, port, err = transport.FinalAdvertiseAddr(at.Addr().String(), int(at.Port()))
	}
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip.String(), strconv.Itoa(port)), nil
}

// now is the group's clock: the time since Open.
func (s *shared) now() time.Duration { return time.Since(s.startedAt) }

// size returns the number of reachable members, this process included. The library retransmits broadcasts accordingly.
func (s *shared) size() int { return len(s.peers.Load().reachable) + 1 }

// View returns what this process goes by now.
func (g *Group) View() roster.View { return *g.view.Load() }

// ConfirmGone records an operator's word that a process is gone. It fails with ErrUnknownMember if the process is not
// known. A process that runs takes a new incarnation and joins again.
func (g *Group) ConfirmGone(id roster.ID) error {
	if err := checkID(id); err != nil {
		return fmt.Errorf("%s@%d: %w", id.Name, id.Start, err)
	}
	return g.do(context.Background(), confirmGone{id})
}

// Leave tells the other members that this process leaves, and sends nothing after that. It returns when this was said or
// ctx has ended. Calls after the first do nothing.
func (g *Group) Leave(ctx context.Context) error { return g.do(ctx, leaveFleet{ctx}) }

// Close ends the group without a word to the others. The library's own goroutines end with what they wait for, within a
// few intervals.
func (g *Group) Close() error {
	g.closeOnce.Do(func() {
		g.cancel()
		g.closeErr = g.transport.Shutdown() // ends the calls that joiner and prober wait for
		g.wg.Wait()
		g.current.Load().shutdown()
	})
	return g.closeErr
}

// signal wakes the receiver, unless it has a signal already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
