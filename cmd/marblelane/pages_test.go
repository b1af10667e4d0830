package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pageCommand is a command line that a page shows.
type pageCommand struct {
	place   string // page and line number
	text    string
	inBlock bool // in a code block, else in a sentence, which may omit arguments
}

// commandSpan finds commands in a sentence.
var commandSpan = regexp.MustCompile("`(?:bin/)?marblelane( [^`]*)`")

// commandLine finds a command in a block of code, indented or fenced.
var commandLine = regexp.MustCompile(`^(?:    |\t)?(?:\$ )?(?:go run \./cmd/|bin/|\./bin/)?marblelane((?: .*)?)$`)

// pageCommands returns the command lines of a page. A line that ends in a backslash continues on the next one.
func pageCommands(name, page string) (all []pageCommand) {
	lines := strings.Split(page, "\n")
	fenced := false
	for i := 0; i < len(lines); i++ {
		place := fmt.Sprintf("%s:%d", name, i+1)
		if strings.HasPrefix(lines[i], "```") {
			fenced = !fenced
		}
		inBlock := fenced || strings.HasPrefix(lines[i], "    ") || strings.HasPrefix(lines[i], "\t")
		if found := commandLine.FindStringSubmatch(lines[i]); found != nil && inBlock {
			text := found[1]
			for strings.HasSuffix(text, `\`) && i+1 < len(lines) {
				i++
				text = strings.TrimSuffix(text, `\`) + lines[i]
			}
			all = append(all, pageCommand{place: place, text: text, inBlock: true})
			continue
		}
		for _, found := range commandSpan.FindAllStringSubmatch(lines[i], -1) {
			all = append(all, pageCommand{place: place, text: found[1]})
		}
	}
	return all
}

// placeholders maps each placeholder of the pages to a value that the program accepts.
var placeholders = map[string]string{
	"FILE": "file", "DIR": "folder", "HOST:PORT": "127.0.0.1:8500", "ADDR": "127.0.0.1:8500", "N": "1", "START": "1",
	"NAME": "r1", "OLD": "r1", "NEW": "r2", "UID": "s-1", "RAFT": "127.0.0.1:8601", "SERVE": "127.0.0.1:8501",
	"URL": "http://127.0.0.1:8081/", "NAME=FILE": "plain=file", "KIND": "list-", "SCENARIO": "quickstart",
}

// words splits a command as a shell does, drops a comment after # and replaces placeholders.
func (c pageCommand) words(t *testing.T) (words []string) {
	t.Helper()
	word, started, quote := "", false, rune(0)
	end := func() {
		if value, ok := placeholders[word]; ok {
			word = value
		}
		if started {
			words = append(words, word)
		}
		word, started = "", false
	}
	for _, r := range c.text {
		switch {
		case quote != 0 && r == quote:
			quote = 0
		case quote != 0:
			word += string(r)
		case r == '\'' || r == '"':
			quote, started = r, true
		case r == '#' && !started:
			return words
		case r == ' ':
			end()
		default:
			word, started = word+string(r), true
		}
	}
	require.Zero(t, quote, "%s: unclosed quote: %s", c.place, c.text)
	end()
	return words
}

// parse returns the error of the program's own parser.
func (c pageCommand) parse(t *testing.T) error {
	t.Helper()
	parser, err := kong.New(&cli{}, kong.Name("marblelane"), kong.Writers(io.Discard, io.Discard), kong.Exit(func(int) {}))
	require.NoError(t, err)
	words := c.words(t)
	trace, err := kong.Trace(parser, words)
	require.NoError(t, err)
	if !c.inBlock && trace.Error == nil && len(trace.Path) > 1 {
		return nil // a sentence names the command or some of its flags, which the parser knows
	}
	_, err = parser.Parse(words)
	return err
}

func TestPages_commandsParse(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	require.NoError(t, err)
	commands, blocks := 0, 0
	for _, path := range append(pages, "../../README.md") {
		page, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, command := range pageCommands(strings.TrimPrefix(path, "../../"), string(page)) {
			commands++
			if command.inBlock {
				blocks++
			}
			assert.NoError(t, command.parse(t), "%s: marblelane%s", command.place, command.text)
		}
	}
	t.Logf("%d commands, %d of them in blocks", commands, blocks)
	assert.Greater(t, blocks, 20, "the pages show commands")
	assert.Greater(t, commands, blocks, "the pages name commands in sentences")
}

func TestPageCommands_differ(t *testing.T) {
	const page = "text `marblelane lab scale` and `bin/marblelane lab scales`\n" +
		"    marblelane registry verify\n" +
		"    bin/marblelane registry verify DIR # sound\n" +
		"    marblelane lab run 'list-half~list-' \\\n        --sed 7\n" +
		"```\nmarblelane registry lost\n```\n" +
		"marblelane in a sentence\n" +
		"text `marblelane lab run --oldest FILE`\n"
	var places []string
	for _, command := range pageCommands("page.md", page) {
		if err := command.parse(t); err != nil {
			places = append(places, command.place)
		}
	}
	assert.Equal(t, []string{"page.md:1", "page.md:2", "page.md:4", "page.md:7", "page.md:10"}, places)
}
