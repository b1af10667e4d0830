package invariant

// This file is the table of all invariants.

// Invariant is a rule that no run may break.
type Invariant struct {
	Name string // as in reports and in scenario files
	Page string // the page that states it
	// The functions that check it, each on its part of the records. Those of the list service have none: package lab checks
	// them while it runs.
	checkRequest func(c *checker, r *requestEvents) // one request
	unsent       bool                               // checkRequest is also for requests that no client sent
	checkRun     func(c *checker)                   // the run as a whole
	checkRoutes  func(r *routes)                    // a run with rollouts
	checkMembers func(m *members)                   // a run with membership
}

// The pages that state invariants.
const (
	labPage        = "docs/lab.md"
	routesPage     = "docs/routes.md"
	membershipPage = "docs/membership.md"
)

// The invariants of the list service.
const (
	Linearizable  = "linearizable"   // some order of single steps explains all calls on each entry
	WatchersAgree = "watchers-agree" // at each revision all watchers have the same list
	DiskHonest    = "disk-honest"    // a replica whose disk failed writes nothing, reports it, and recovers
	ListAge       = "age-told"       // no list lacks what was acknowledged before the time that it claims
)

// all are the invariants in the order in which they are checked.
var all = []Invariant{
	{Name: NoUnknownRequest, Page: labPage, checkRequest: (*checker).checkUnknownRequest, unsent: true, checkRun: (*checker).checkUnreadable},
	{Name: Body, Page: labPage, checkRequest: (*checker).checkBody, unsent: true},
	{Name: AttemptLimit, Page: labPage, checkRequest: (*checker).checkAttemptLimit},
	{Name: NonIdempotentOnce, Page: labPage, checkRequest: (*checker).checkNonIdempotentOnce},
	{Name: OneAtATime, Page: labPage, checkRequest: (*checker).checkOneAtATime},
	{Name: ClientGone, Page: labPage, checkRequest: (*checker).checkClientGone},
	{Name: ForwardedDeadline, Page: labPage, checkRequest: (*checker).checkForwardedDeadline},
	{Name: OneAnswer, Page: labPage, checkRequest: (*checker).checkOneAnswer},
	{Name: Drain, Page: labPage, checkRun: (*checker).checkDrains},
	{Name: ResourceLimits, Page: labPage, checkRun: (*checker).checkResourceLimits},
	{Name: ReadyInTime, Page: labPage, checkRun: (*checker).checkReady},
	{Name: SlowStartLimit, Page: labPage, checkRun: (*checker).checkSlowStart},

	{Name: RevClosed, Page: routesPage, checkRoutes: (*routes).checkClosed},
	{Name: Budget, Page: routesPage, checkRoutes: (*routes).checkBudget},
	{Name: RollbackFinal, Page: routesPage, checkRoutes: (*routes).checkRollbacks},
	{Name: RouteFree, Page: routesPage, checkRoutes: (*routes).checkRouteFree},
	{Name: AuditTrue, Page: routesPage, checkRoutes: (*routes).checkAudit},

	{Name: QuotaSum, Page: membershipPage, checkMembers: (*members).checkQuotas},
	{Name: NotGone, Page: membershipPage, checkMembers: (*members).checkNotGone},

	{Name: Linearizable, Page: labPage},
	{Name: WatchersAgree, Page: labPage},
	{Name: DiskHonest, Page: labPage},
	{Name: ListAge, Page: labPage},
}

// Names lists the names of all invariants.
func Names() []string {
	var names []string
	for i := range all {
		names = append(names, all[i].Name)
	}
	return names
}
