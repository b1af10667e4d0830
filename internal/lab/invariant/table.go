package invariant

// Invariant is a rule that no run may break.
type Invariant struct {
	Name string // name in reports and in scenario files
	Page string // page that states the invariant
	// The functions that check it, each on some of the events. The invariants of the list service have none: package lab
	// checks them during the run.
	checkRequest func(c *checker, r *requestEvents) // checks one request
	unsent       bool                               // checkRequest also runs for requests that no client sent
	checkRun     func(c *checker)                   // checks the run as a whole
	checkRoutes  func(r *routes)                    // checks a run with rollouts
	checkMembers func(m *members)                   // checks a run with membership
}

// The pages that state invariants.
const (
	labPage        = "docs/lab.md"
	routesPage     = "docs/routes.md"
	membershipPage = "docs/membership.md"
)

// The names of the invariants of the list service.
const (
	Linearizable  = "linearizable"   // some sequential order of the calls explains the results of all calls on each entry
	WatchersAgree = "watchers-agree" // all watchers have the same list at each revision
	DiskHonest    = "disk-honest"    // a replica with a failed disk writes nothing, reports the failure, and recovers
	ListAge       = "age-told"       // a list has every write acknowledged before the time that its replica states
)

// all lists the invariants in the order in which they are checked.
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

// Names returns the names of all invariants, in the order in which they are checked.
func Names() []string {
	var names []string
	for i := range all {
		names = append(names, all[i].Name)
	}
	return names
}
