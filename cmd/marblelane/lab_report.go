package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"marblelane/internal/lab/report"
)

// finishRun saves and prints a report and returns an exitError if the run failed or the lab was late.
func finishRun(a *app, rep *report.Report, dir string, asJSON bool) error {
	if dir != "" {
		if err := rep.Save(dir); err != nil {
			return fmt.Errorf("--report: %w", err)
		}
	}
	if asJSON {
		if err := printJSON(a, rep); err != nil {
			return err
		}
	} else {
		rep.Print(a.out)
	}
	outcome, reason := rep.Outcome()
	if reason != "" {
		outcome += ": " + reason
	}
	fmt.Fprintln(a.out, outcome)
	switch {
	case strings.HasPrefix(outcome, report.Fail):
		return exitError(exitFail)
	case strings.HasPrefix(outcome, report.Late):
		return exitError(exitLate)
	}
	return nil
}

// saveJSON writes v as a JSON file into the report folder dir.
func saveJSON(dir, name string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, name), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	return nil
}
