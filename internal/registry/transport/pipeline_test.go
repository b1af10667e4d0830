package transport

import (
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 20 * time.Second

// refusingCopy answers every request with no success, and gives its address.
func refusingCopy(t *testing.T) raft.ServerAddress {
	t.Helper()
	wire, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, answerTimeout, hclog.NewNullLogger())
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

// raft takes no answer after one that is no success. A request that is sent by then has to come back, or the leader
// sends that replica nothing any more.
func TestPipeline_rejectionEndsIt(t *testing.T) {
	target := refusingCopy(t)
	network, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, answerTimeout, hclog.NewNullLogger())
	require.NoError(t, err)
	defer network.Close()
	sender, err := New(network, time.Second).AppendEntriesPipeline("one", target)
	require.NoError(t, err)
	defer sender.Close()
	request := &raft.AppendEntriesRequest{Term: 1}
	_, err = sender.AppendEntries(request, new(raft.AppendEntriesResponse))
	require.NoError(t, err)
	answer := <-sender.Consumer()
	require.NoError(t, answer.Error())
	require.False(t, answer.Response().Success)
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
	case <-time.After(answerTimeout):
		require.NoError(t, sender.Close()) // lets the request go
		<-ended
		t.Fatal("a request waits for ever")
	}
}

// Answers that are successes come in order, as many as were sent.
func TestPipeline_answersForwarded(t *testing.T) {
	network, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, answerTimeout, hclog.NewNullLogger())
	require.NoError(t, err)
	defer network.Close()
	var group sync.WaitGroup
	const requests = 100
	group.Go(func() {
		for range requests {
			rpc := <-network.Consumer()
			polled := rpc.Command.(*raft.AppendEntriesRequest)
			rpc.Respond(&raft.AppendEntriesResponse{Term: 1, LastLog: polled.PrevLogEntry, Success: true}, nil)
		}
	})
	sender, err := New(network, time.Second).AppendEntriesPipeline("one", network.LocalAddr())
	require.NoError(t, err)
	defer sender.Close()
	group.Go(func() {
		for i := range uint64(requests) {
			// All but 0, which would be a heartbeat's.
			request := &raft.AppendEntriesRequest{Term: 1, PrevLogEntry: i + 1}
			if _, err := sender.AppendEntries(request, new(raft.AppendEntriesResponse)); err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
		}
	})
	for i := range uint64(requests) {
		answer := <-sender.Consumer()
		require.NoError(t, answer.Error())
		require.Equal(t, i+1, answer.Response().LastLog)
	}
	group.Wait()
}
