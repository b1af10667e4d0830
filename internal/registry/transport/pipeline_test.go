package transport

import (
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// responseTimeout bounds the wait for a response.
const responseTimeout = 20 * time.Second

// startRejectingReplica starts a replica that rejects every request, and returns its address.
func startRejectingReplica(t *testing.T) raft.ServerAddress {
	t.Helper()
	wire, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, responseTimeout, hclog.NewNullLogger())
	require.NoError(t, err)
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case rpc := <-wire.Consumer():
				rpc.Respond(&raft.AppendEntriesResponse{Term: 1}, nil)
			case <-end:
				return
			}
		}
	})
	t.Cleanup(func() {
		close(end)
		group.Wait()
		require.NoError(t, wire.Close())
	})
	return wire.LocalAddr()
}

// raft reads no response after a rejection. A request that is sent after it has to fail, or the leader sends nothing
// more to that replica.
func TestPipeline_rejectionEndsIt(t *testing.T) {
	target := startRejectingReplica(t)
	network, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, responseTimeout, hclog.NewNullLogger())
	require.NoError(t, err)
	defer network.Close()
	sender, err := New(network, time.Second).AppendEntriesPipeline("one", target)
	require.NoError(t, err)
	defer sender.Close()
	request := &raft.AppendEntriesRequest{Term: 1}
	_, err = sender.AppendEntries(request, new(raft.AppendEntriesResponse))
	require.NoError(t, err)
	response := <-sender.Consumer()
	require.NoError(t, response.Error())
	require.False(t, response.Response().Success)
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := sender.AppendEntries(request, new(raft.AppendEntriesResponse)); err != nil {
				ended <- err
				return
			}
		}
	}()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(responseTimeout):
		require.NoError(t, sender.Close()) // unblocks the request
		<-ended
		t.Fatal("a request after the rejection did not return")
	}
}

// The pipeline delivers one response for each request, in order, while all of them report success.
func TestPipeline_responsesForwarded(t *testing.T) {
	network, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, responseTimeout, hclog.NewNullLogger())
	require.NoError(t, err)
	defer network.Close()
	var group sync.WaitGroup
	const requests = 100
	group.Go(func() {
		for range requests {
			rpc := <-network.Consumer()
			request := rpc.Command.(*raft.AppendEntriesRequest)
			rpc.Respond(&raft.AppendEntriesResponse{Term: 1, LastLog: request.PrevLogEntry, Success: true}, nil)
		}
	})
	sender, err := New(network, time.Second).AppendEntriesPipeline("one", network.LocalAddr())
	require.NoError(t, err)
	defer sender.Close()
	group.Go(func() {
		for i := range uint64(requests) {
			// Index 0 would make the request a heartbeat.
			request := &raft.AppendEntriesRequest{Term: 1, PrevLogEntry: i + 1}
			if _, err := sender.AppendEntries(request, new(raft.AppendEntriesResponse)); err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
		}
	})
	for i := range uint64(requests) {
		response := <-sender.Consumer()
		require.NoError(t, response.Error())
		require.Equal(t, i+1, response.Response().LastLog)
	}
	group.Wait()
}
