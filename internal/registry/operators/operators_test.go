package operators

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func loadText(t *testing.T, text string) (*Operators, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "o.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

func TestOperators_fileErrors(t *testing.T) {
	for text, wantError := range map[string]string{
		"term = \"5\"":                                    `o.toml:1: term: "5" is not a duration`,
		"term = \"10ms\"":                                 "o.toml:1: term: 10ms is below 500ms",
		"\nshut_after = \"1s\"":                           "o.toml:2: shut_after: 1000 ms is not greater than behind_after (2000 ms)",
		"remember = \"5s\"":                               "o.toml:1: remember: 5000 ms is less than two terms",
		"behind_share = 1.5":                              "o.toml:1: behind_share: 1.5 is above 1",
		"alpha = 1.0":                                     "alpha: 1 is not below 1",
		"nonsense = 1":                                    "o.toml:1: nonsense: unknown key",
		"[[tenant]]\nmax_share = 1.5":                     "o.toml:2: tenant[0].max_share: 1.5 is above 1",
		"[[tenant]]\nname = \"x/y\"":                      `o.toml:2: tenant[0].name: "x/y" has a character of "/"`,
		"[[tenant]]\nname = \"audit\"":                    `tenant[0].name: "audit" is reserved in paths`,
		"[[tenant]]\n[[tenant]]":                          "tenant: a name comes twice",
		"[[tenant]]\nrollouts = 101":                      "tenant[0].rollouts: 101 is above 100",
		"[[tenant]]\nsubsets = [\"x\"]":                   `o.toml:2: tenant[0].subsets[0]: subset "x" does not exist`,
		"[[tenant]]\nmax_budget = -1":                     "tenant[0].max_budget: -1 is not above 0",
		"[[subset]]\nmodel = [\"m\"]":                     "o.toml:1: subset[0].name: is missing",
		"[[subset]]\nname = \"s\"":                        "subset[0]: selects all servers",
		"[[subset]]\nname = \"s\"\nuid = [\"\"]":          `o.toml:3: subset[0].uid[0]: "" is below 1 bytes`,
		"[[subset]]\nname = \"s\"\npod_group = [\"a\"]":   "o.toml:3: subset.pod_group",
		"# " + strings.Repeat("x", maxOperatorsFileBytes): "bytes exceeds the maximum of 1048576 bytes",
		// Bounds are in bytes. Each of these texts is within its bound in characters, but not in bytes, as é has two bytes.
		"operator_token = \"" + strings.Repeat("é", 101) + `"`:                  "operator_token: \"" + strings.Repeat("é", 20) + "...\" is above 200 bytes",
		"[[tenant]]\nname = \"" + strings.Repeat("é", 51) + `"`:                 "tenant[0].name: \"" + strings.Repeat("é", 20) + "...\" is above 100 bytes",
		"[[subset]]\nname = \"s\"\naz = [\"x" + strings.Repeat("é", 100) + `"]`: "subset[0].az[0]: \"x" + strings.Repeat("é", 19) + "...\" is above 200 bytes",
	} {
		_, err := loadText(t, text)
		assert.ErrorContains(t, err, wantError, text[:min(len(text), 80)])
	}
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	assert.ErrorContains(t, err, "operators' file")
}
