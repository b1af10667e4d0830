package soak

import (
	"fmt"
	"os/exec"
)

// startBusyProcesses starts processes that use as much processor time as they get. The returned function ends them.
func startBusyProcesses(count int) (stop func(), err error) {
	var started []*exec.Cmd
	stop = func() {
		for _, c := range started {
			_ = c.Process.Kill() // fails only if it has ended
			_ = c.Wait()         // reports the kill
		}
	}
	for range count {
		c := exec.Command("/bin/sh", "-c", "while :; do :; done")
		if err := c.Start(); err != nil {
			stop()
			return nil, fmt.Errorf("start busy process: %w", err)
		}
		started = append(started, c)
	}
	return stop, nil
}
