package harness

import (
	"context"
	"fmt"
	"time"

	"marblelane/internal/lab/report"
)

// Phases are the steps of one kind of run. Execute calls them in this order. Before the first one, the scenario has
// been parsed and its plan generated.
type Phases interface {
	// Start starts all parties.
	Start(ctx context.Context) error
	// Drive sends the workload and injects the faults until the run is over. Goroutines that it starts in Run.Tasks
	// end when ctx ends.
	Drive(ctx context.Context) error
	// Collect reads the results that only running parties can report, and shuts the parties down in order.
	Collect(ctx context.Context) error
	// Check compares the recorded events with the invariants and the scenario's expectations.
	Check(timers TimerLag) *report.Report
	// Status returns a short text about the progress of the run.
	Status() string
	// Close ends everything that still runs. It may be called in any state.
	Close()
}

// progressInterval is the time between two printed progress lines of a run.
const progressInterval = 2 * time.Second

// Execute executes a run and returns its report. An error means that the run could not be executed. Violations that
// the run found are in the report.
func (r *Run) Execute(ctx context.Context, phases Phases) (*report.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer phases.Close()
	defer r.Tasks.Wait()
	defer cancel()
	if err := phases.Start(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	r.StartedAt = r.Events.Now()
	timers, err := r.drive(ctx, phases)
	if err != nil {
		return nil, err
	}
	if err := phases.Collect(ctx); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	if err := r.Err(); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	return phases.Check(timers), nil
}

// drive calls phases.Drive and meanwhile measures how late the timers of this process fire. All tasks have ended when
// it returns.
func (r *Run) drive(ctx context.Context, phases Phases) (timers TimerLag, err error) {
	driveCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.Tasks.Go(func() { timers = measureTimerLag(driveCtx) })
	r.Tasks.Go(func() { r.printProgress(driveCtx, phases) })
	driveErr := phases.Drive(driveCtx)
	stop()
	r.Tasks.Wait()
	if err := context.Cause(ctx); err != nil {
		return timers, fmt.Errorf("lab: run ended early: %w", err)
	}
	if driveErr != nil {
		return timers, fmt.Errorf("lab: %w", driveErr)
	}
	if err := r.Err(); err != nil {
		return timers, fmt.Errorf("lab: %w", err)
	}
	return timers, nil
}

func (r *Run) printProgress(ctx context.Context, phases Phases) {
	if r.Options.Progress == nil {
		return
	}
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			fmt.Fprintf(r.Options.Progress, "%5.1f of %.0f s, %s\n",
				r.Elapsed().Seconds(), r.Scenario.Length.Duration().Seconds(), phases.Status())
		case <-ctx.Done():
			return
		}
	}
}

// Elapsed returns the time since all parties were up.
func (r *Run) Elapsed() time.Duration { return r.Events.Now() - r.StartedAt }
