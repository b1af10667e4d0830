package main

import (
	"encoding/json"
	"fmt"
	"io"
)

func printJSON(a *app, v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", " ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// printResult prints what was measured, as JSON or as a table.
func printResult[T any](a *app, asJSON bool, v T, table func(io.Writer, T)) error {
	if asJSON {
		return printJSON(a, v)
	}
	table(a.out, v)
	return nil
}
