package main

import (
	"syscall"
	"testing"
)

// Signals that come once the work is done do not make a crash of an orderly end.
func TestShutdownStandsSignalsToItsLastMoment(t *testing.T) {
	t.Setenv(signalsAtTheEnd, "1")
	p := launch(t, nil)
	p.sigterm()
	p.ended()
}

// Neither a second SIGTERM nor SIGHUP ends a drain early or undoes it.
func TestShutdownGoesOnThroughMoreSignals(t *testing.T) {
	p := launch(t, nil)
	hung := p.dial()
	hung.ask("unsafe", "hang")
	p.stock.got(p.t)
	p.sigterm()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	c := p.dial()
	c.ask("unsafe", "")
	c.answer(200, true)
	hung.answer(502, false)
	p.between(giveUpAt, killAt, "a request was given up")
	hung.Close()
	p.ended()
}
