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
	File   string `arg:"" help:"Backup, as snapshot writes it." type:"path"`
	Config string `help:"Configuration of the copy that founds the cluster, in TOML." required:"" type:"path" placeholder:"FILE"`
	Above  int64  `help:"A revision or an epoch that clients have seen, where the backup's is not the highest." placeholder:"N"`
	Force  bool   `help:"Also if something answers where the configuration's copies serve."`
}

// restoreProbeTimeout is how long each of the configuration's copies may take to show that it runs.
const restoreProbeTimeout = time.Second

func (c *registryRestore) Run(a *app) error {
	cfg, err := registry.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	if c.Above < 0 {
		return fmt.Errorf("--above %d: is negative", c.Above)
	}
	f, err := os.Open(c.File)
	if err != nil {
		return fmt.Errorf("restore: %w", err)
	}
	defer f.Close()
	if running := recovery.RunningReplicas(cfg.Endpoints(), restoreProbeTimeout); len(running) > 0 && !c.Force {
		return fmt.Errorf("restore: %s still answers; end the old cluster first, or it may take the new one over; "+
			"--force restores all the same", strings.Join(running, ", "))
	}
	restored, err := recovery.Restore(f, cfg.RecoveryTarget(), c.Above, cfg.Faults.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%d entries of revision %d are epoch %d in %s\n"+
		"start %s, then the others with empty folders and join = true, and add-copy each\n", restored.Entries, restored.BackupRev, restored.Epoch, cfg.Dir, cfg.Name)
	return nil
}
