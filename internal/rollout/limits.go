package rollout

// Bounds of what a State holds.
const (
	MaxTenants          = 1000 // with a base, a rollout, or a remembered rollout
	MaxEndedRollouts    = 50   // remembered, of one tenant
	MaxAccounts         = 2000 // in one ledger
	MaxSteps            = 20
	MaxBudget           = 1_000_000
	MaxHoldMS           = 30 * 24 * 3600 * 1000
	MaxNameBytes        = 200 // of each name, and of each value of a subset
	MaxRolloutNameBytes = 160 // shorter, as its ID is the name with a number
	MaxClasses          = 100
	MaxSubsetValues     = 1000 // in one list of a subset
	MaxNoteBytes        = 1000 // of notes and reasons
)

// Bounds of what a Controller remembers and reads.
const (
	MaxProcesses         = 5000 // known at once; one more gets no lease
	MaxCounts            = 4096 // read of one report
	MaxBudgetsPerRequest = 1000 // read of one request
	maxSchemas           = 100  // in one report
	maxRevisionTimes     = 4096
	maxEntriesPerCommand = 1000
)
