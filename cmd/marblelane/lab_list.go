package main

import (
	"fmt"

	"marblelane/lab/scenarios"
)

// labList lists the built-in scenarios.
type labList struct{}

func (labList) Run(a *app) error {
	for _, name := range scenarios.Names() {
		s, err := loadScenario(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%-28s %s\n", name, s.Title)
	}
	return nil
}
