package collect

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
)

// TestMetricNames compares the names, help texts and labels of the metrics with a golden file, as dashboards depend on
// them.
func TestMetricNames(t *testing.T) {
	descriptions := make(chan *prometheus.Desc, 100)
	New((*membership.Group)(nil)).Describe(descriptions)
	close(descriptions)
	var got []string
	for d := range descriptions {
		got = append(got, d.String()+"\n")
	}
	want, err := os.ReadFile("testdata/metrics.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), strings.Join(got, ""))
}
