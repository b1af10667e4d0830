package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A sidecar that uses half a second of CPU time for a long list exceeds the bound, so the command fails.
func TestGrowthCommand(t *testing.T) {
	sidecarProcess := filepath.Join(programs, "sidecar")
	wasteful := filepath.Join(t.TempDir(), "wasteful")
	script := fmt.Sprintf(`#!/bin/sh
if [ "$(wc -c <"$NODE_CONFIG")" -gt 100000 ]; then
	i=0; while [ $i -lt 1500000 ]; do i=$((i+1)); done
fi
exec %s
`, sidecarProcess)
	require.NoError(t, os.WriteFile(wasteful, []byte(script), 0o755))
	quick := []string{"lab", "growth", "--rounds", "1", "--seconds", "1", "--day-seconds", "2", "--servers", "1600",
		"--simulated-sidecars", "300", "--simulated-servers", "200", "--replaced", "0.05", "--rate", "5"}
	for _, c := range []struct {
		name       string
		args       []string
		code       int
		wantOutput string
	}{
		{"within bounds", []string{"--sidecar", sidecarProcess}, exitOK, "CPU seconds        one process"},
		{"wasteful", []string{"--sidecar", wasteful}, exitFail, " NO\n"},
		{"no program", []string{"--sidecar", wasteful + "x"}, exitUsage, "--sidecar"},
		{"no servers", []string{"--sidecar", sidecarProcess, "--servers", "1"}, exitUsage, "1 servers"},
		{"no fleet", []string{"--simulated-servers=-1"}, exitUsage, "--simulated-servers is negative"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := run(t.Context(), append(quick, c.args...), &out, &out)
			assert.Equal(t, c.code, code, out.String())
			assert.Contains(t, out.String(), c.wantOutput)
		})
	}
}
