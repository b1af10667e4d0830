package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"marblelane/internal/registry"
	"marblelane/internal/registry/recovery"
)

// registryRestore founds a cluster from a backup.
type registryRestore struct {
	File   string `arg:"" help:"Backup file that snapshot has written." type:"path"`
	Config string `help:"Configuration of the replica that founds the cluster, in TOML." required:"" type:"path" placeholder:"FILE"`
	Above  int64  `help:"Revision or epoch that clients have seen, if it is higher than the backup's." placeholder:"N"`
	Force  bool   `help:"Restore even if something answers at the addresses of the configured replicas."`
}

// restoreProbeTimeout is the time within which a configured replica that still runs must answer.
const restoreProbeTimeout = time.Second

func (c *registryRestore) Run(a *app) error {
	cfg, err := registry.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	if c.Above < 0 {
		return fmt.Errorf("--above %d: must not be negative", c.Above)
	}
	f, err := os.Open(c.File)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	defer f.Close()
	if running := recovery.RunningReplicas(cfg.Endpoints(), restoreProbeTimeout); len(running) > 0 && !c.Force {
		return fmt.Errorf("restore: %s still answers; stop the old cluster first, or it may take over the new one; "+
			"--force restores anyway", strings.Join(running, ", "))
	}
	restored, err := recovery.Restore(f, cfg.RecoveryTarget(), c.Above, cfg.Faults.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "restored %d entries of revision %d as epoch %d in %s\n"+
		"start %s, then the other replicas with empty folders and join = true, and run add-copy for each\n", restored.Entries, restored.BackupRev, restored.Epoch, cfg.Dir, cfg.Name)
	return nil
}
