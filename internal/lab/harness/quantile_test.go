package harness

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestQuantile_rounding(t *testing.T) {
	sorted := []int{1, 2, 3, 4}
	assert.Equal(t, 2, Quantile(sorted, 0.5))
	assert.Equal(t, 3, UpperQuantile(sorted, 0.5))
	assert.Equal(t, 4, Quantile(sorted, 1))
	assert.Equal(t, 1, UpperQuantile(sorted, 0))
}
