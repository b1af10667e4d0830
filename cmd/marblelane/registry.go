package main

// registryCmd groups the commands of the list service.
type registryCmd struct {
	Serve       registryServe       `cmd:"" help:"Run a replica of the list service."`
	Status      registryStatus      `cmd:"" help:"Show the status of a replica, with the membership state of each replica."`
	List        registryList        `cmd:"" help:"Print the whole list."`
	Watch       registryWatch       `cmd:"" help:"Print each change of the list as it happens."`
	Put         registryPut         `cmd:"" help:"Register a server, or change its entry."`
	Drain       registryDrain       `cmd:"" help:"Mark a server Terminating."`
	Remove      registryRemove      `cmd:"" help:"Remove a server from the list."`
	AddCopy     registryAddCopy     `cmd:"" help:"Add a replica that was started with join to the cluster."`
	RemoveCopy  registryRemoveCopy  `cmd:"" help:"Remove a replica from the cluster, whether or not it runs."`
	ReplaceCopy registryReplaceCopy `cmd:"" help:"Replace a replica with one that was started with join, while a majority remains."`
	Snapshot    registrySnapshot    `cmd:"" help:"Write a backup of the whole state to a file."`
	Verify      registryVerify      `cmd:"" help:"Check whether the folder of a stopped replica is sound. The exit code is 0 if it is, 1 if not, 2 if it cannot be read."`
	Restore     registryRestore     `cmd:"" help:"Found a cluster from a backup, with a new epoch."`
}
