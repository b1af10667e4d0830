package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// registrySnapshot writes a backup of the whole state to a file.
type registrySnapshot struct {
	replicaClient
	File string `arg:"" help:"File to write; it must not exist yet." type:"path"`
}

func (c *registrySnapshot) Run(a *app) error {
	if _, err := os.Stat(c.File); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("snapshot: %s already exists; name a new file", c.File)
	}
	response, err := c.call(a, "GET", "/registry/snapshot", nil)
	if err != nil {
		return err
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	if err != nil {
		return fmt.Errorf("--addr %s: %w", c.Addr, err)
	}
	if !json.Valid(data) {
		return fmt.Errorf("--addr %s: snapshot was cut short; run the command again", c.Addr)
	}
	temp, err := os.CreateTemp(filepath.Dir(c.File), ".snapshot-")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer os.Remove(temp.Name())
	_, err = temp.Write(data)
	if err = errors.Join(err, temp.Sync(), temp.Close()); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := os.Link(temp.Name(), c.File); err != nil { // fails if the file was created meanwhile
		return fmt.Errorf("snapshot: %w", err)
	}
	fmt.Fprintf(a.out, "%d bytes in %s\n", len(data), c.File)
	return nil
}
