package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/lab/report"
)

const fleetOfThree = `
title = "three members"
length = "9s"
[sidecars]
count = 3
[servers]
count = 3
[traffic]
rate = 50
[network]
zones = ["here"]
[members]
interval = "200ms"
[[fault]]
at = "2s"
for = "60s"
kind = "sidecar-kill"
sidecars = "#1"
[expect]
members = 2
noticed = "6s"
counted_out = "6s"
checks = ["shares", "not-gone"]
`

// Real sidecars discover each other, and detect that one of them is killed.
func TestRun_membersNoticeKill(t *testing.T) {
	rep := runScenario(t, parseScenario(t, fleetOfThree))
	end, reason := rep.Outcome()
	if end == report.Late {
		t.Skip(reason)
	}
	assert.Equal(t, report.Pass, end, reason)
	assert.Equal(t, 1, rep.Members.Deaths)
	assert.Equal(t, 2, rep.Members.CountedOut.Cases)
}
