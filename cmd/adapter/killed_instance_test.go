package main

import (
	"bytes"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"testing"
)

// runAsProgramEnv is the variable that makes the test binary run as the adapter.
const runAsProgramEnv = "ADAPTER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a killed instance that acts in the name of the one that starts in the same frame, in a real process.
func TestProgram_restartWithinFrame(t *testing.T) {
	s := &frameScript{}
	s.frame(1000, startRecord(1, 7, settings), tableRecord(3), cachedListRecord(1), startRecord(2, 7, settings), cachedListRecord(2),
		requestRecord(1, 5), requestRecord(2, 15),
		stopRecord(1), startRecord(1, 8, settings), cachedListRecord(1), requestRecord(1, 6), requestRecord(2, 16))
	s.frame(1001, timerRecord(1, 5), requestRecord(1, 7)) // a timer of the killed instance is ignored
	s.frame(1002, requestRecord(1, 8), stopRecord(1))
	s.frame(1003, startRecord(1, 9, settings), cachedListRecord(1), requestRecord(1, 9))
	program := exec.CommandContext(t.Context(), os.Args[0])
	program.Env = append(os.Environ(), runAsProgramEnv+"=1")
	program.Stdin = &s.Buffer
	replies, err := program.Output()
	if err != nil {
		t.Fatal(err)
	}
	for instance, want := range map[uint16][]uint64{1: {6, 7, 9}, 2: {15, 16}} {
		if got := requestsSent(t, replies, instance); !slices.Equal(got, want) {
			t.Errorf("instance %d sent requests %v, want %v", instance, got, want)
		}
	}
}

const (
	drawnFrames    = 6
	drawnInstances = 3
	// subscribeSettings makes an instance subscribe to the list at its start.
	subscribeSettings = `{"classes": [{"effect": "non_idempotent", "on_time_ms": 300, "hard_limit_ms": 1500}], "discovery": "subscribe"}`
)

// incarnation is an instance from one start to its end.
type incarnation struct {
	instance uint16
	records  [drawnFrames][][]byte // by frame
	endFrame int                   // the frame in which it is killed or replaced; negative: it is not
}

// add adds records of a frame to those of the incarnation, and returns them.
func (i *incarnation) add(frame int, records ...[]byte) [][]byte {
	i.records[frame] = append(i.records[frame], records...)
	return records
}

// script returns frames with the records of the incarnation alone.
func (i *incarnation) script() *frameScript {
	s := &frameScript{}
	for frame, records := range i.records {
		s.frame(1000+float64(frame), append([][]byte{tableRecord(4)}, records...)...)
	}
	return s
}

// drawFrames draws frames in which instances start, get requests and timers, are killed, or start anew without a kill.
func drawFrames(rnd *rand.Rand) (script *frameScript, incarnations []*incarnation) {
	script = &frameScript{}
	running := [drawnInstances]*incarnation{}
	for frame := range drawnFrames {
		records := [][]byte{tableRecord(4)}
		for n := range uint64(rnd.IntN(16)) {
			instance := uint16(rnd.IntN(drawnInstances))
			current, choice := running[instance], rnd.IntN(8)
			if current != nil && choice < 3 {
				current.endFrame, running[instance] = frame, nil
			}
			switch {
			case current == nil || choice == 0:
				current = &incarnation{instance: instance, endFrame: -1}
				running[instance], incarnations = current, append(incarnations, current)
				start := startRecord(instance, rnd.Uint64(), subscribeSettings)
				records = append(records, current.add(frame, start, cachedListRecord(instance))...)
			case choice < 3:
				records = append(records, stopRecord(instance))
			case choice == 3:
				records = append(records, current.add(frame, timerRecord(instance, n))...)
			default:
				records = append(records, current.add(frame, requestRecord(instance, uint64(frame)<<8+n))...)
			}
		}
		script.frame(1000+float64(frame), records...)
	}
	return script, incarnations
}

// Guards against actions that outlive their instance: a reply has exactly the actions that the instances alive at the end
// of its frame return when each runs alone.
func TestRun_killedInstancesLeaveNoActions(t *testing.T) {
	for seed := range uint64(200) {
		script, incarnations := drawFrames(rand.New(rand.NewPCG(seed, 0)))
		var want [drawnFrames][drawnInstances][]byte
		for _, i := range incarnations {
			for frame, actions := range splitReplies(t, mustRun(t, i.script())) {
				if frame != i.endFrame && len(actions) > 0 {
					want[frame][i.instance] = slices.Concat(actions...)
				}
			}
		}
		for frame, actions := range splitReplies(t, mustRun(t, script)) {
			var got [drawnInstances][]byte
			for _, action := range actions {
				instance := action[3]
				got[instance] = append(got[instance], action...)
			}
			for instance := range got {
				if !bytes.Equal(got[instance], want[frame][instance]) {
					t.Fatalf("seed %d, frame %d, instance %d: actions %x, want %x", seed, frame, instance, got[instance], want[frame][instance])
				}
			}
		}
	}
}
