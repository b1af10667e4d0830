// Package wire converts the simulator's binary frames and settings to the types of package balance, and actions back to
// frames. It makes no decisions of its own.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"marblelane/balance"
)

// Event codes.
const (
	codeServerTable        = 1000
	codeRequest            = 1010
	codeTimerFired         = 1020
	codeResponseStarted    = 1030
	codeServerList         = 1040
	codeMessage            = 1050
	codeInstanceStop       = 1060
	codeInstanceStart      = 1070
	codeHealthCheckResult  = 1080
	codeOutcome            = 1090
	codeClientDisconnected = 1100
)

const (
	headerSize   = 16      // size of a frame header in bytes
	entrySize    = 23      // size of a server in a table in bytes
	maxFrameSize = 1 << 28 // in bytes, far above any frame of the simulator
	maxTables    = 16
)

// resultsByCode maps the result codes of the protocol.
var resultsByCode = map[uint16]balance.Result{
	0: balance.OK, 13: balance.Failed, 8: balance.Rejected, 4: balance.TimedOut,
	14: balance.ConnectFailed, 10: balance.Reset, 1: balance.Cancelled, 9: balance.NotSent,
}

// InstanceStart starts an instance of the balancer. Settings is the raw profile for ParseSettings.
type InstanceStart struct {
	Seed     uint64
	Settings []byte
}

// InstanceStop reports that an instance was killed.
type InstanceStop struct{}

// Record is one event for one instance: an InstanceStart, an InstanceStop or a balance.Event.
type Record struct {
	Instance uint16
	Event    any
}

// Reader reads frames. A server table stays valid for later frames until it is replaced.
type Reader struct {
	in        io.Reader
	buf       bytes.Buffer
	tables    [maxTables][]balance.Server
	tableSent [maxTables]bool
	report    []float32
}

// NewReader returns a reader of the frames of in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Read calls handle for each event of the next frame, in order, with the frame's clock. It returns io.EOF if the input
// ends between frames. Slices in events are valid only during the call.
func (r *Reader) Read(handle func(clock float64, rec Record) error) error {
	var head [headerSize]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("frame header cut short: %w", err)
	}
	count := binary.BigEndian.Uint32(head[0:])
	size := binary.BigEndian.Uint32(head[4:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(head[8:]))
	if size < headerSize || size > maxFrameSize {
		return fmt.Errorf("frame length %d: want %d to %d", size, headerSize, maxFrameSize)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("frame clock is %v", clock)
	}
	r.buf.Reset()
	// The buffer grows with the bytes received, so that a wrong length in the header does not allocate memory.
	if n, err := io.CopyN(&r.buf, r.in, int64(size-headerSize)); err != nil {
		return fmt.Errorf("frame of %d bytes cut short after %d: %w", size, n+headerSize, err)
	}
	f := fieldReader{data: r.buf.Bytes()}
	for i := uint32(0); i < count; i++ {
		at := f.pos
		rec, err := r.readRecord(&f)
		if err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, at+headerSize, err)
		}
		if rec.Event == nil {
			continue
		}
		if err := handle(clock, rec); err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, at+headerSize, err)
		}
	}
	if f.pos != len(f.data) {
		return fmt.Errorf("%d bytes after the last of %d records", len(f.data)-f.pos, count)
	}
	return nil
}

// readRecord reads the next record. The event is nil for a server table.
func (r *Reader) readRecord(f *fieldReader) (Record, error) {
	code, first := f.u16(), f.u16()
	if f.truncated {
		return Record{}, errTruncated
	}
	rec := Record{Instance: first}
	var err error
	switch code {
	case codeServerTable:
		err = r.readServerTable(f, first)
	case codeInstanceStart:
		seed := f.u64()
		rec.Event = InstanceStart{Seed: seed, Settings: f.bytes(f.u32())}
	case codeInstanceStop:
		rec.Event = InstanceStop{}
	case codeServerList:
		rec.Event, err = r.readServerList(f)
	case codeRequest:
		rec.Event = readRequest(f)
	case codeTimerFired:
		rec.Event = balance.Timer{Token: f.u64()}
	case codeResponseStarted:
		ev := balance.ResponseStarted{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
		ev.Elapsed = f.f64()
		rec.Event = ev
	case codeOutcome:
		rec.Event, err = r.readOutcome(f)
	case codeClientDisconnected:
		rec.Event = balance.ClientDisconnected{Request: balance.RequestID(f.u64())}
	case codeHealthCheckResult:
		rec.Event, err = r.readHealthCheckResult(f)
	case codeMessage:
		from := int(f.u16())
		rec.Event = balance.Message{From: from, Data: f.bytes(uint32(f.u16()))}
	default:
		return rec, fmt.Errorf("unknown event code %d", code)
	}
	if err == nil && f.truncated {
		err = errTruncated
	}
	if err != nil {
		return rec, fmt.Errorf("event code %d: %w", code, err)
	}
	return rec, nil
}

// readServerTable stores a table of servers for later list events.
func (r *Reader) readServerTable(f *fieldReader, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("server table %d: want 0 to %d", table, maxTables-1)
	}
	n := f.u32()
	if uint64(n)*entrySize > uint64(len(f.data)-f.pos) {
		return fmt.Errorf("%d entries: %w", n, errTruncated)
	}
	list := make([]balance.Server, n)
	for i := range list {
		s := &list[i]
		s.StartedAt = f.f64()
		switch state := f.u8(); state {
		case 0:
			s.State = balance.Ready
		case 2:
			s.State = balance.Draining
		case 1:
			s.State = balance.Removed
		default:
			return fmt.Errorf("entry %d: unknown condition %d", i, state)
		}
		s.ID = f.server()
		s.Rating = float64(f.f32())
		s.Cell, s.Zone, s.Kind = int(f.u16()), int(f.u8()), int(f.u8())
	}
	r.tables[table], r.tableSent[table] = list, true
	return nil
}

// readServerList reads a list event, which refers to a server table.
func (r *Reader) readServerList(f *fieldReader) (any, error) {
	kind, _, table := f.u8(), f.u32(), f.u16()
	if f.truncated {
		return nil, errTruncated
	}
	ev := balance.ServerList{}
	switch kind {
	case 0:
		ev.Kind = balance.ListFull
	case 1:
		ev.Kind = balance.ListCached
	case 3:
		ev.Kind = balance.ListDelta
	case 2:
		return balance.ServerList{Kind: balance.ListFailed, Busy: true}, nil
	default:
		return nil, fmt.Errorf("unknown list kind %d", kind)
	}
	if table >= maxTables || !r.tableSent[table] {
		return nil, fmt.Errorf("server table %d was never sent", table)
	}
	ev.Servers = r.tables[table]
	return ev, nil
}

// readRequest reads a request event.
func readRequest(f *fieldReader) balance.Request {
	ev := balance.Request{ID: balance.RequestID(f.u64()), Tenant: int(f.u16())}
	hint, bits := f.f64(), f.u16()
	if bits&1 != 0 {
		ev.WorkHint = hint
	}
	ev.ClientRetry, ev.Write = bits&2 != 0, bits&4 != 0
	ev.IdempotencyKey, ev.Remaining = f.u64(), f.f64()
	ev.Class = int(f.u16())
	return ev
}

// readOutcome reads the outcome of an attempt.
func (r *Reader) readOutcome(f *fieldReader) (any, error) {
	ev := balance.Outcome{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
	code := f.u16()
	ev.Elapsed, ev.Finished = f.f64(), f.u8() != 0
	ev.Report = r.readReport(f)
	var err error
	ev.Result, err = readResult(code, f)
	return ev, err
}

// readHealthCheckResult reads the result of a health check.
func (r *Reader) readHealthCheckResult(f *fieldReader) (any, error) {
	ev := balance.HealthCheckResult{Elapsed: f.f64()}
	code := f.u16()
	ev.Server, ev.Report = f.server(), r.readReport(f)
	var err error
	ev.Result, err = readResult(code, f)
	return ev, err
}

// readResult converts a result code.
func readResult(code uint16, f *fieldReader) (balance.Result, error) {
	res, ok := resultsByCode[code]
	if !ok && !f.truncated {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return res, nil
}

// readReport reads a load report. The next call reuses the slice.
func (r *Reader) readReport(f *fieldReader) []float32 {
	r.report = r.report[:0]
	for n := f.u8(); n > 0; n-- {
		r.report = append(r.report, f.f32())
	}
	return r.report
}

// errTruncated is returned for a record that extends past the end of its frame.
var errTruncated = errors.New("record runs past the end of the frame")

// fieldReader reads fields from a frame. A read past the end sets truncated and returns zero.
type fieldReader struct {
	data      []byte
	pos       int
	truncated bool
}

// bytes returns the next n bytes, or nil past the end.
func (f *fieldReader) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(f.data)-f.pos) {
		f.truncated, f.pos = true, len(f.data)
		return nil
	}
	f.pos += int(n)
	return f.data[f.pos-int(n) : f.pos : f.pos]
}

func (f *fieldReader) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fieldReader) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *fieldReader) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fieldReader) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// f64 reads a number. It returns 0, which means absent, for a number that is not finite.
func (f *fieldReader) f64() float64 {
	v := math.Float64frombits(f.u64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// f32 reads a number. It returns 0, which means absent, for a number that is not finite.
func (f *fieldReader) f32() float32 {
	v := math.Float32frombits(f.u32())
	if v != v || math.IsInf(float64(v), 0) {
		return 0
	}
	return v
}

// server reads a server ID, which consists of a four-byte address and a port.
func (f *fieldReader) server() balance.ServerID {
	host := f.u32()
	return balance.ServerID(uint64(host)<<16 | uint64(f.u16()))
}
