package rollout

// Bounds of what a State holds.
const (
	MaxTenants          = 1000 // tenants with a base, a live rollout or an ended rollout
	MaxEndedRollouts    = 50   // ended rollouts kept for each tenant
	MaxAccounts         = 2000 // accounts in one ledger
	MaxSteps            = 20
	MaxBudget           = 1_000_000
	MaxHoldMS           = 30 * 24 * 3600 * 1000
	MaxNameBytes        = 200 // bytes of each name, and of each value of a subset
	MaxRolloutNameBytes = 160 // lower than MaxNameBytes, as a rollout's ID is its name and a number
	MaxClasses          = 100
	MaxSubsetValues     = 1000 // values in each list of a subset
	MaxNoteBytes        = 1000 // bytes of each note and each reason
)

// Bounds of what a Controller keeps in memory and reads from requests.
const (
	MaxProcesses         = 5000 // processes kept at a time; further processes get no lease
	MaxCounts            = 4096 // counts read from one report
	MaxBudgetsPerRequest = 1000 // budgets read from one budget request
	maxSchemasPerReport  = 100  // schemas in one report
	maxRevisionTimes     = 4096
	maxEntriesPerCommand = 1000
)
