package soak

// This file draws the scenario of a seed.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Defects are the planted defects that a soak can contain.
var Defects = []string{"end-early", "ignore-term"}

// baseScenario is common to all seeds. Its verbs are the limit of descriptors, the load and the longest deadline.
const baseScenario = `
title = "soak"
length = "14s"
[sidecars]
count = 4
sockets = %d
[servers]
count = 9
[traffic]
load = %.2f
retries = 2
backoff = "50ms"
honour = 0.3
impatient = %.2f
pipelined = 0.1
[[class]]
name = "look"
share = 0.6
work = "40ms"
cv = 0.5
aim = "500ms"
deadline = "%s"
worth = 2
[[class]]
name = "book"
share = 0.4
work = "60ms"
cv = 0.5
aim = "600ms"
deadline = "%s"
worth = 8
effect = "unsafe"
`

// Limits of descriptors of a sidecar. The lower one is for seeds with idle clients, which fill it.
const (
	usualSockets      = 512
	idleClientSockets = 128
	idleClients       = 150 // idle connections to each sidecar
)

// busyProcessCount is the number of processes that take processor time away, for the seeds that have them.
const busyProcessCount = 3

// Drawn is what is drawn for a seed.
type Drawn struct {
	Text          string // scenario, in the form of a scenario file
	BusyProcesses int    // processes that take processor time away during the run
}

// drawing is a scenario that is being drawn.
type drawing struct {
	*rand.Rand
	text strings.Builder
}

// Draw returns the scenario of a seed with a planted defect; an empty defect means none. The signals to the sidecars do
// not depend on the defect.
func Draw(seed uint64, defect string) Drawn {
	d := &drawing{Rand: rand.New(rand.NewPCG(seed, 0))}
	withIdleClients := d.chance(0.3)
	sockets := usualSockets
	if withIdleClients {
		sockets = idleClientSockets
	}
	impatient := 0.
	if d.chance(0.3) {
		impatient = 0.1
	}
	deadline := []string{"800ms", "1500ms", "3s"}[d.IntN(3)]
	fmt.Fprintf(&d.text, baseScenario, sockets, 0.25+0.2*d.Float64(), impatient, deadline, deadline)
	if withIdleClients {
		d.fault("idle-fill", time.Second, `for = "11s"`, fmt.Sprintf("size = %d", idleClients))
	}
	d.addSignals(defect)
	d.addServerFault()
	d.addListFault()
	busy := 0
	if d.chance(0.25) {
		busy = busyProcessCount
	}
	return Drawn{Text: d.text.String(), BusyProcesses: busy}
}

// chance returns true with the given probability.
func (d *drawing) chance(probability float64) bool { return d.Float64() < probability }

// between returns a duration between two bounds, in whole milliseconds.
func (d *drawing) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.Float64()*float64(to-from)).Truncate(time.Millisecond)
}

// fault adds a fault with further keys.
func (d *drawing) fault(kind string, at time.Duration, keys ...string) {
	fmt.Fprintf(&d.text, "[[fault]]\nkind = %q\nat = %q\n%s\n", kind, at, strings.Join(keys, "\n"))
}

// addSignals adds the signals to the sidecars. Half of the seeds begin with new configurations in quick succession. Then
// all sidecars get SIGTERM in turn, in most seeds while clients send on idle connections. The sidecars run again within
// the kill delay, and some seeds end with an upgrade.
func (d *drawing) addSignals(defect string) {
	first := d.between(2*time.Second, 3*time.Second)
	if d.chance(0.5) {
		d.fault("list-move", first-d.between(600*time.Millisecond, time.Second))
		d.fault("list-move", first-d.between(200*time.Millisecond, 500*time.Millisecond))
	}
	every := []time.Duration{200 * time.Millisecond, time.Second, 1500 * time.Millisecond}[d.IntN(3)]
	if d.chance(0.7) {
		ahead := d.between(0, 40*time.Millisecond)
		d.fault("rush", first-2*time.Second+ahead, fmt.Sprintf("every = %q", every), "size = 15")
		d.fault("rush", first-ahead, fmt.Sprintf("every = %q", every), "size = 15")
	}
	if defect != "" {
		d.fault("defect-"+defect, first-500*time.Millisecond, `for = "9s"`)
	}
	d.fault("sidecar-term", first, fmt.Sprintf("every = %q", every))
	if d.chance(0.4) {
		d.fault("sidecar-upgrade", 12*time.Second, `sidecars = "2"`)
	}
}

// addServerFault adds faults of servers or of the links to them, around the signals.
func (d *drawing) addServerFault() {
	at, length := d.between(1500*time.Millisecond, 4*time.Second), d.between(2*time.Second, 6*time.Second)
	during, third := fmt.Sprintf("for = %q", length), `servers = "33%"`
	switch d.IntN(6) {
	case 0:
		d.fault("hang", at, during, third)
	case 1:
		d.fault("replace", at, third)
	case 2:
		d.fault("drain", at, `servers = "2"`)
		d.fault("reset", at+500*time.Millisecond, `servers = "all"`)
	case 3:
		d.fault("slow", at, during, third, "size = 4")
	case 4:
		d.fault("restart", at, during, `servers = "2"`)
	case 5:
		d.fault("hang", at, during, third)
		d.fault("reset", at+length/2, `servers = "all"`)
	}
}

// addListFault adds a fault of the list services, in most seeds.
func (d *drawing) addListFault() {
	at, during := d.between(time.Second, 6*time.Second), fmt.Sprintf("for = %q", d.between(time.Second, 4*time.Second))
	switch d.IntN(5) {
	case 0:
		d.fault("list-silent", at, during)
	case 1:
		d.fault("list-hush", at)
	case 2:
		d.fault("list-late", at, during, "size = 1")
	case 3:
		d.fault("reset", at, `link = "discovery"`)
	}
}
