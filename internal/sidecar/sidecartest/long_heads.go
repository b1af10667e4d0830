package sidecartest

import (
	"fmt"
	"strings"
)

// LongHeads returns the starts of request heads of about a size in bytes, without the empty line at their end, by the
// shape of their lines. Heads of one size take different amounts of memory, as each line is an entry of a map.
func LongHeads(size int) map[string]string {
	fill := func(line func(i int) string) string {
		text := strings.TrimSuffix(RequestText("1", "", ""), "\r\n")
		for i := 0; len(text) < size; i++ {
			text += line(i)
		}
		return text
	}
	return map[string]string{
		"long lines":      fill(func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("a", 2000)) }),
		"lines of 45":     fill(func(i int) string { return fmt.Sprintf("X-Attrs-%03d: warehouse=limerick-17,shelf=4\r\n", i) }),
		"lines of 6":      fill(func(i int) string { return fmt.Sprintf("%04x:\n", i) }),
		"one name":        fill(func(int) string { return "a:\n" }),
		"continued lines": fill(func(i int) string { return map[bool]string{true: "X-Attrs:\n", false: " a\n"}[i == 0] }),
	}
}
