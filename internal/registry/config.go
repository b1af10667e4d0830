package registry

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// file is a copy's configuration as its file has it.
type file struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	Raft   string `toml:"raft"`
	Dir    string `toml:"dir"`

	Advertise string `toml:"advertise"`

	Join  bool   `toml:"join"`
	Peers []Peer `toml:"peer"`

	Keep      int     `toml:"keep"`
	Beat      span    `toml:"beat"`
	Batch     span    `toml:"batch"`
	Watches   float64 `toml:"watches_per_s"`
	Burst     int     `toml:"watch_burst"`
	MostStale span    `toml:"most_stale"`
	HoldShare float64 `toml:"hold_share"`

	EachEncodes bool `toml:"each_encodes"`
}

type span time.Duration

func (s *span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no time: it needs a number and a unit (ms, s, m)", text)
	}
	*s = span(d)
	return nil
}

// LoadConfig reads a copy's configuration. Errors name file, line and key.
func LoadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	var f file
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		var decode *toml.DecodeError
		switch {
		case errors.As(err, &strict) && len(strict.Errors) > 0:
			line, _ := strict.Errors[0].Position()
			return Config{}, fmt.Errorf("configuration %s:%d: %s: there is no such key", path, line, strings.Join(strict.Errors[0].Key(), "."))
		case errors.As(err, &decode):
			line, _ := decode.Position()
			return Config{}, fmt.Errorf("configuration %s:%d: %s: %s", path, line, strings.Join(decode.Key(), "."), decode.Error())
		}
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Raft: f.Raft, Advertise: f.Advertise, Dir: f.Dir, Join: f.Join, Peers: f.Peers, Keep: f.Keep,
		Beat: time.Duration(f.Beat), Options: Options{Batch: time.Duration(f.Batch), Watches: f.Watches, Burst: f.Burst,
			MostStale: time.Duration(f.MostStale), HoldShare: f.HoldShare, EachEncodes: f.EachEncodes}}
	if err := c.check(); err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// check finds what cannot be meant.
func (c *Config) check() error {
	for _, k := range []struct{ key, value string }{{"name", c.Name}, {"listen", c.Listen}, {"raft", c.Raft}} {
		if k.value == "" {
			return fmt.Errorf("%s: is missing", k.key)
		}
	}
	switch {
	case c.Keep < 0:
		return errors.New("keep: is negative")
	case c.Watches < 0 || c.Burst < 0:
		return errors.New("watches_per_s: it or watch_burst is negative")
	case c.HoldShare < 0 || c.HoldShare > 1:
		return errors.New("hold_share: is not between 0 and 1")
	case c.Join && len(c.Peers) > 0:
		return errors.New("join: a copy that joins has no peers of its own; the leader tells it")
	}
	found := len(c.Peers) == 0
	names := map[string]bool{}
	for i, p := range c.Peers {
		if p.Name == "" || p.Raft == "" || p.Serve == "" || names[p.Name] {
			return fmt.Errorf("peer[%d]: name (its own), raft and serve are needed", i)
		}
		names[p.Name] = true
		found = found || p.Name == c.Name
	}
	if !found {
		return fmt.Errorf("peer: this copy, %q, is not among them", c.Name)
	}
	return nil
}
