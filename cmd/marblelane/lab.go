package main

// labCmd groups the commands that run copies of the sidecar between stand-ins.
type labCmd struct {
	Run   labRun   `cmd:"" help:"Play a scenario and hold it to the rules and to what it expects."`
	List  labList  `cmd:"" help:"List the scenarios that come with the program."`
	Check labCheck `cmd:"" help:"Read a scenario and print its schedule without playing it."`

	Simulate labSimulate `cmd:"" help:"Play a scenario on a simulated clock, with the real decision modules: fleets that no machine holds."`

	Compare  labCompare  `cmd:"" help:"Play two builds or two scenarios in turn on the same seeds and print the difference."`
	Scale    labScale    `cmd:"" help:"Play fleets of several sizes and print what they cost."`
	Growth   labGrowth   `cmd:"" help:"Hold what a sidecar needs in a large fleet against the growth table of the acceptance page."`
	Overhead labOverhead `cmd:"" help:"Measure what the lab itself adds to the time of an answer."`

	RouteScale    labRouteScale    `cmd:"" help:"Measure routes and rollouts with more and more sidecars."`
	ListScale     labListScale     `cmd:"" help:"Measure the list service with more and more watchers and entries."`
	RequestCost   labRequestCost   `cmd:"" help:"Measure the processor time of a sidecar per request, of variants in pairs."`
	MembersScale  labMembersScale  `cmd:"" help:"Measure membership with more and more members, in this process, on a simulated network."`
	MembersWarmUp labMembersWarmUp `cmd:"" name:"members-cold" help:"Measure on a simulated clock what the number of sidecars, and what they believe it to be, does to cold servers."`
	FleetLoad     labFleetLoad     `cmd:"" name:"crowd" help:"Let more and more sidecars call a list service of fixed capacity at once, on a simulated clock."`
}
