package lab

import (
	"context"
	"net/http"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// PlainServers runs the stand-in servers of a scenario without sidecars and without the lab's clients.
type PlainServers struct {
	base   *harness.Run
	run    *run
	cancel context.CancelFunc
}

// StartServers starts the servers of a scenario. The caller must call Close unless StartServers returns an error.
func StartServers(ctx context.Context, s *scenario.Scenario, o harness.Options) (*PlainServers, error) {
	plain := *s
	plain.Sidecars.Program = NoProgram
	o.Log = nil
	base, err := harness.New(&plain, o)
	if err != nil {
		return nil, err
	}
	servers := &PlainServers{base: base, run: newRun(base)}
	ctx, servers.cancel = context.WithCancel(ctx)
	if err := servers.run.Start(ctx); err != nil {
		servers.Close()
		return nil, err
	}
	return servers, nil
}

// Arrivals returns the planned requests.
func (s *PlainServers) Arrivals() []scenario.Arrival { return s.run.Plan.Arrivals }

// Expect registers a request with the servers, which then respond to it as the arrival specifies. It returns the
// address to which the request has to be sent.
func (s *PlainServers) Expect(id uint64, arrival *scenario.Arrival) (addr string) {
	s.run.requests.Add(id, stock.ClientRequest{Method: http.MethodGet, Class: arrival.Class, BodySum: record.Sum(nil),
		Work: arrival.Work, ResponseBytes: s.run.Scenario.Traffic.ResponseBytes})
	return s.run.clientAddr(arrival.Sidecar)
}

// Close stops the servers.
func (s *PlainServers) Close() {
	s.cancel()
	s.run.Close()
	s.base.Close()
}
