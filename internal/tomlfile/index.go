package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Index has the line of each key and table of a file. Keys are written with their tables, as in "traffic.load" and
// "fault[0].size".
type Index map[string]int

// Line returns the line of a key, or of the innermost table on its path that stands in the file; 0 if there is neither.
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

// keyAt returns the key in a line, empty if there is none.
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
	numericKeys []string       // the keys whose value is a number
	table       string         // the table that the current line belongs to
	tableCounts map[string]int // of the arrays of tables so far, by key
}

// indexFile returns the index of a file and the keys whose value is a number. It ends at the first expression that is not
// TOML, which the decoder reports.
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

// dottedKey returns the key of an expression, with dots, and its line.
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

// addExpression enters a table or a key with its value.
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
