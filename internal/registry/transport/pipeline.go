package transport

import (
	"sync"

	"github.com/hashicorp/raft"
)

// AppendEntriesPipeline opens a pipeline of entries to a follower, which closes itself at the first rejection.
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
// After a rejection raft's pipelineDecode reads no further answers and closes the stream once the sender has noticed. A
// send in flight then queues its request behind one whose answer is never read: a deadlock, after which the follower
// receives no entries in this term. A follower whose disk write fails and that answers before it closes causes this.
type pipeline struct {
	raft.AppendPipeline
	responses chan raft.AppendFuture
	end       chan struct{}
	once      sync.Once
}

// Consumer gives the answers in order; after the first that is no success none comes.
func (p *pipeline) Consumer() <-chan raft.AppendFuture { return p.responses }

// Close ends the stream, and with it requests that wait to be sent.
func (p *pipeline) Close() error {
	p.once.Do(func() { close(p.end) })
	return p.AppendPipeline.Close()
}

// forward passes answers on until the stream ends.
func (p *pipeline) forward() {
	for {
		var answer raft.AppendFuture
		select {
		case answer = <-p.AppendPipeline.Consumer():
		case <-p.end:
			return
		}
		failed := !answer.Response().Success // so is one that did not come
		if failed {
			_ = p.AppendPipeline.Close() // raft closes it too, and does not look at the error either
		}
		select {
		case p.responses <- answer:
		case <-p.end:
			return
		}
		if failed {
			return
		}
	}
}
