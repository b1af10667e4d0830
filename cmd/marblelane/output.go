package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// printJSON writes v as indented JSON.
func printJSON(a *app, v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", " ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// printResult writes a result as JSON or with the function table.
func printResult[T any](a *app, asJSON bool, v T, table func(io.Writer, T)) error {
	if asJSON {
		return printJSON(a, v)
	}
	table(a.out, v)
	return nil
}
