// Package membership lets the processes of a fleet tell each other that they are there. Who is there comes from
// hashicorp/memberlist; what follows from it for how much one process may take is package roster's. docs/membership.md
// says what is promised.
//
// Each duty has one goroutine: the owner has the roster and says what changed, the joiner looks for others, the prober
// for proofs that a silent process is gone. The library's callbacks hand over what they are told and wait for nothing.
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
)

const (
	askEvery  = 200 * time.Millisecond // a newcomer asks those that have not acknowledged it
	askForced = time.Second            // the same once it counts itself in, though some have not
	askMost   = 16                     // of them at a time, or a fifth of the fleet where most know the same
	askFew    = 4                      // where most know something else: it is too early to ask all
	tellEvery = time.Second            // Changed is told at least so often
	queueMost = 1024                   // entries that wait to be told on; the rest goes by push/pull
	twinAfter = 10 * time.Second       // two processes of one name side by side are twins; an upgrade lasts less
	// With one whose knowledge differs all of it is exchanged, at most so often: more and more seldom while it goes on
	// to differ, and not while news come in, but for so long at most.
	exchangeEvery  = 500 * time.Millisecond
	exchangeSeldom = 8 * time.Second
	exchangeForced = 10 * time.Second
	exchangeQuiet  = 20 * time.Millisecond
	exchangeBy     = 500 * time.Millisecond

	// All is looked at no sooner than so long after the last time, for each process that is known: in a second at most
	// some thousands of them, however many messages come.
	lookEach   = time.Millisecond
	leaveMost  = 2 * time.Second        // for what a process says when it leaves
	leaveLeast = 100 * time.Millisecond // ... and no less, where there is that much
	byeMost    = 300 * time.Millisecond // for what it says when it takes a new start

	// A start is raised above that of a silent process of the same name at most so often, by a process that began at most
	// so many intervals ago, where the other has been silent for so many.
	raiseMost  = 3
	riseWithin = 60
	riseAfter  = 5
)

// ErrUnknown is an operator's word about a process that is not known.
var ErrUnknown = errors.New("no such process is known")

// Group is this process's part in its fleet.
type Group struct {
	cfg     Config
	log     *slog.Logger
	began   time.Time
	inner   memberlist.NodeAwareTransport
	addr    string // where others reach this process
	meta    meta
	queue   memberlist.TransmitLimitedQueue
	told    atomic.Pointer[knowledge]
	ring    ring
	current atomic.Pointer[instance]
	figures figures

	view  atomic.Pointer[roster.View]
	peers atomic.Pointer[peerSnapshot]
	left  atomic.Bool

	ctx       context.Context
	cancel    func()
	wg        sync.WaitGroup
	ended     chan struct{} // the owner has ended
	wake      chan struct{}
	tasks     chan func()
	exchanges chan string // addresses to exchange all that is known with
	joinWake  chan struct{}
	probeWake chan struct{}
	closing   sync.Once
	closeErr  error

	mu      sync.Mutex
	changed chan struct{}       // closed at a change
	marks   map[roster.ID]*mark // the owner alone changes them
	changes uint64
	self    roster.ID // zero: nothing was looked at yet

	// The owner's own.
	roster     *roster.Roster
	live       map[roster.ID]*liveNode
	listened   *instance     // whose nodes live is
	fresh      bool          // told is what the roster has
	stale      bool          // something has changed since all was looked at
	beside     bool          // several processes of one name live: they may turn out to be twins
	pass       uint64        // counts the times that all was looked at
	looked     time.Duration // when all was looked at
	asked      time.Duration
	wanted     bool                        // somebody has not acknowledged this process
	same       int                         // acknowledgements since, by those that know the same
	differ     int                         // ... and something else
	differs    time.Duration               // since when an exchange is wanted; 0: none is
	exchangeAt time.Duration               // when the next one that is wanted may be
	pause      time.Duration               // after the next one
	news       time.Duration               // when the roster changed
	untold     map[roster.ID]time.Duration // whom only messages told of, and when
	toldAt     time.Duration               // Changed was told
	raises     int
	met        time.Duration  // when another process was first heard; 0: none was
	later      time.Duration  // since when a later process of this name is known and not heard; 0: none is
	asking     []roster.Entry // who is to be acknowledged
}

// peerSnapshot is what joiner and prober go by.
type peerSnapshot struct {
	silent []roster.Entry
	living []roster.Entry  // others, where nobody is heard
	heard  map[string]bool // addresses
}

// Open binds and begins. Seeds are joined in the background, again and again; that none is there is no error.
func Open(cfg Config) (*Group, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	g := &Group{cfg: cfg, log: cfg.Log, began: time.Now(), ended: make(chan struct{}), wake: make(chan struct{}, 1),
		tasks: make(chan func()), exchanges: make(chan string, 1), joinWake: make(chan struct{}, 1),
		probeWake: make(chan struct{}, 1), changed: make(chan struct{}), marks: map[roster.ID]*mark{},
		live: map[roster.ID]*liveNode{}, untold: map[roster.ID]time.Duration{}, stale: true, looked: -time.Hour,
		meta: meta{Name: cfg.Name, Start: cfg.Start, Zone: cfg.Zone, Role: cfg.Role, Version: cfg.Version,
			Observer: cfg.Observer}}
	g.ring.most = ringWeight
	g.queue = memberlist.TransmitLimitedQueue{RetransmitMult: 4, NumNodes: g.size}
	g.peers.Store(&peerSnapshot{})
	g.view.Store(&roster.View{Known: cfg.Peers, Reachable: 1})
	if g.inner = cfg.Transport; g.inner == nil {
		t, err := newTransport(transportConfig{Bind: cfg.Bind, Advertise: cfg.Advertise, Networks: cfg.Networks,
			Log: cfg.Log, Dropped: g.figures.drop})
		if err != nil {
			return nil, fmt.Errorf("members: %w", err)
		}
		g.inner = t
	}
	if err := g.begin(); err != nil {
		return nil, errors.Join(fmt.Errorf("members: %w", err), g.inner.Shutdown())
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.wg.Go(g.own)
	g.wg.Go(g.join)
	g.wg.Go(g.probe)
	return g, nil
}

// begin starts the library and the roster.
func (g *Group) begin() error {
	ip, port, err := g.inner.FinalAdvertiseAddr("", 0)
	if at, perr := netip.ParseAddrPort(g.cfg.Advertise); perr == nil && g.cfg.Transport != nil {
		ip, port, err = g.inner.FinalAdvertiseAddr(at.Addr().String(), int(at.Port()))
	}
	if err != nil {
		return err
	}
	g.addr = net.JoinHostPort(ip.String(), strconv.Itoa(port))
	id := roster.ID{Name: g.cfg.Name, Start: g.cfg.Start}
	g.roster = roster.New(0, roster.Options{Self: id, Addr: g.addr, Observer: g.cfg.Observer, Peers: g.cfg.Peers,
		AdmitWithin: g.cfg.AdmitWithin})
	g.entries()
	return g.become(id)
}

func (g *Group) now() time.Duration { return time.Since(g.began) }

// size is of the fleet, for how often an entry is told on.
func (g *Group) size() int { return len(g.peers.Load().heard) + 1 }

// do has the owner run f; ErrClosed if it has ended.
func (g *Group) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	task := func() { defer close(done); f() }
	select {
	case g.tasks <- task:
	case <-g.ended:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done // the owner runs what it has taken
	return nil
}

// View is what this process goes by now.
func (g *Group) View() roster.View { return *g.view.Load() }

// Told is an operator's word that a process is gone. ErrUnknown if it is not known; one that lives comes back as a
// newcomer.
func (g *Group) Told(id roster.ID) error {
	err := checkID(id)
	if err != nil {
		return err
	}
	derr := g.do(context.Background(), func() {
		if g.left.Load() {
			err = net.ErrClosed
			return
		}
		if _, known := g.roster.Find(id); !known {
			err = ErrUnknown
			return
		}
		g.log.Warn("members: an operator says that a process is gone", "name", id.Name, "start", id.Start)
		g.merge(g.now(), gone(id, roster.ProofOperator))
		g.turnNow()
	})
	if err != nil {
		return fmt.Errorf("%s@%d: %w", id.Name, id.Start, err)
	}
	return derr
}

// Leave says that this process leaves, and tells nobody anything after. It waits until that was said, or ctx ends. Only
// the first call does.
func (g *Group) Leave(ctx context.Context) error {
	return g.do(ctx, func() {
		if g.left.Swap(true) {
			return
		}
		within := leaveMost
		if by, ok := ctx.Deadline(); ok {
			within = max(min(within, time.Until(by)), time.Millisecond)
		}
		i := g.current.Load()
		self := roster.Entry{Name: i.id.Name, Start: i.id.Start, Gone: i.id.Start, Proof: roster.ProofLeft, Addr: g.addr,
			Observer: g.cfg.Observer}
		g.queue.Reset()
		g.merge(g.now(), self)
		g.looked = -time.Hour
		g.publish(g.now()) // it takes no part any more before anybody counts it out
		text := encodeEntries(kindEntries, self).bytes()
		bye := func() {
			for id, n := range g.live {
				g.send(i, id, n.addr, text)
			}
		}
		bye()
		if !i.lease.over.Load() { // else its library has ended, and could not begin again
			// Two rounds of gossip are enough: all that are heard were told above.
			within = min(within, max(within/2, leaveLeast))
			if err := i.list.Leave(within); err != nil {
				g.log.Debug("members: leave", "error", err) // it was told to some; they tell it on
			}
			bye() // packets are lost now and then
			i.end()
		}
		_ = g.inner.Shutdown()
		g.log.Info("members: left", "name", i.id.Name, "start", i.id.Start)
	})
}

// Close ends it without a word to the others. The library's own goroutines end with what they wait for, within a few
// intervals.
func (g *Group) Close() error {
	g.closing.Do(func() {
		g.cancel()
		g.closeErr = g.inner.Shutdown() // ends the calls that joiner and prober wait for
		g.wg.Wait()
		g.current.Load().end()
	})
	return g.closeErr
}

// own is the owner's goroutine.
func (g *Group) own() {
	defer close(g.ended)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case f := <-g.tasks:
			f()
			continue
		case <-g.wake:
		case <-tick.C:
		}
		g.turn()
		next := max(g.toldAt+tellEvery-g.now(), tellEvery/100)
		if g.left.Load() {
			next = tellEvery
		} else if v := g.View(); !v.Admitted || g.wanted && !v.Forced {
			next = min(next, askEvery)
		}
		if g.stale {
			next = min(next, max(g.looked+g.lookPause()-g.now(), time.Millisecond))
		}
		tick.Reset(next)
	}
}

// lookPause is how long all is not looked at again.
func (g *Group) lookPause() time.Duration {
	return min(lookEach*time.Duration(len(g.marks)), tellEvery)
}

// due reports whether to look at all.
func (g *Group) due(now time.Duration) bool {
	since := now - g.looked
	return g.stale && since >= g.lookPause() || (g.beside || g.later > 0) && since >= tellEvery*9/10
}

// turnNow is a turn that looks at all, whenever that was done last.
func (g *Group) turnNow() {
	g.looked = -time.Hour
	g.turn()
}

// turn takes in all that has come and does what follows.
func (g *Group) turn() {
	if g.left.Load() {
		return
	}
	now := g.now()
	messages := g.ring.take()
	g.listen(now) // whom the library tells of before a message does is not told on
	for _, m := range messages {
		g.take(now, m)
	}
	g.retell(now)
	g.part(now)
	if g.due(now) {
		g.replace(now)
		g.rise(now)
	}
	g.rename()
	every := askEvery
	if g.View().Forced {
		every = askForced
	}
	if now-g.asked >= every {
		g.asked = now
		g.ask()
	}
	g.publish(now)
	g.acknowledge()
}

// acknowledge tells those that asked that they are known here, and counted: that was published before.
func (g *Group) acknowledge() {
	for _, e := range g.asking {
		ack := message{Kind: kindAck, By: ident(g.roster.Self()), To: ident(idOf(e)), Digest: g.roster.Digest()}
		g.send(g.current.Load(), idOf(e), e.Addr, ack.bytes())
	}
	g.asking = nil
}

// listen takes in what the failure detector says.
func (g *Group) listen(now time.Duration) {
	i := g.current.Load()
	if i != g.listened {
		i.touch(g.live)
		g.listened = i
	}
	for _, c := range i.changes() {
		was := g.live[c.id]
		if was == nil && c.node == nil {
			continue
		}
		g.fresh, g.stale = false, true
		if c.node != nil {
			g.live[c.id] = c.node
			if n := c.node; was == nil {
				e := g.room([]roster.Entry{{Name: c.id.Name, Start: c.id.Start, Addr: n.addr, Observer: n.meta.Observer}})
				if g.merge(now, e...); len(e) > 0 {
					g.roster.SetReachable(now, c.id, true)
				}
			}
			continue
		}
		delete(g.live, c.id)
		g.roster.SetReachable(now, c.id, false)
		if g.cfg.Defect == DefectTrustDetector {
			g.merge(now, gone(c.id, roster.ProofOperator))
		}
	}
}

func idOf(e roster.Entry) roster.ID { return roster.ID{Name: e.Name, Start: e.Start} }

// gone is the entry that proves a process gone.
func gone(id roster.ID, p roster.Proof) roster.Entry {
	return roster.Entry{Name: id.Name, Start: id.Start, Gone: id.Start, Proof: p}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
