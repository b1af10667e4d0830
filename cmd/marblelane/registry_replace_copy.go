package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode"

	"marblelane/internal/membership"
	"marblelane/internal/registry/listserver"
)

const (
	replaceRetryInterval = 100 * time.Millisecond // time between two attempts of a step
	// recentAck is the age of its last acknowledgement below which a replica counts as alive.
	recentAck = 2 * time.Second
	// outcomeTimeout limits the query for the outcome of a change that got no response.
	outcomeTimeout = 2 * time.Second
)

// registryReplaceCopy replaces a replica of the cluster with another one.
type registryReplaceCopy struct {
	replicaClient
	Old    string        `arg:"" help:"Name of the replica to remove, or of one already removed that membership knows to be gone."`
	New    string        `arg:"" help:"Name of the new replica; it must run already, started with join."`
	Raft   string        `arg:"" help:"HOST:PORT of the new replica's raft traffic."`
	Serve  string        `arg:"" help:"HOST:PORT where the new replica serves the list."`
	Force  bool          `help:"Replace the old replica even if it is alive."`
	Within time.Duration `help:"Time limit; a later run of the command continues where this one stopped." default:"1m"`
}

// errPermanent is the base of errors that a retry cannot resolve.
var errPermanent = errors.New("replace-copy")

// Run takes one step at a time, each based on the leader's current status. It may be interrupted at any step, and a
// second run continues.
func (c *registryReplaceCopy) Run(a *app) error {
	if c.Old == c.New {
		return fmt.Errorf("%w: OLD and NEW are both %q: the new replica needs another name", errPermanent, c.Old)
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
			r.printOnce("waiting for: " + pending)
		}
		select {
		case <-a.ctx.Done():
			return r.withProgress(fmt.Errorf("%w: interrupted, run again to continue", errPermanent))
		case <-ctx.Done():
			return r.withProgress(fmt.Errorf("%w: not done within %v, run again to continue; waited for: %s", errPermanent, c.Within,
				pending))
		case <-time.After(replaceRetryInterval):
		}
	}
}

// replacement is the progress of one run of replace-copy.
type replacement struct {
	*registryReplaceCopy
	a              *app
	target         uint64          // index that the new replica must have applied to get its vote; 0 means not set yet
	printed        map[string]bool // lines already printed, without their digits
	learner        learnerState
	unacknowledged bool // the new replica has acknowledged nothing to the leader
}

// learnerState is what is known of whether the new replica is a learner, a replica without a vote.
type learnerState uint8

const (
	noLearner      learnerState = iota // it is no replica, or it has a vote
	isLearner                          // the leader lists it, or has added it
	learnerUnknown                     // a change of it was requested, and the outcome is not known
)

// String returns the name of the state.
func (s learnerState) String() string {
	switch s {
	case isLearner:
		return "learner"
	case learnerUnknown:
		return "unknown"
	}
	return "no learner"
}

// printOnce prints a line once, not at each attempt. Lines that differ only in their digits count as the same.
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

// withProgress adds to an error what the replacement has changed so far and how to undo it. If the outcome of the last
// change is not known, it asks the leader first.
func (r *replacement) withProgress(err error) error {
	if err == nil {
		return nil
	}
	if r.learner == learnerUnknown {
		r.resolveOutcome()
	}
	switch r.learner {
	case isLearner:
		ackNote := ""
		if r.unacknowledged {
			ackNote = fmt.Sprintf(", and has acknowledged nothing at %s", r.Raft)
		}
		return fmt.Errorf("%w\n%s remains a replica without a vote%s; to remove it: "+
			"marblelane registry remove-copy %s --addr %s", err, r.New, ackNote, r.New, r.Addr)
	case learnerUnknown:
		return fmt.Errorf("%w\nit is not known whether %s is a replica: the last change got no response; to check: "+
			"marblelane registry status --addr %s", err, r.New, r.Addr)
	}
	return err
}

// resolveOutcome asks the leader for the outcome of a change that got no response. It stays unknown if the leader does
// not respond, or does not list the new replica: the change may still be applied.
func (r *replacement) resolveOutcome() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.a.ctx), outcomeTimeout)
	defer cancel()
	a := *r.a
	a.ctx = ctx
	query := replacement{registryReplaceCopy: r.registryReplaceCopy, a: &a}
	_, st, err := query.findLeader()
	if err != nil {
		return
	}
	if added, found := findReplica(st.Replicas, r.New); found {
		r.recordStatus(added, found)
	}
}

// recordStatus records whether the new replica is a learner according to the leader.
func (r *replacement) recordStatus(added listserver.ReplicaStatus, found bool) {
	r.learner, r.unacknowledged = noLearner, added.AckMS < 0
	if found && !added.Votes {
		r.learner = isLearner
	}
}

// recordChange records the result of a change after which the new replica is in the given state, if it was applied.
func (r *replacement) recordChange(err error, applied learnerState) {
	switch {
	case err == nil:
		r.learner = applied
	case mayHaveApplied(err):
		r.learner = learnerUnknown
	}
}

// step takes the next step of the replacement. An error that is not errPermanent is what it waits for.
func (r *replacement) step() (done bool, err error) {
	leader, st, err := r.findLeader()
	if err != nil {
		return false, err
	}
	old, oldFound := findReplica(st.Replicas, r.Old)
	added, newFound := findReplica(st.Replicas, r.New)
	r.recordStatus(added, newFound)
	switch {
	case newFound && added.Raft != r.Raft:
		return false, fmt.Errorf("%w: replica %s is at %s, not at %s", errPermanent, r.New, added.Raft, r.Raft)
	case !oldFound && added.Votes:
		return r.confirmReplaced(leader)
	case !oldFound: // the old replica is removed last, so it must still be there
		return false, fmt.Errorf("%w: %s is not a replica", errPermanent, r.Old)
	}
	if reason := aliveReason(old); reason != "" && !r.Force {
		if old.Member == membership.Gone { // the old replica has just ended; its last acknowledgement is recent
			return false, fmt.Errorf("%s to be silent: %s", r.Old, reason)
		}
		return false, fmt.Errorf("%w: %s is alive: %s; --force replaces it anyway", errPermanent, r.Old, reason)
	}
	newStatus, err := r.status(r.Serve)
	switch {
	case err != nil:
		return false, fmt.Errorf("%s is not running: %w", r.New, err)
	case newStatus.Name != r.New:
		return false, fmt.Errorf("%w: at %s runs replica %q, not %s", errPermanent, r.Serve, newStatus.Name, r.New)
	}
	switch {
	case !newFound:
		body, err := json.Marshal(listserver.Peer{Raft: r.Raft, Serve: r.Serve})
		if err != nil {
			return false, fmt.Errorf("%w: %w", errPermanent, err)
		}
		r.printOnce(fmt.Sprintf("adding %s as a learner (membership state of %s: %s)", r.New, r.Old, old.Member))
		err = r.post(leader, r.New, "/learn", body)
		r.unacknowledged = true
		r.recordChange(err, isLearner)
		return false, err
	case !added.Votes:
		if r.target == 0 {
			r.target = st.Applied
		}
		if newStatus.Applied < r.target || newStatus.Leader == "" {
			return false, fmt.Errorf("%s to catch up with what is committed", r.New)
		}
		r.printOnce(r.New + " has caught up, adding it as a voter")
		err = r.post(leader, r.New, "/promote", nil)
		r.recordChange(err, noLearner)
		return false, err
	}
	r.printOnce(r.Old + " is being removed")
	if err := r.post(leader, r.Old, "/retire", nil); err != nil {
		return false, err
	}
	return r.finish() // no further query: the replica at --addr may be the old one, which no longer knows a leader
}

// finish prints that the replacement is complete.
func (r *replacement) finish() (bool, error) {
	fmt.Fprintf(r.a.out, "%s has replaced %s\n", r.New, r.Old)
	return true, nil
}

// confirmReplaced distinguishes a replacement that an earlier run has completed from a wrong name. The cluster keeps no
// record of a removed replica. OLD was one if the leader's membership lists it with the role list as gone or silent.
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
				wasReplica = m.State == membership.Gone || m.State == membership.Unreachable
			}
		}
		if wasReplica {
			return r.finish()
		}
	}
	return false, fmt.Errorf("%w: nothing to do: %s is not a replica, nor one that membership knows to be gone, and %s is "+
		"already a voter", errPermanent, r.Old, r.New)
}

// aliveReason returns why a replica counts as alive, or an empty string if it does not.
func aliveReason(c listserver.ReplicaStatus) string {
	switch {
	case c.Member == membership.Alive, c.Member == membership.Suspected:
		return "membership state " + string(c.Member)
	case c.AckMS >= 0 && c.AckMS < recentAck.Milliseconds():
		return fmt.Sprintf("it acknowledged the leader %d ms ago", c.AckMS)
	}
	return ""
}

// findReplica returns the replica of this name.
func findReplica(all []listserver.ReplicaStatus, name string) (listserver.ReplicaStatus, bool) {
	i := slices.IndexFunc(all, func(c listserver.ReplicaStatus) bool { return c.Name == name })
	if i < 0 {
		return listserver.ReplicaStatus{}, false
	}
	return all[i], true
}

// findLeader requests the leader's address from the replica at --addr, and the status from the leader.
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

// status requests the status of the replica at addr.
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

// post sends a membership change of the replica name to the leader at addr.
func (r *replacement) post(addr, name, action string, body []byte) error {
	client := replicaClient{Addr: addr, Wait: r.Wait}
	response, err := client.call(r.a, "POST", "/registry/copies/"+url.PathEscape(name)+action, body)
	if err == nil {
		return response.Close()
	}
	if hasStatus(err, http.StatusNotFound) {
		return fmt.Errorf("%w: the leader runs an earlier version: %w", errPermanent, err)
	}
	return err
}
