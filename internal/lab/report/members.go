package report

import (
	"fmt"
	"io"
	"marblelane/internal/lab/scenario"
	"slices"
	"strings"
	"time"
)

// MembersResult is what members of a run knew of each other. Times are in milliseconds.
type MembersResult struct {
	Processes     int     `json:"processes"` // that were asked
	Answers       int     `json:"answers"`
	MaxQuotaSum   float64 `json:"most_taken"` // the greatest sum of parts; 1 is what the fleet allows
	MaxQuotaSumAt float64 `json:"taken_at_s"`
	// Of deaths without a word, for each that lived on: until it took the dead for silent, and until it counted it out.
	Deaths     int   `json:"deaths"`
	Noticed    Times `json:"noticed"`
	CountedOut Times `json:"counted_out"`
	Left       Times `json:"left"` // of ends in order: from the signal until it was counted out
	// FalseSilent are processes that lived and were taken for silent; FalseDeaths are those of them that were neither
	// frozen nor cut off; FalseGone were said to be proved gone.
	FalseSilent       int      `json:"false_silent"`
	UnexplainedSilent int      `json:"false_deaths"`
	FalseGone         int      `json:"false_gone"`
	FalseExamples     []string `json:"false_ones"` // the first of them without such a cause
	Changes           int      `json:"changes"`    // of what some process counts
	// AgreeMS is from the last thing that happened until all counted the same; -1: not within the run.
	AgreeMS        float64 `json:"agree_ms"`
	JoiningMembers int     `json:"newcomers"`
	Admitted       Times   `json:"admitted"` // of joining members, from when they served
	Forced         int     `json:"forced"`   // processes that were let in although somebody did not know them
	Known          [2]int  `json:"known"`    // the least and the most that a process counted at the end
	Reachable      [2]int  `json:"heard"`
}

// Times is how long something took, over all its cases.
type Times struct {
	Cases     int             `json:"cases"`
	Never     int             `json:"never"` // cases in which it had not come about when the run ended
	P50       float64         `json:"p50_ms"`
	P99       float64         `json:"p99_ms"`
	Max       float64         `json:"max_ms"`
	Durations []time.Duration `json:"-"` // of the cases that came about; sorted by Summarize
}

// Add counts a case; ok is false where it had not come about when the run ended.
func (t *Times) Add(d time.Duration, ok bool) {
	if t.Cases++; !ok {
		t.Never++
		return
	}
	t.Durations = append(t.Durations, d)
}

// Summarize works out the percentiles of the cases that were added.
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

// String is the cases with their percentiles.
func (t Times) String() string {
	text := fmt.Sprintf("%d cases, p50 %.0f  p99 %.0f  max %.0f ms", t.Cases, t.P50, t.P99, t.Max)
	if t.Never > 0 {
		text += fmt.Sprintf(" (%d not within the run)", t.Never)
	}
	return text
}

// MissedExpectations compares what members knew with what was expected.
func (o *MembersResult) MissedExpectations(e *scenario.Expect) []string {
	var out []string
	if o.Answers == 0 {
		out = append(out, "no process said what it knows of the fleet")
	}
	if e.Members != nil && (o.Known[0] != *e.Members || o.Known[1] != *e.Members) {
		out = append(out, fmt.Sprintf("members count %d to %d at the end, expected %d", o.Known[0], o.Known[1], *e.Members))
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
		out = append(out, fmt.Sprintf("members agree after %.0f ms (-1: not within the run), expected at most %v",
			o.AgreeMS, e.ConvergeWithin.Duration()))
	}
	return out
}

func (o *MembersResult) print(w io.Writer) {
	fmt.Fprintf(w, "\nmembers       %d processes, %d answers; at the end they count %d to %d, and hear %d to %d\n",
		o.Processes, o.Answers, o.Known[0], o.Known[1], o.Reachable[0], o.Reachable[1])
	fmt.Fprintf(w, "parts         at most %.3f of what the fleet allows, at %.1f s; %d let in, though not known to all\n",
		o.MaxQuotaSum, o.MaxQuotaSumAt, o.Forced)
	fmt.Fprintf(w, "deaths        %d; noticed %v; counted out %v\n", o.Deaths, o.Noticed, o.CountedOut)
	if o.Left.Cases > 0 {
		fmt.Fprintf(w, "left          counted out %v\n", o.Left)
	}
	fmt.Fprintf(w, "the living    taken for silent %d times, %d of these without a cut or a freeze; said to be gone %d times\n",
		o.FalseSilent, o.UnexplainedSilent, o.FalseGone)
	if n := len(o.FalseExamples); n > 0 {
		fmt.Fprintf(w, "              %s\n", strings.Join(o.FalseExamples[:min(n, MaxRows)], "; "))
	}
	fmt.Fprintf(w, "newcomers     %d; admitted %v\n", o.JoiningMembers, o.Admitted)
	fmt.Fprintf(w, "views         %d changes; all agree %.0f ms after the last thing that happened (-1: not within the run)\n",
		o.Changes, o.AgreeMS)
}
