package cluster

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/lab/scenario"
)

func TestInjectors_complete(t *testing.T) {
	for _, kind := range scenario.FaultKinds() {
		if strings.HasPrefix(kind, "copy-") {
			assert.Contains(t, injectors, kind)
		}
	}
	for kind := range injectors {
		assert.Contains(t, scenario.FaultKinds(), kind)
	}
}
