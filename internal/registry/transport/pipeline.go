package transport

import (
	"sync"

	"github.com/hashicorp/raft"
)

// AppendEntriesPipeline opens a pipeline of entries to a follower. The pipeline closes itself at the first rejection.
func (t *Transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	inner, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	p := &pipeline{AppendPipeline: inner, responses: make(chan raft.AppendFuture), end: make(chan struct{})}
	go p.forward()
	return p, nil
}

// pipeline is raft's pipeline of entries to a follower, closed as soon as an entry is rejected.
//
// After a rejection raft's pipelineDecode reads no further responses, and closes the stream only once the sender has
// noticed. A send in flight then queues its request behind one whose response is never read. That is a deadlock, and
// the follower receives no more entries in this term. It happens when a follower's disk write fails and the follower
// responds before it closes the connection.
type pipeline struct {
	raft.AppendPipeline
	responses chan raft.AppendFuture
	end       chan struct{}
	once      sync.Once
}

// Consumer returns the channel of responses, in order. The first response without success is the last one.
func (p *pipeline) Consumer() <-chan raft.AppendFuture { return p.responses }

// Close closes the stream and aborts requests that wait to be sent.
func (p *pipeline) Close() error {
	p.once.Do(func() { close(p.end) })
	return p.AppendPipeline.Close()
}

// forward passes on responses until the pipeline is closed or a response reports no success.
func (p *pipeline) forward() {
	for {
		var response raft.AppendFuture
		select {
		case response = <-p.AppendPipeline.Consumer():
		case <-p.end:
			return
		}
		failed := !response.Response().Success // also false if no response arrived
		if failed {
			_ = p.AppendPipeline.Close() // raft closes it again and ignores the error as well
		}
		select {
		case p.responses <- response:
		case <-p.end:
			return
		}
		if failed {
			return
		}
	}
}
