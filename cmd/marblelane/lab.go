package main

// labCmd groups the commands that run sidecars between stand-in clients and servers.
type labCmd struct {
	Run   labRun   `cmd:"" help:"Run a scenario and check its invariants and expectations."`
	List  labList  `cmd:"" help:"List the built-in scenarios."`
	Check labCheck `cmd:"" help:"Read a scenario and print its schedule without running it."`

	Simulate labSimulate `cmd:"" help:"Run a scenario on a simulated clock with the real decision modules, for fleets that are too large for one machine."`

	Compare  labCompare  `cmd:"" help:"Run two builds or two scenarios alternately with the same seeds and print the difference."`
	Soak     labSoak     `cmd:"" help:"Run sidecars through drawn series of faults, one for each seed, and name the seeds that violate an invariant."`
	Scale    labScale    `cmd:"" help:"Run fleets of several sizes and print their resource use."`
	Growth   labGrowth   `cmd:"" help:"Check the resource use of a sidecar in a large fleet against the growth table of the acceptance page."`
	Overhead labOverhead `cmd:"" help:"Measure the latency that the lab itself adds to a response."`

	RouteScale    labRouteScale    `cmd:"" help:"Measure routes and rollouts with increasing numbers of sidecars."`
	ListScale     labListScale     `cmd:"" help:"Measure the list service with increasing numbers of watchers and entries."`
	RequestCost   labRequestCost   `cmd:"" help:"Measure the CPU time of a sidecar per request and compare variants in pairs."`
	MembersScale  labMembersScale  `cmd:"" help:"Measure membership with increasing numbers of members, in this process, on a simulated network."`
	MembersWarmUp labMembersWarmUp `cmd:"" name:"members-cold" help:"Measure on a simulated clock how the number of sidecars, and their estimate of it, affects cold servers."`
	FleetLoad     labFleetLoad     `cmd:"" name:"crowd" help:"Simulate increasing numbers of sidecars that call a list service of fixed capacity at the same time."`
}
