package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode"

	"marblelane/internal/membership"
	"marblelane/internal/registry/listserver"
)

const (
	replaceRetryInterval = 100 * time.Millisecond // between two looks
	// recentAck is how lately a copy must have acknowledged something for it to be at work.
	recentAck = 2 * time.Second
)

// registryReplaceCopy puts a copy in another one's place.
type registryReplaceCopy struct {
	replicaClient
	Old    string        `arg:"" help:"Name of the copy that goes, or that went and that membership knows to be gone."`
	New    string        `arg:"" help:"Name of the one that comes; it runs already, started with join."`
	Raft   string        `arg:"" help:"HOST:PORT where the new one talks to the other copies."`
	Serve  string        `arg:"" help:"HOST:PORT where the new one serves."`
	Force  bool          `help:"Also if the old copy is alive."`
	Within time.Duration `help:"How long it may take; asked for again it goes on where it was." default:"1m"`
}

// errPermanent reports what no later attempt can change.
var errPermanent = errors.New("replace-copy")

// Run takes one step after the other, each from the leader's status at that time: so it may end anywhere, and a second
// run continues.
func (c *registryReplaceCopy) Run(a *app) error {
	if c.Old == c.New {
		return fmt.Errorf("%w: OLD and NEW are both %q: a copy comes back under another name", errPermanent, c.Old)
	}
	ctx, cancel := context.WithTimeout(a.ctx, c.Within)
	defer cancel()
	b := *a
	b.ctx = ctx
	r := replacement{registryReplaceCopy: c, a: &b, printed: map[string]bool{}}
	pending := ""
	for {
		done, err := r.step()
		if done || errors.Is(err, errPermanent) {
			return r.withProgress(err)
		}
		if err != nil && ctx.Err() == nil {
			pending = err.Error()
			r.printOnce("waits: " + pending)
		}
		select {
		case <-a.ctx.Done():
			return r.withProgress(fmt.Errorf("%w: ended before it was done, ask again to go on", errPermanent))
		case <-ctx.Done():
			return r.withProgress(fmt.Errorf("%w: not done within %v, ask again to go on; it waited for: %s", errPermanent, c.Within,
				pending))
		case <-time.After(replaceRetryInterval):
		}
	}
}

// replacement is a replacement under way.
type replacement struct {
	*registryReplaceCopy
	a              *app
	target         uint64          // what the new copy has to have applied; 0: not looked at yet
	printed        map[string]bool // lines, without their figures
	learnerAdded   bool            // the new copy may be one without a vote
	unacknowledged bool            // ... and has acknowledged nothing to the leader
}

// printOnce prints a line once, not at each attempt; numbers in it may change meanwhile.
func (r *replacement) printOnce(line string) {
	key := strings.Map(func(c rune) rune {
		if unicode.IsDigit(c) {
			return -1
		}
		return c
	}, line)
	if !r.printed[key] {
		r.printed[key] = true
		fmt.Fprintln(r.a.out, line)
	}
}

// withProgress adds to an error what the replacement has changed so far.
func (r *replacement) withProgress(err error) error {
	if err == nil || !r.learnerAdded {
		return err
	}
	mute := ""
	if r.unacknowledged {
		mute = fmt.Sprintf(", and has acknowledged nothing at %s", r.Raft)
	}
	return fmt.Errorf("%w\n%s stays as a copy without a vote%s; to take it away: "+
		"marblelane registry remove-copy %s --addr %s", err, r.New, mute, r.New, r.Addr)
}

// step takes the next step, if it can be taken yet.
func (r *replacement) step() (done bool, err error) {
	leader, st, err := r.findLeader()
	if err != nil {
		return false, err
	}
	old, oldFound := findReplica(st.Replicas, r.Old)
	added, newFound := findReplica(st.Replicas, r.New)
	r.learnerAdded, r.unacknowledged = newFound && !added.Votes, added.AckMS < 0
	switch {
	case newFound && added.Raft != r.Raft:
		return false, fmt.Errorf("%w: copy %s is at %s, not at %s", errPermanent, r.New, added.Raft, r.Raft)
	case !oldFound && added.Votes:
		return r.confirmReplaced(leader)
	case !oldFound: // it goes last
		return false, fmt.Errorf("%w: %s is no copy", errPermanent, r.Old)
	}
	if reason := aliveReason(old); reason != "" && !r.Force {
		if old.Member == membership.Removed { // just now
			return false, fmt.Errorf("%s to be silent: %s", r.Old, reason)
		}
		return false, fmt.Errorf("%w: %s is at work, %s; --force replaces it all the same", errPermanent, r.Old, reason)
	}
	newStatus, err := r.status(r.Serve)
	switch {
	case err != nil:
		return false, fmt.Errorf("%s does not run: %w", r.New, err)
	case newStatus.Name != r.New:
		return false, fmt.Errorf("%w: at %s answers copy %q, not %s", errPermanent, r.Serve, newStatus.Name, r.New)
	}
	switch {
	case !newFound:
		body, err := json.Marshal(listserver.Peer{Raft: r.Raft, Serve: r.Serve})
		if err != nil {
			return false, fmt.Errorf("%w: %w", errPermanent, err)
		}
		r.printOnce(fmt.Sprintf("%s learns (membership says of %s: %s)", r.New, r.Old, old.Member))
		err = r.post(leader, r.New, "/learn", body)
		r.learnerAdded, r.unacknowledged = err == nil || !strings.Contains(err.Error(), " 409 "), true
		return false, err
	case !added.Votes:
		if r.target == 0 {
			r.target = st.Applied
		}
		if newStatus.Applied < r.target || newStatus.Leader == "" {
			return false, fmt.Errorf("%s to catch up with what is committed", r.New)
		}
		r.printOnce(r.New + " has caught up and gets its vote")
		return false, r.post(leader, r.New, "/promote", nil)
	}
	r.printOnce(r.Old + " goes")
	if err := r.post(leader, r.Old, "/retire", nil); err != nil {
		return false, err
	}
	return r.finish() // the copy that is queried may be the old one, which knows no leader any more
}

func (r *replacement) finish() (bool, error) {
	fmt.Fprintf(r.a.out, "%s is in the place of %s\n", r.New, r.Old)
	return true, nil
}

// confirmReplaced distinguishes a replacement that has been done before from a wrong name. The cluster keeps nothing of a copy that
// went; it was one if the leader's membership knows it as a list copy that is not there any more.
func (r *replacement) confirmReplaced(leader string) (bool, error) {
	client := replicaClient{Addr: leader, Wait: r.Wait}
	if body, err := client.call(r.a, "GET", "/members", nil); err == nil {
		defer body.Close()
		var report membership.Report
		if err := json.NewDecoder(body).Decode(&report); err != nil {
			return false, fmt.Errorf("%s: members: %w", leader, err)
		}
		wasReplica := false
		for _, m := range report.Members {
			if m.Name == r.Old && m.Role == "list" {
				wasReplica = m.State == membership.Removed || m.State == membership.Unreachable
			}
		}
		if wasReplica {
			return r.finish()
		}
	}
	return false, fmt.Errorf("%w: nothing to do: %s is no copy, nor one that membership knows to have gone, and %s has "+
		"its vote", errPermanent, r.Old, r.New)
}

// aliveReason tells why a copy is taken for alive; empty: it is not.
func aliveReason(c listserver.ReplicaStatus) string {
	switch {
	case c.Member == membership.Alive, c.Member == membership.Suspected:
		return "membership says " + string(c.Member)
	case c.AckMS >= 0 && c.AckMS < recentAck.Milliseconds():
		return fmt.Sprintf("it answered the leader %d ms ago", c.AckMS)
	}
	return ""
}

func findReplica(all []listserver.ReplicaStatus, name string) (listserver.ReplicaStatus, bool) {
	i := slices.IndexFunc(all, func(c listserver.ReplicaStatus) bool { return c.Name == name })
	if i < 0 {
		return listserver.ReplicaStatus{}, false
	}
	return all[i], true
}

// findLeader gets the leader from the copy, and the status from the leader.
func (r *replacement) findLeader() (string, *listserver.Status, error) {
	st, err := r.status(r.Addr)
	if err != nil || st.Leads {
		return r.Addr, st, err
	}
	if st.Leader == "" {
		return "", nil, errors.New("a leader")
	}
	leader := st.Leader
	if st, err = r.status(leader); err == nil && !st.Leads {
		err = errors.New("a leader")
	}
	return leader, st, err
}

func (r *replacement) status(addr string) (*listserver.Status, error) {
	client := replicaClient{Addr: addr, Wait: r.Wait}
	body, err := client.call(r.a, "GET", "/registry/status", nil)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	var st listserver.Status
	if err := json.NewDecoder(body).Decode(&st); err != nil {
		return nil, fmt.Errorf("%s: status: %w", addr, err)
	}
	return &st, nil
}

func (r *replacement) post(addr, name, action string, body []byte) error {
	client := replicaClient{Addr: addr, Wait: r.Wait}
	response, err := client.call(r.a, "POST", "/registry/copies/"+url.PathEscape(name)+action, body)
	if err == nil {
		return response.Close()
	}
	if strings.Contains(err.Error(), " 404 ") {
		return fmt.Errorf("%w: the leader is of an earlier version: %w", errPermanent, err)
	}
	return err
}
