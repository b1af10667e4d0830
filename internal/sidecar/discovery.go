package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
	"marblelane/internal/wire"
)

const (
	// An empty line comes every 2 s. A watch with none for twice that has ended, whatever its connection
	// says: a machine that is cut off closes nothing.
	silence = 4 * time.Second
	// A call waits in turn at discovery, which ends those that waited too long; this is for one that is
	// cut off.
	callWait = 5 * time.Second
	dialWait = time.Second
	// A change counts as told this long after discovery had it and could be reached, whatever failed before (STANDING).
	toldWithin = 6 * time.Second
	// longestPause leaves time for the call after a pause, whose connection may not come up at first.
	longestPause = toldWithin - dialWait - 500*time.Millisecond
	// silentPause follows a call that was given up after callWait: the call was most of the time there is, as it may have
	// begun just before discovery's return.
	silentPause = 500 * time.Millisecond
	mostLine    = 16 << 20
	leastLine   = 1 << 20
	lineShare   = 1. / 16 // of the memory, that a line may take: it is held, and read into entries
	// Where lists are pushed, whatever the agent holds counts as told at once: in lagParts of the drain grace
	// a call that nobody answers is given up. From the agent's return to the next call it is three at most.
	lagParts = 5
	leastLag = 50 * time.Millisecond // as far as limits of time are relaxed on sockets
	// However long the grace, a watch that falls silent and the next two calls, 4 lags, are together below toldWithin.
	mostLag = (toldWithin - silence) / 5
	// The drain grace in ms that holds until the settings' own is known; pages name none that is shorter.
	startGrace = 500
)

var (
	errSilent  = errors.New("no line in time")
	errStopped = errors.New("no line any more") // of a watch that had told something: it is broken
	errBeaten  = errors.New("another call was answered first")
	errLineBig = errors.New("line too long")
	errMoved   = errors.New("discovery is at another address now")
)

// listEvent is what a call to discovery has told.
type listEvent struct {
	kind   balance.ListKind
	list   list
	source int  // which list service, by preference
	check  bool // it answers a single call, not the watch
	busy   bool // of a call that failed: the service is there
	wait   float64
}

// discovery carries out the module's calls for the server list. Each call or watch that fails or ends is
// reported once; when to call again is the module's decision.
type discovery struct {
	client *http.Client
	rev    atomic.Int64 // of the list held
	most   int          // bytes of a line
	post   func(any)
	stop   context.CancelFunc // of the watch under way; the loop's alone
	start  func(func())

	mu    sync.Mutex
	addrs []string                // by preference
	here  context.Context         // ends when the addresses change
	left  context.CancelCauseFunc // ends here

	callWait, silence time.Duration
	lag               time.Duration // where lists are pushed, between two calls, and for an answer
}

// lagOf is how long the agent may be silent to a call where lists are pushed, after the drain grace in ms.
func lagOf(grace float64) time.Duration { return min(max(millis(grace)/lagParts, leastLag), mostLag) }

func newDiscovery(addrs []string, memoryMB int, post func(any), start func(func())) *discovery {
	here, left := context.WithCancelCause(context.Background())
	d := &discovery{
		addrs: addrs, here: here, left: left, post: post, start: start, stop: func() {},
		callWait: callWait, silence: silence, lag: lagOf(startGrace), most: mostLine,
		// No kept connections: on a broken one the transport would call a second time by itself.
		client: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: dialReporting((&net.Dialer{Timeout: dialWait, KeepAlive: -1}).DialContext),
		}},
	}
	if memoryMB > 0 {
		d.most = min(max(int(float64(memoryMB)*lineShare*(1<<20)), leastLine), mostLine)
	}
	return d
}

// move makes all calls go to other addresses. What is under way at the old ones ends, as those may close it at
// any time or fall silent; a watch goes on at the new one with what changed since.
func (d *discovery) move(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(addrs, d.addrs) {
		return
	}
	slog.Info("discovery: address changed", "address", strings.Join(addrs, " "))
	d.left(errMoved)
	if len(addrs) != len(d.addrs) {
		d.post(balance.ListServices{Count: len(addrs)})
	}
	d.addrs = addrs
	d.here, d.left = context.WithCancelCause(context.Background())
}

// turnedAway is an answer that is no list.
type turnedAway struct {
	status string
	wait   float64 // ms; 0: it does not say
}

func (t *turnedAway) Error() string { return "discovery answers " + t.status }

// failed is the news of a call that has failed. Who lets a call wait until it is given up is there and has no time.
func failed(n listEvent, err error) listEvent {
	n.kind = balance.ListFailed
	var turned *turnedAway
	if errors.As(err, &turned) {
		n.busy, n.wait = true, turned.wait
	}
	if errors.Is(err, errSilent) {
		n.busy, n.wait = true, float64(silentPause.Milliseconds())/2 // the module waits for once to twice as long
	}
	return n
}

// watch follows changes at a list service, in place of the watch before. Its failure is reported once. The module then
// pauses before it asks for the next watch; a pause is for the address that failed, so if discovery moves meanwhile the
// new address is called at once, until the module's own next watch takes over. Where this machine could not make the
// call nobody was asked: no service has failed, and the call is made again soon.
func (d *discovery) watch(ctx context.Context, source int) {
	d.stop()
	ctx, d.stop = context.WithCancel(ctx)
	d.start(func() {
		for reported := false; ctx.Err() == nil; reported = true {
			here, err := d.retryFollow(ctx, source)
			if ctx.Err() != nil {
				return
			}
			slog.Warn("discovery: watch ended", "service", source, "error", err)
			if !reported {
				d.post(failed(listEvent{source: source}, err))
			}
			select {
			case <-ctx.Done():
			case <-here.Done():
			}
		}
	})
}

// retryFollow follows a list service, and begins again while this machine cannot make the call. It gives what follow
// does.
func (d *discovery) retryFollow(ctx context.Context, source int) (context.Context, error) {
	for failures := 0; ; failures++ {
		here, err := d.follow(ctx, source)
		if ctx.Err() != nil || !localErrnos.has(err) {
			return here, err
		}
		if failures == 0 {
			slog.Warn("discovery: this machine cannot make the call", "service", source, "error", err)
		}
		select {
		case <-ctx.Done():
			return here, ctx.Err()
		case <-time.After(longestRetryPause):
		}
	}
}

// fetch asks a list service for the whole list once.
func (d *discovery) fetch(ctx context.Context, source int) {
	d.start(func() {
		err := d.read(ctx, "", listEvent{source: source, check: true}, alone, d.callWait, d.callWait)
		if err != io.EOF && ctx.Err() == nil {
			slog.Warn("discovery: list call failed", "service", source, "error", err)
			d.post(failed(listEvent{source: source, check: true}, err))
		}
	})
}

// subscribe keeps a watch where lists are pushed and the module does not ask for them. The agent is local and its
// answers cost nothing, so pauses do not grow: one would begin just before the agent's return.
func (d *discovery) subscribe(ctx context.Context) {
	d.start(func() {
		for ctx.Err() == nil {
			err := d.attach(ctx)
			if err == errMoved {
				continue
			}
			slog.Warn("discovery: agent's watch ended", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(d.lag/2 + rand.N(d.lag)/2):
			}
		}
	})
}

// attach follows the first of its watches that says anything. One waits long, as a busy machine is slow to answer;
// beside it others are begun anew one after another, as one from before the agent's return may stay silent for good.
func (d *discovery) attach(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var leader atomic.Int32 // the call that has said something; 0: none
	ended := make(chan error, 2)
	call := func(number int32, wait time.Duration) error {
		claim := func() bool { return leader.Load() == number || leader.CompareAndSwap(0, number) }
		return d.read(ctx, d.changes(), listEvent{}, claim, wait, d.silence)
	}
	const patient, eager = 1, 2
	calls.Go(func() {
		if err := call(patient, d.callWait); leader.Load() != eager {
			ended <- err
		}
	})
	calls.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(d.lag):
			}
			if leader.Load() == patient {
				return
			}
			if err := call(eager, d.lag); leader.Load() == eager {
				ended <- err
				return
			}
		}
	})
	return <-ended
}

// changes is the query of a watch that tells what came after the list held.
func (d *discovery) changes() string { return fmt.Sprintf("?watch=1&after=%d", d.rev.Load()) }

// alone is the claim of a call that has no other beside it.
func alone() bool { return true }

// follow keeps one watch over any number of moves. It gives the context of the address that failed; if discovery moves
// just before the call, that of the address before, and the new one is called once more.
func (d *discovery) follow(ctx context.Context, source int) (context.Context, error) {
	for {
		d.mu.Lock()
		here := d.here
		d.mu.Unlock()
		err := d.read(ctx, d.changes(), listEvent{source: source}, alone, d.callWait, d.silence)
		if err != errMoved || ctx.Err() != nil {
			return here, err
		}
	}
}

// read hands on each object of an answer until it ends, as news of the call's own form, once the claim is granted. Until
// the first one is whole, the call ends when no byte comes for as long as first says, or after callWait.
func (d *discovery) read(ctx context.Context, query string, form listEvent, claim func() bool, first, next time.Duration) error {
	d.mu.Lock()
	url, here := "http://"+d.addrs[min(form.source, len(d.addrs)-1)]+"/registry/instances"+query, d.here
	d.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(here, func() { cancel(context.Cause(here)) })()
	silent := newSilenceGuard(first, max(first, d.callWait), func() { cancel(errSilent) })
	defer silent.stop()
	req, err := http.NewRequestWithContext(context.WithValue(ctx, receivedKey{}, silent.received), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || !(seconds > 0) {
			seconds = 0
		}
		return &turnedAway{resp.Status, 1000 * seconds}
	}
	in := bufio.NewReader(resp.Body)
	told, heard := false, false // anything, a list
	for {
		text, err := d.readObject(in)
		said := err == nil || err == io.EOF && len(text) > 0
		if said && !claim() {
			return errBeaten
		}
		switch {
		case !said:
		case len(text) > 0:
			if err := json.Unmarshal(text, &form.list); err != nil {
				return fmt.Errorf("discovery: list: %w", wire.KeyError(err))
			}
			form.kind = balance.ListDelta
			if form.list.All {
				form.kind = balance.ListFull
			}
			d.post(form)
			form.list = list{} // what was handed on is another's
			heard = true
		default:
			d.post(listEvent{kind: balance.ListAlive, source: form.source})
		}
		if err != nil {
			cause := context.Cause(ctx)
			switch {
			case cause == errSilent && told:
				return errStopped
			case cause != nil:
				return cause
			case err == io.EOF && !heard:
				return io.ErrUnexpectedEOF
			}
			return err
		}
		told = true
		silent.told(next)
	}
}
