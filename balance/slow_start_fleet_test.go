package balance

import (
	"slices"
	"testing"
)

// fleetScenarios returns all scenarios, each a variation of one base scenario.
func fleetScenarios() []fleetScenario {
	base := fleetScenario{
		servers: 10, cores: 2, meanWork: 85, load: 0.6, restartFraction: 0.2, notifySpread: 2000, mixedSpeeds: true,
	}
	scenario := func(name string, change func(c *fleetScenario)) fleetScenario {
		c := base
		c.name = name
		change(&c)
		return c
	}
	return []fleetScenario{
		scenario("even", func(c *fleetScenario) {}),
		scenario("overload", func(c *fleetScenario) { c.load = 1.3 }),
		scenario("one busy", func(c *fleetScenario) { c.busyFraction = 0.8 }),
		scenario("idle then burst", func(c *fleetScenario) { c.idleBeforeBurst, c.load = true, 1 }),
		scenario("burst", func(c *fleetScenario) { c.burstFactor = 2.5 }),
		scenario("half reset before", func(c *fleetScenario) { c.resetFraction, c.resetAt = 0.5, serverStartAt-500 }),
		scenario("half reset after", func(c *fleetScenario) { c.resetFraction, c.resetAt = 0.5, serverStartAt+3000 }),
		scenario("all reset after", func(c *fleetScenario) { c.resetFraction, c.resetAt = 1, serverStartAt+3000 }),
		scenario("all reset in a burst", func(c *fleetScenario) {
			c.resetFraction, c.resetAt, c.burstFactor = 1, burstAt, 2.5
		}),
		scenario("too few processes known", func(c *fleetScenario) { c.fleetSizeFactor = 0.25 }),
		scenario("too many processes known", func(c *fleetScenario) { c.fleetSizeFactor = 4 }),
		scenario("upgrade", func(c *fleetScenario) { c.upgrade = true }),
		scenario("notified again", func(c *fleetScenario) { c.notifications = 5 }),
		scenario("down before", func(c *fleetScenario) { c.downtime = 4000 }),
		scenario("half restart", func(c *fleetScenario) { c.restartFraction = 0.5 }),
		scenario("most restart", func(c *fleetScenario) { c.restartFraction, c.load = 0.8, 0.8 }),
		scenario("all restart", func(c *fleetScenario) { c.restartFraction, c.load = 1, 0.8 }),
		scenario("join in a burst", func(c *fleetScenario) {
			c.restartFraction, c.newServers, c.burstFactor = 0.3, 3, 2.5
		}),
		scenario("slow servers", func(c *fleetScenario) { c.cores, c.meanWork = 1, 250 }),
		scenario("slow servers in a burst", func(c *fleetScenario) { c.cores, c.meanWork, c.burstFactor = 1, 250, 2.5 }),
		scenario("few slow servers idle then burst", func(c *fleetScenario) {
			c.servers, c.cores, c.meanWork, c.idleBeforeBurst, c.load = 4, 1, 250, true, 1.5
		}),
		scenario("most restart in a burst", func(c *fleetScenario) { c.restartFraction, c.burstFactor = 0.8, 2.5 }),
		scenario("all restart in a burst", func(c *fleetScenario) { c.restartFraction, c.burstFactor = 1, 2.5 }),
		scenario("all restart, notified at once", func(c *fleetScenario) {
			c.restartFraction, c.load, c.notifySpread = 1, 1, 1
		}),
		scenario("equal servers, all restart at once", func(c *fleetScenario) {
			c.restartFraction, c.load, c.notifySpread, c.mixedSpeeds = 1, 1, 1, false
		}),
		scenario("equal servers, all restart, overload", func(c *fleetScenario) {
			c.restartFraction, c.load, c.mixedSpeeds = 1, 1.5, false
		}),
		scenario("equal slow servers, all restart", func(c *fleetScenario) {
			c.restartFraction, c.load, c.cores, c.meanWork, c.mixedSpeeds = 1, 0.8, 1, 250, false
		}),
		scenario("all restart under overload", func(c *fleetScenario) { c.restartFraction, c.load = 1, 1.5 }),
		scenario("half down before a burst", func(c *fleetScenario) {
			c.restartFraction, c.downtime, c.burstFactor = 0.5, 4000, 2.5
		}),
		scenario("most down before", func(c *fleetScenario) { c.restartFraction, c.downtime = 0.8, 4000 }),
		scenario("all down before", func(c *fleetScenario) { c.restartFraction, c.downtime = 1, 4000 }),
		scenario("most slow restart in a burst", func(c *fleetScenario) {
			c.restartFraction, c.cores, c.meanWork, c.burstFactor = 0.8, 1, 250, 2.5
		}),
		scenario("half restart, all reset in a burst", func(c *fleetScenario) {
			c.restartFraction, c.resetFraction, c.resetAt, c.burstFactor = 0.5, 1, burstAt, 2.5
		}),
		scenario("all restart, all reset", func(c *fleetScenario) {
			c.restartFraction, c.resetFraction, c.resetAt = 1, 1, burstAt
		}),
		scenario("drains for a while", func(c *fleetScenario) { c.drainTime = 9000 }),
		scenario("slow servers drain for a while", func(c *fleetScenario) {
			c.cores, c.meanWork, c.drainTime = 1, 250, 9000
		}),
		scenario("slow servers drain, overload", func(c *fleetScenario) {
			c.cores, c.meanWork, c.drainTime, c.load = 1, 250, 12000, 1.5
		}),
		scenario("cut off for a while", func(c *fleetScenario) { c.unreachableTime = 9000 }),
		scenario("slow servers cut off, burst", func(c *fleetScenario) {
			c.cores, c.meanWork, c.unreachableTime, c.burstFactor = 1, 250, 9000, 2.5
		}),
		scenario("tiny servers", func(c *fleetScenario) { c.servers, c.cores, c.meanWork = 3, 1, 500 }),
		scenario("tiny servers idle then burst", func(c *fleetScenario) {
			c.servers, c.cores, c.meanWork, c.idleBeforeBurst, c.load = 3, 1, 500, true, 2
		}),
		scenario("tiny servers all restart", func(c *fleetScenario) {
			c.servers, c.cores, c.meanWork, c.restartFraction, c.load = 4, 1, 500, 1, 1
		}),
		scenario("tiny servers, all reset in a burst", func(c *fleetScenario) {
			c.servers, c.cores, c.meanWork, c.resetFraction, c.resetAt, c.burstFactor = 4, 1, 500, 1, burstAt, 3
		}),
		scenario("few servers all restart", func(c *fleetScenario) { c.servers, c.restartFraction = 3, 1 }),
		scenario("few servers", func(c *fleetScenario) { c.servers = 3 }),
	}
}

// The attempts of all processes to a server in slow start stay within its budget in each window, for any number of
// processes and distribution of traffic, and whether processes have just restarted or not.
func TestSlowStart_fleetWithinBudget(t *testing.T) {
	for _, c := range fleetScenarios() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, processes := range []int{2, 7, 20, 40} {
				worst := worstPeak(t, c, processes, 2)
				t.Logf("%2d processes: %s", processes, worst)
				if worst.fraction > 1 {
					t.Errorf("%d processes exceed the budget: %s", processes, worst)
				}
				if worst.total == 0 {
					t.Errorf("%d processes: servers in slow start get no requests", processes)
				}
			}
		})
	}
}

// worstPeak runs a scenario with several seeds and returns the largest use of a budget.
func worstPeak(t *testing.T, c fleetScenario, processes, seeds int) budgetPeak {
	worst := budgetPeak{}
	for seed := range uint64(seeds) {
		f := newFleetSimulation(t, c, processes, seed+1)
		f.run()
		peak := f.maxBudgetUse()
		peak.total += worst.total
		if peak.fraction < worst.fraction {
			worst.total = peak.total
			continue
		}
		worst = peak
	}
	return worst
}

// The response rate of the last seconds was measured on warm servers. It must not raise the budgets when nearly all
// servers start at the same time under overload.
func TestSlowStart_simultaneousStarts(t *testing.T) {
	for _, processes := range []int{2, 3} {
		if worst := worstPeak(t, scenarioByName("all restart under overload"), processes, 8); worst.fraction > 1 {
			t.Errorf("%d processes exceed the budget: %s", processes, worst)
		}
	}
}

// The check of these tests detects violations: without budgets, or without slow start, servers get more than
// allowed.
func TestSlowStart_fleetCheckDetectsOverload(t *testing.T) {
	noBudget, noSlowStart := scenarioByName("all restart under overload"), scenarioByName("overload")
	noBudget.noBudget, noSlowStart.noSlowStart = true, true
	if worst := worstPeak(t, noBudget, 2, 8); worst.fraction <= 1 {
		t.Errorf("2 processes without a budget: %s", worst)
	}
	if worst := worstPeak(t, noSlowStart, 30, 2); worst.fraction <= 1 {
		t.Errorf("30 processes without slow start: %s", worst)
	}
}

// scenarioByName returns the scenario of this name.
func scenarioByName(name string) fleetScenario {
	return fleetScenarios()[slices.IndexFunc(fleetScenarios(), func(c fleetScenario) bool { return c.name == name })]
}
