package main

// registryCmd groups the commands of the list service.
type registryCmd struct {
	Serve       registryServe       `cmd:"" help:"Serve one copy of the list service."`
	Status      registryStatus      `cmd:"" help:"Show what a copy says of itself, and of each copy what membership says."`
	List        registryList        `cmd:"" help:"Print the whole list."`
	Watch       registryWatch       `cmd:"" help:"Print each change as it comes."`
	Put         registryPut         `cmd:"" help:"Register a server, or change its entry."`
	Drain       registryDrain       `cmd:"" help:"Mark a server Terminating."`
	Remove      registryRemove      `cmd:"" help:"Take a server off the list."`
	AddCopy     registryAddCopy     `cmd:"" help:"Make a copy that was started with join a member of the cluster."`
	RemoveCopy  registryRemoveCopy  `cmd:"" help:"Take a copy out of the cluster, a dead one too."`
	ReplaceCopy registryReplaceCopy `cmd:"" help:"Put a copy that was started with join in another's place, as far as a majority stays."`
	Snapshot    registrySnapshot    `cmd:"" help:"Write the whole state to a file, as a backup."`
	Verify      registryVerify      `cmd:"" help:"Say of the folder of a copy that does not run whether it is sound. Ends with 0 if it is, 1 if not, 2 if it cannot be read."`
	Restore     registryRestore     `cmd:"" help:"Found a cluster from a backup, under a new epoch."`
}
