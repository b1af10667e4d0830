package collect

import (
	"context"
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
)

// Metrics are exported with the prefix of the registerer.
func TestCollector(t *testing.T) {
	g, err := membership.Open(membership.Config{Name: "a", Fleet: "f", Bind: "127.0.0.1:0", Peers: 2})
	require.NoError(t, err)
	defer func() { require.NoError(t, g.Close()) }()
	registry := prometheus.NewPedanticRegistry()
	prometheus.WrapRegistererWithPrefix("svc_", registry).MustRegister(New(g))
	families, err := registry.Gather()
	require.NoError(t, err)
	text := fmt.Sprint(families)
	for _, want := range []string{"members", "members_known", "members_believed", "members_admitted", "members_changes_total",
		"members_begun_again_total", "members_oldest_unheard_seconds"} {
		require.Contains(t, text, `name:"svc_`+want+`"`)
	}
	require.NoError(t, g.Leave(context.Background()))
}
