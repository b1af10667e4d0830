// Package membership maintains the list of a fleet's members in each of its processes. Gossip and failure detection are
// those of hashicorp/memberlist (SWIM), called the library below. Package roster derives from them how many members
// share the fleet's budgets. docs/membership.md states the guarantees.
//
// The failure detector alone never declares a member gone: an unreachable process may still run and use its quota. A
// member is gone, that is no longer counted, once there is a proof that its process has ended (roster.Proof).
//
// A Group has three goroutines. The owner holds the roster and publishes its view. The joiner exchanges the full state
// (memberlist's push/pull) with seeds and unreachable members. The prober looks for proofs that unreachable members
// have ended. The library's callbacks (see instance) queue what they receive for the owner and never block.
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

// ErrUnknownMember means that the process named in a request is not in the roster.
var ErrUnknownMember = errors.New("no such process is known")

// Group is this process's membership in its fleet.
type Group struct {
	*shared
	wg        sync.WaitGroup
	closeOnce sync.Once
	closeErr  error
}

// shared is the state that a Group's goroutines share. It is initialized before they start. Fields that change later
// are safe for concurrent use.
type shared struct {
	cfg       Config
	log       *slog.Logger
	startedAt time.Time
	transport memberlist.NodeAwareTransport
	addr      string // IP:PORT at which other members reach this process
	counters  counters
	status    *statusTable

	view    atomic.Pointer[roster.View]
	peers   atomic.Pointer[peerSnapshot]
	current atomic.Pointer[instance]
	hasLeft atomic.Bool // true once Leave was called

	ctx       context.Context // cancelled by Close
	cancel    func()
	ownerDone chan struct{} // closed when the owner's goroutine has ended

	// Inputs of the owner.
	commands  chan queuedCommand
	ownerWake chan struct{} // an instance has changes or messages for the owner
	// Inputs of the joiner.
	exchanges chan exchangeRequest
	joinWake  chan struct{} // members became unreachable, or this process rejoins
	// Input of the prober.
	probeWake chan struct{} // there are unreachable members
}

// peerSnapshot is the state of the other processes that the owner publishes for the joiner and the prober.
type peerSnapshot struct {
	unreachable []roster.Entry
	present     []roster.Entry  // all other present processes; set only if none is reachable
	reachable   map[string]bool // whether a member is reachable, by address
}

// exchangeRequest requests a push/pull with the process at addr from the joiner.
type exchangeRequest struct{ addr string }

// Open binds the addresses and starts the group. It joins the seeds in the background and retries until they are
// reachable. Unreachable seeds are no error.
func Open(cfg Config) (*Group, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	s := newShared(cfg)
	if s.transport == nil {
		t, err := transport.Open(transport.Config{Bind: cfg.Bind, Advertise: cfg.Advertise, Networks: cfg.Networks,
			Log: cfg.Log, OnDrop: s.counters.countDrop})
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
		ownerDone: make(chan struct{}), commands: make(chan queuedCommand), ownerWake: make(chan struct{}, 1),
		exchanges: make(chan exchangeRequest, 1), joinWake: make(chan struct{}, 1), probeWake: make(chan struct{}, 1)}
	s.peers.Store(&peerSnapshot{})
	s.view.Store(&roster.View{Known: cfg.Peers, Reachable: 1})
	return s
}

// advertisedAddr returns the IP:PORT at which other members reach this process.
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

// now returns the time since Open, which is the group's clock.
func (s *shared) now() time.Duration { return time.Since(s.startedAt) }

// reachableCount returns the number of reachable members, this process included. The library derives from it how often
// it retransmits a broadcast.
func (s *shared) reachableCount() int { return len(s.peers.Load().reachable) + 1 }

// View returns this process's current view of the fleet.
func (g *Group) View() roster.View { return *g.view.Load() }

// ConfirmGone marks a process gone that an operator has confirmed to have ended. It fails with ErrUnknownMember if the
// process is not known. A process that still runs takes a new incarnation and rejoins.
func (g *Group) ConfirmGone(id roster.ID) error {
	if err := checkID(id); err != nil {
		return fmt.Errorf("%s@%d: %w", id.Name, id.Start, err)
	}
	return g.runOnOwner(context.Background(), confirmGone{id})
}

// Leave notifies the other members that this process leaves, and sends nothing after that. It returns when the
// notification was sent or ctx has ended. Calls after the first do nothing.
func (g *Group) Leave(ctx context.Context) error { return g.runOnOwner(ctx, leaveFleet{ctx}) }

// Close ends the group without notifying the other members. The library's own goroutines end when their pending calls
// return, within a few intervals.
func (g *Group) Close() error {
	g.closeOnce.Do(func() {
		g.cancel()
		g.closeErr = g.transport.Shutdown() // unblocks the joiner's and the prober's pending calls
		g.wg.Wait()
		g.current.Load().shutdown()
	})
	return g.closeErr
}

// wakeUp signals the receiver of c, unless a signal is pending.
func wakeUp(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
