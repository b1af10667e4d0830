package discovery

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
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/wire"
)

const (
	// An empty line comes every 2 s. A watch with none for twice that has ended, whatever its connection
	// says: a machine that is cut off closes nothing.
	WatchTimeout = 4 * time.Second
	// A call waits in turn at discovery, which ends those that waited too long; this is for one that is
	// cut off.
	CallTimeout = 5 * time.Second
	DialTimeout = time.Second
	// A change counts as told this long after discovery had it and could be reached, whatever failed before (STANDING).
	NotifiedWithin = 6 * time.Second
	// MaxPollBackoff leaves time for the call after a pause, whose connection may not come up at first.
	MaxPollBackoff = NotifiedWithin - DialTimeout - 500*time.Millisecond
	// SilentCallPause follows a call that was given up after callWait: the call was most of the time there is, as it may have
	// begun just before discovery's return.
	SilentCallPause    = 500 * time.Millisecond
	maxLineBytes       = 16 << 20
	minLineBytes       = 1 << 20
	lineMemoryFraction = 1. / 16 // of the memory, that a line may take: it is held, and read into entries
	// Where lists are pushed, whatever the agent holds counts as told at once: in lagParts of the drain grace
	// a call that nobody answers is given up. From the agent's return to the next call it is three at most.
	pushedDelayParts = 5
	minPushedDelay   = 50 * time.Millisecond // as far as limits of time are relaxed on sockets
	// However long the grace, a watch that falls silent and the next two calls, 4 lags, are together below toldWithin.
	maxPushedDelay = (NotifiedWithin - WatchTimeout) / 5
	// The drain grace in ms that holds until the settings' own is known; pages name none that is shorter.
	initialDrainGrace = 500
)

var (
	ErrSilent      = errors.New("no line in time")
	ErrStopped     = errors.New("no line any more") // of a watch that had told something: it is broken
	errSuperseded  = errors.New("another call was answered first")
	errLineTooLong = errors.New("line too long")
	errMoved       = errors.New("discovery is at another address now")
)

// ListEvent is what a call to discovery has told.
type ListEvent struct {
	Kind       balance.ListKind
	List       endpointlist.List
	Source     int  // which list service, by preference
	FromFetch  bool // it answers a single call, not the watch
	Busy       bool // of a call that failed: the service is there
	RetryAfter float64
}

// Client carries out the module's calls for the server list. Each call or watch that fails or ends is
// reported once; when to call again is the module's decision.
type Client struct {
	client   *http.Client
	Revision atomic.Int64 // of the list held
	maxLine  int          // bytes of a line
	post     func(any)
	stop     context.CancelFunc // of the watch under way; the loop's alone
	start    func(func())

	mu         sync.Mutex
	addrs      []string                // by preference
	address    context.Context         // ends when the addresses change
	endAddress context.CancelCauseFunc // ends here

	CallTimeout, WatchTimeout time.Duration
	PushedDelay               time.Duration // where lists are pushed, between two calls, and for an answer
}

// PushedDelay is how long the agent may be silent to a call where lists are pushed, after the drain grace in ms.
func PushedDelay(grace float64) time.Duration {
	return min(max(clock.Duration(grace)/pushedDelayParts, minPushedDelay), maxPushedDelay)
}

func New(addrs []string, memoryMB int, post func(any), start func(func())) *Client {
	here, left := context.WithCancelCause(context.Background())
	d := &Client{
		addrs: addrs, address: here, endAddress: left, post: post, start: start, stop: func() {},
		CallTimeout: CallTimeout, WatchTimeout: WatchTimeout, PushedDelay: PushedDelay(initialDrainGrace), maxLine: maxLineBytes,
		// No kept connections: on a broken one the transport would call a second time by itself.
		client: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: dialReporting((&net.Dialer{Timeout: DialTimeout, KeepAlive: -1}).DialContext),
		}},
	}
	if memoryMB > 0 {
		d.maxLine = min(max(int(float64(memoryMB)*lineMemoryFraction*(1<<20)), minLineBytes), maxLineBytes)
	}
	return d
}

// Move makes all calls go to other addresses. What is under way at the old ones ends, as those may close it at
// any time or fall silent; a watch goes on at the new one with what changed since.
func (d *Client) Move(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(addrs, d.addrs) {
		return
	}
	slog.Info("discovery: address changed", "address", strings.Join(addrs, " "))
	d.endAddress(errMoved)
	if len(addrs) != len(d.addrs) {
		d.post(balance.ListServices{Count: len(addrs)})
	}
	d.addrs = addrs
	d.address, d.endAddress = context.WithCancelCause(context.Background())
}

// RejectedError is an answer that is no list.
type RejectedError struct {
	Status     string
	RetryAfter float64 // ms; 0: it does not say
}

func (t *RejectedError) Error() string { return "discovery answers " + t.Status }

// FailedEvent is the news of a call that has failed. Who lets a call wait until it is given up is there and has no time.
func FailedEvent(n ListEvent, err error) ListEvent {
	n.Kind = balance.ListFailed
	var turned *RejectedError
	if errors.As(err, &turned) {
		n.Busy, n.RetryAfter = true, turned.RetryAfter
	}
	if errors.Is(err, ErrSilent) {
		n.Busy, n.RetryAfter = true, float64(SilentCallPause.Milliseconds())/2 // the module waits for once to twice as long
	}
	return n
}

// Watch follows changes at a list service, in place of the watch before. Its failure is reported once. The module then
// pauses before it asks for the next watch; a pause is for the address that failed, so if discovery moves meanwhile the
// new address is called at once, until the module's own next watch takes over. Where this machine could not make the
// call nobody was asked: no service has failed, and the call is made again soon.
func (d *Client) Watch(ctx context.Context, source int) {
	d.stop()
	ctx, d.stop = context.WithCancel(ctx)
	d.start(func() {
		for reported := false; ctx.Err() == nil; reported = true {
			here, err := d.followWithRetry(ctx, source)
			if ctx.Err() != nil {
				return
			}
			slog.Warn("discovery: watch ended", "service", source, "error", err)
			if !reported {
				d.post(FailedEvent(ListEvent{Source: source}, err))
			}
			select {
			case <-ctx.Done():
			case <-here.Done():
			}
		}
	})
}

// followWithRetry follows a list service, and begins again while this machine cannot make the call. It gives what follow
// does.
func (d *Client) followWithRetry(ctx context.Context, source int) (context.Context, error) {
	for failures := 0; ; failures++ {
		here, err := d.follow(ctx, source)
		if ctx.Err() != nil || !netcall.LocalErrnos.Has(err) {
			return here, err
		}
		if failures == 0 {
			slog.Warn("discovery: this machine cannot make the call", "service", source, "error", err)
		}
		select {
		case <-ctx.Done():
			return here, ctx.Err()
		case <-time.After(netcall.MaxRetryPause):
		}
	}
}

// Fetch asks a list service for the whole list once.
func (d *Client) Fetch(ctx context.Context, source int) {
	d.start(func() {
		err := d.read(ctx, "", ListEvent{Source: source, FromFetch: true}, unclaimed, d.CallTimeout, d.CallTimeout)
		if err != io.EOF && ctx.Err() == nil {
			slog.Warn("discovery: list call failed", "service", source, "error", err)
			d.post(FailedEvent(ListEvent{Source: source, FromFetch: true}, err))
		}
	})
}

// Subscribe keeps a watch where lists are pushed and the module does not ask for them. The agent is local and its
// answers cost nothing, so pauses do not grow: one would begin just before the agent's return.
func (d *Client) Subscribe(ctx context.Context) {
	d.start(func() {
		for ctx.Err() == nil {
			err := d.attach(ctx)
			if err == errMoved {
				continue
			}
			slog.Warn("discovery: agent's watch ended", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(d.PushedDelay/2 + rand.N(d.PushedDelay)/2):
			}
		}
	})
}

// attach follows the first of its watches that says anything. One waits long, as a busy machine is slow to answer;
// beside it others are begun anew one after another, as one from before the agent's return may stay silent for good.
func (d *Client) attach(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var leader atomic.Int32 // the call that has said something; 0: none
	ended := make(chan error, 2)
	call := func(number int32, wait time.Duration) error {
		claim := func() bool { return leader.Load() == number || leader.CompareAndSwap(0, number) }
		return d.read(ctx, d.changes(), ListEvent{}, claim, wait, d.WatchTimeout)
	}
	const patient, eager = 1, 2
	calls.Go(func() {
		if err := call(patient, d.CallTimeout); leader.Load() != eager {
			ended <- err
		}
	})
	calls.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(d.PushedDelay):
			}
			if leader.Load() == patient {
				return
			}
			if err := call(eager, d.PushedDelay); leader.Load() == eager {
				ended <- err
				return
			}
		}
	})
	return <-ended
}

// changes is the query of a watch that tells what came after the list held.
func (d *Client) changes() string { return fmt.Sprintf("?watch=1&after=%d", d.Revision.Load()) }

// unclaimed is the claim of a call that has no other beside it.
func unclaimed() bool { return true }

// follow keeps one watch over any number of moves. It gives the context of the address that failed; if discovery moves
// just before the call, that of the address before, and the new one is called once more.
func (d *Client) follow(ctx context.Context, source int) (context.Context, error) {
	for {
		d.mu.Lock()
		here := d.address
		d.mu.Unlock()
		err := d.read(ctx, d.changes(), ListEvent{Source: source}, unclaimed, d.CallTimeout, d.WatchTimeout)
		if err != errMoved || ctx.Err() != nil {
			return here, err
		}
	}
}

// read hands on each object of an answer until it ends, as news of the call's own form, once the claim is granted. Until
// the first one is whole, the call ends when no byte comes for as long as first says, or after callWait.
func (d *Client) read(ctx context.Context, query string, form ListEvent, claim func() bool, first, next time.Duration) error {
	d.mu.Lock()
	url, here := "http://"+d.addrs[min(form.Source, len(d.addrs)-1)]+"/registry/instances"+query, d.address
	d.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(here, func() { cancel(context.Cause(here)) })()
	silent := newSilenceGuard(first, max(first, d.CallTimeout), func() { cancel(ErrSilent) })
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
		return &RejectedError{resp.Status, 1000 * seconds}
	}
	in := bufio.NewReader(resp.Body)
	told, heard := false, false // anything, a list
	for {
		text, err := d.readObject(in)
		said := err == nil || err == io.EOF && len(text) > 0
		if said && !claim() {
			return errSuperseded
		}
		switch {
		case !said:
		case len(text) > 0:
			if err := json.Unmarshal(text, &form.List); err != nil {
				return fmt.Errorf("discovery: list: %w", wire.KeyError(err))
			}
			form.Kind = balance.ListDelta
			if form.List.All {
				form.Kind = balance.ListFull
			}
			d.post(form)
			form.List = endpointlist.List{} // what was handed on is another's
			heard = true
		default:
			d.post(ListEvent{Kind: balance.ListAlive, Source: form.Source})
		}
		if err != nil {
			cause := context.Cause(ctx)
			switch {
			case cause == ErrSilent && told:
				return ErrStopped
			case cause != nil:
				return cause
			case err == io.EOF && !heard:
				return io.ErrUnexpectedEOF
			}
			return err
		}
		told = true
		silent.objectRead(next)
	}
}
