package report

import (
	"fmt"
	"io"
	"marblelane/internal/lab/scenario"
	"slices"
	"strings"
	"time"
)

// MembersResult is what the members of a run knew of each other, and how fast.
type MembersResult struct {
	Processes     int     `json:"processes"`  // processes whose status was requested
	Answers       int     `json:"answers"`    // status reports received
	MaxQuotaSum   float64 `json:"most_taken"` // greatest sum of the quotas; 1 is the fleet's total
	MaxQuotaSumAt float64 `json:"taken_at_s"` // time of MaxQuotaSum, in seconds
	// Deaths are processes that ended without leaving. Noticed and CountedOut are the times from a death until each
	// remaining process reported the dead one as unreachable, and until it no longer counted it.
	Deaths     int   `json:"deaths"`
	Noticed    Times `json:"noticed"`
	CountedOut Times `json:"counted_out"`
	Left       Times `json:"left"` // time from SIGTERM of a leaving process until another process no longer counted it
	// FalseSilent counts reports of a running process as unreachable (state "silent"). UnexplainedSilent counts those of
	// them that no freeze and no cut explains. FalseGone counts reports of a running process as proved gone.
	FalseSilent       int      `json:"false_silent"`
	UnexplainedSilent int      `json:"false_deaths"`
	FalseGone         int      `json:"false_gone"`
	FalseExamples     []string `json:"false_ones"` // first reports counted in UnexplainedSilent, as text
	Changes           int      `json:"changes"`    // changes of the members that a process counts, over all processes
	// AgreeMS is the time in ms from the last event that changes the group until all processes counted the same number of
	// members. -1 means that they did not within the run.
	AgreeMS        float64 `json:"agree_ms"`
	JoiningMembers int     `json:"newcomers"` // processes that joined during the run
	Admitted       Times   `json:"admitted"`  // time from when a joining member served until it was admitted
	Forced         int     `json:"forced"`    // processes admitted by timeout, although not all members knew them
	Known          [2]int  `json:"known"`     // least and greatest number of members that a process counted at the end
	Reachable      [2]int  `json:"heard"`     // least and greatest number of members that a process could reach at the end
}

// Times is the distribution of a duration over all its cases, in milliseconds.
type Times struct {
	Cases     int             `json:"cases"`
	Never     int             `json:"never"` // cases that were not complete at the end of the run
	P50       float64         `json:"p50_ms"`
	P99       float64         `json:"p99_ms"`
	Max       float64         `json:"max_ms"`
	Durations []time.Duration `json:"-"` // durations of the complete cases; sorted by Summarize
}

// Add counts a case that took d. ok is false if the case was not complete at the end of the run.
func (t *Times) Add(d time.Duration, ok bool) {
	if t.Cases++; !ok {
		t.Never++
		return
	}
	t.Durations = append(t.Durations, d)
}

// Summarize computes the percentiles of the cases that were added.
func (t *Times) Summarize() {
	slices.Sort(t.Durations)
	at := func(q float64) float64 {
		if len(t.Durations) == 0 {
			return 0
		}
		return float64(t.Durations[int(q*float64(len(t.Durations)-1)+0.5)]) / float64(time.Millisecond)
	}
	t.P50, t.P99, t.Max = at(0.5), at(0.99), at(1)
}

// String returns the number of cases and their percentiles.
func (t Times) String() string {
	text := fmt.Sprintf("%d cases, p50 %.0f  p99 %.0f  max %.0f ms", t.Cases, t.P50, t.P99, t.Max)
	if t.Never > 0 {
		text += fmt.Sprintf(" (%d not within the run)", t.Never)
	}
	return text
}

// MissedExpectations returns the expectations of members that the run did not meet.
func (o *MembersResult) MissedExpectations(e *scenario.Expect) []string {
	var out []string
	if o.Answers == 0 {
		out = append(out, "no process reported its membership status")
	}
	if e.Members != nil && (o.Known[0] != *e.Members || o.Known[1] != *e.Members) {
		out = append(out, fmt.Sprintf("processes count %d to %d members at the end, expected %d", o.Known[0], o.Known[1], *e.Members))
	}
	for _, one := range []struct {
		name string
		want *scenario.Duration
		t    *Times
	}{
		{"noticed", e.DetectWithin, &o.Noticed}, {"counted_out", e.RemoveWithin, &o.CountedOut}, {"admitted", e.AdmitWithin, &o.Admitted},
	} {
		if one.want != nil && (one.t.Cases == 0 || one.t.Never > 0 || one.t.Max > one.want.Milliseconds()) {
			out = append(out, fmt.Sprintf("%s: %v, expected at most %v", one.name, *one.t, one.want.Duration()))
		}
	}
	if e.ConvergeWithin != nil && (o.AgreeMS < 0 || o.AgreeMS > e.ConvergeWithin.Milliseconds()) {
		out = append(out, fmt.Sprintf("processes agree on the members after %.0f ms (-1: not within the run), expected at most %v",
			o.AgreeMS, e.ConvergeWithin.Duration()))
	}
	return out
}

// print writes the result as lines of text.
func (o *MembersResult) print(w io.Writer) {
	fmt.Fprintf(w, "\nmembers       %d processes, %d status reports; at the end each counts %d to %d members and reaches %d to %d\n",
		o.Processes, o.Answers, o.Known[0], o.Known[1], o.Reachable[0], o.Reachable[1])
	fmt.Fprintf(w, "parts         at most %.3f of the fleet's total, at %.1f s; %d processes admitted by timeout\n",
		o.MaxQuotaSum, o.MaxQuotaSumAt, o.Forced)
	fmt.Fprintf(w, "deaths        %d; noticed %v; counted out %v\n", o.Deaths, o.Noticed, o.CountedOut)
	if o.Left.Cases > 0 {
		fmt.Fprintf(w, "left          counted out %v\n", o.Left)
	}
	fmt.Fprintf(w, "the living    reported as silent %d times, %d of these without a cut or a freeze; reported as gone %d times\n",
		o.FalseSilent, o.UnexplainedSilent, o.FalseGone)
	if n := len(o.FalseExamples); n > 0 {
		fmt.Fprintf(w, "              %s\n", strings.Join(o.FalseExamples[:min(n, MaxRows)], "; "))
	}
	fmt.Fprintf(w, "newcomers     %d; admitted %v\n", o.JoiningMembers, o.Admitted)
	fmt.Fprintf(w, "views         %d changes; all agree %.0f ms after the last event (-1: not within the run)\n",
		o.Changes, o.AgreeMS)
}
