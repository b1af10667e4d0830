package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"os/exec"
	"time"
)

func init() { cases["stale-instance"] = staleInstance }

// Codes of the simulator's wire.
const (
	codeSheet, codeAsk, codeChanged, codeDown, codeBegin       = 1000, 1010, 1040, 1060, 1070
	codeHandOff, codeDecline, codeEndFailed, codeAbandon       = 1000, 1010, 1020, 1030
	codeArm, codeInspect, codeClose, codePost, codeTrace       = 1040, 1050, 1060, 1070, 1080
	codeInternalError, codeTrack, codeLookup                   = 1090, 1100, 1110
	firstEntryPort                                             = 9000
	cached                                               uint8 = 1
)

// simulator speaks the simulator's wire to an adapter process.
type simulator struct {
	in      io.Writer
	out     io.Reader
	r       *record
	start   time.Time
	records int
	batch   bytes.Buffer
}

func (s *simulator) put(values ...any) {
	for _, v := range values {
		if err := binary.Write(&s.batch, binary.BigEndian, v); err != nil {
			cannotRun("batch: %v", err)
		}
	}
}

// begin starts an instance: its settings, and the list as it held it last.
func (s *simulator) begin(instance uint16, seed uint64) {
	text, _ := json.Marshal(settings())
	s.put(uint16(codeBegin), instance, seed, uint32(len(text)), text)
	const servers = 8
	s.put(uint16(codeSheet), uint16(0), uint32(servers))
	for i := range servers {
		s.put(float64(0), uint8(0), [4]byte{10, 0, 0, byte(i + 1)}, uint16(firstEntryPort), float32(1), uint16(i/2), uint8(0), uint8(0))
	}
	s.put(uint16(codeChanged), instance, cached, uint32(41), uint16(0))
	s.records += 3
	s.r.add("  instance %d: begin, backends_changed", instance)
}

func (s *simulator) ask(instance uint16, id uint64) {
	s.put(uint16(codeAsk), instance, id, uint16(0), float64(0), uint16(0), uint64(0), float64(1500), uint16(2))
	s.records++
	s.r.add("  instance %d: ask %d (parcel-issue)", instance, id)
}

func (s *simulator) down(instance uint16) {
	s.put(uint16(codeDown), instance)
	s.records++
	s.r.add("  instance %d: down", instance)
}

// named is an action of a reply that names a request.
type named struct {
	what     string
	instance uint16
	request  uint64
}

// send sends the batch and returns the actions of the reply that name requests.
func (s *simulator) send() (actions []named) {
	frame := new(bytes.Buffer)
	clock := 1000 + float64(time.Since(s.start).Microseconds())/1000
	for _, v := range []any{uint32(s.records), uint32(16 + s.batch.Len()), clock} {
		binary.Write(frame, binary.BigEndian, v)
	}
	frame.Write(s.batch.Bytes())
	s.batch.Reset()
	s.records = 0
	if _, err := s.in.Write(frame.Bytes()); err != nil {
		cannotRun("the adapter reads no more: %v", err)
	}
	var size uint32
	if err := binary.Read(s.out, binary.BigEndian, &size); err != nil {
		cannotRun("the adapter sends no reply: %v", err)
	}
	reply := make([]byte, size-4)
	if _, err := io.ReadFull(s.out, reply); err != nil {
		cannotRun("reply: %v", err)
	}
	names := map[uint16]string{codeHandOff: "hand_off", codeDecline: "decline", codeEndFailed: "end_failed", codeAbandon: "abandon"}
	lengths := map[uint16]int{codeHandOff: 26, codeDecline: 20, codeEndFailed: 12, codeAbandon: 13, codeArm: 20, codeInspect: 10,
		codeClose: 10, codeTrack: 5, codeLookup: 4}
	for len(reply) > 0 {
		code, instance := binary.BigEndian.Uint16(reply), binary.BigEndian.Uint16(reply[2:])
		length := lengths[code]
		switch code {
		case codeTrace, codeInternalError:
			length = 6 + int(binary.BigEndian.Uint16(reply[4:]))
		case codePost:
			length = 10 + int(binary.BigEndian.Uint16(reply[8:]))
		}
		if length == 0 {
			cannotRun("reply with code %d", code)
		}
		if name := names[code]; name != "" {
			actions = append(actions, named{name, instance, binary.BigEndian.Uint64(reply[4:])})
		}
		reply = reply[length:]
	}
	return actions
}

// staleInstance: an instance is killed in the batch in which it gets a request, and begins again in the same batch. What is
// done in its name then names only requests that it was given since it started.
func staleInstance(r *record) {
	const rounds = 100
	cmd := exec.Command("/bin/sh", "-c", deployValue("sim"))
	cmd.Dir = repoRoot()
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		cannotRun("adapter: %v", err)
	}
	onEnd(func() {
		in.Close()
		cmd.Process.Kill()
		cmd.Wait()
	})
	s := &simulator{in: in, out: out, r: r, start: time.Now()}
	given := map[uint64]bool{} // requests that the present instance was given
	r.add("batch")
	s.begin(0, 1)
	s.send()
	sent, stale := 0, 0
	for round := range rounds {
		time.Sleep(10 * time.Millisecond)
		id := uint64(1000 + round)
		r.add("batch")
		s.ask(0, id)
		given[id] = true
		if trouble() {
			s.down(0)
			s.begin(0, uint64(round+2))
			given = map[uint64]bool{}
		}
		for _, a := range s.send() {
			r.add("  reply: %s of instance %d for request %d", a.what, a.instance, a.request)
			sent++
			if !given[a.request] {
				stale++
				r.add("BROKEN: instance %d was not given request %d since it started", a.instance, a.request)
			}
		}
	}
	verdict(r, stale > 0, "%d requests, %d actions that name a request, %d of them name one that the instance was not given since it started", rounds, sent, stale)
}
