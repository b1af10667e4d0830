package harness

import (
	"context"
	"fmt"
	"time"

	"marblelane/internal/lab/report"
)

// Phases are what one kind of run does. Execute calls them in this order. A scenario has been parsed and its plan drawn
// before.
type Phases interface {
	// Start brings all parties up.
	Start(ctx context.Context) error
	// Drive sends the workload and injects the faults until the run is over. What it leaves in Run.Tasks ends with ctx.
	Drive(ctx context.Context) error
	// Collect gathers what only living parties can tell, and ends them in order.
	Collect(ctx context.Context) error
	// Check holds what was recorded to the rules and expectations.
	Check(timers TimerLag) *report.Report
	// Status is how far the run is, in words.
	Status() string
	// Close ends whatever still runs, in any state.
	Close()
}

// progressInterval is how often the status of a run is printed.
const progressInterval = 2 * time.Second

// Execute plays a run. An error means that it could not be played; what it shows is in the report.
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

// drive drives the run and measures how late the timers of this process are meanwhile. All tasks have ended when it
// returns.
func (r *Run) drive(ctx context.Context, phases Phases) (timers TimerLag, err error) {
	driveCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.Tasks.Go(func() { timers = measureTimerLag(driveCtx) })
	r.Tasks.Go(func() { r.printProgress(driveCtx, phases) })
	driveErr := phases.Drive(driveCtx)
	stop()
	r.Tasks.Wait()
	if err := context.Cause(ctx); err != nil {
		return timers, fmt.Errorf("lab: ended early: %w", err)
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

// Elapsed is the time since all parties were up.
func (r *Run) Elapsed() time.Duration { return r.Events.Now() - r.StartedAt }
