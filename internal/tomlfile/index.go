package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Index maps each key and table of a file to its line. Keys include their tables, as in "traffic.load" and
// "fault[0].size".
type Index map[string]int

// Line returns the line of a key. If the file does not have the key, it returns the line of the innermost table on the
// path of the key, or 0 if the file has none of these tables.
func (index Index) Line(key string) int {
	for key != "" {
		if line, ok := index[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// keyAt returns the key in a line, or an empty string if there is none.
func (index Index) keyAt(line int) string {
	for key, keyLine := range index {
		if keyLine == line {
			return key
		}
	}
	return ""
}

// indexer builds the index of a file.
type indexer struct {
	index       Index
	numericKeys []string       // keys whose value is a number
	table       string         // table that the current line belongs to
	tableCounts map[string]int // number of tables so far in each array of tables, by key
}

// indexFile returns the index of a file and the keys whose value is a number. It stops at the first expression that is
// not TOML. The decoder reports that error.
func indexFile(text []byte) (index Index, numericKeys []string) {
	x := indexer{index: Index{}, tableCounts: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := dottedKey(&parser, expression)
		x.addExpression(expression, key, line)
	}
	return x.index, x.numericKeys
}

// dottedKey returns the key of an expression, with its parts separated by dots, and its line.
func dottedKey(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for it := expression.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

// addExpression adds a table or a key to the index.
func (x *indexer) addExpression(expression *unstable.Node, key string, line int) {
	switch expression.Kind {
	case unstable.Table:
		x.table = key
		x.index[x.table] = line
	case unstable.ArrayTable:
		x.table = fmt.Sprintf("%s[%d]", key, x.tableCounts[key])
		x.tableCounts[key]++
		x.index[x.table] = line
	case unstable.KeyValue:
		if x.table != "" {
			key = x.table + "." + key
		}
		x.index[key] = line
		if kind := expression.Value().Kind; kind == unstable.Integer || kind == unstable.Float {
			x.numericKeys = append(x.numericKeys, key)
		}
	}
}
