package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/lab/scenario"
)

func TestStepsByKind_complete(t *testing.T) {
	for _, kind := range scenario.FaultKinds() {
		assert.Contains(t, stepsByKind, kind)
	}
	assert.Len(t, stepsByKind, len(scenario.FaultKinds()))
}
