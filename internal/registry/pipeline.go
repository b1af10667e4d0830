package registry

import (
	"sync"

	"github.com/hashicorp/raft"
)

// AppendEntriesPipeline opens a stream of entries to a replica, which ends itself at the first answer that is no success.
func (t *transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	inner, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	p := &pipeline{AppendPipeline: inner, answers: make(chan raft.AppendFuture), end: make(chan struct{})}
	go p.forward()
	return p, nil
}

// pipeline is raft's stream of entries to a replica, closed as soon as an answer is no success.
//
// raft reads no further answers then (pipelineDecode), and closes the stream once the sender has noticed. A sender that
// is under way by then hands its request over to be decoded, behind another one whose answer nobody takes any more:
// both wait for each other, and the replica is sent nothing for as long as this one leads. A replica whose disk refuses an
// entry, and that answers so before it closes, brings this about.
type pipeline struct {
	raft.AppendPipeline
	answers chan raft.AppendFuture
	end     chan struct{}
	once    sync.Once
}

// Consumer gives the answers in order; after the first that is no success none comes.
func (p *pipeline) Consumer() <-chan raft.AppendFuture { return p.answers }

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
		case p.answers <- answer:
		case <-p.end:
			return
		}
		if failed {
			return
		}
	}
}
