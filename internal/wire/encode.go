package wire

import (
	"encoding/binary"
	"io"
	"math"

	"marblelane/balance"
)

// Action codes.
const (
	codeSend        = 1000
	codeReject      = 1010
	codeFail        = 1020
	codeCancel      = 1030
	codeTimer       = 1040
	codeHealthCheck = 1050
	codeCloseIdle   = 1060
	codeSendMessage = 1070
	codeLog         = 1080
	codeFault       = 1090
	codeWatch       = 1100
	codeFetch       = 1110
	allPeers        = 0xffffffff
	maxTextSize     = 0xffff
	replyHeaderSize = 4
)

// Reply collects the actions for one frame. They take effect together, after all events of the frame, so the actions of
// an instance that is killed within the frame have to be discarded.
type Reply struct {
	buf          []byte
	sections     []section
	discardedEnd map[uint16]int // by instance: its actions that end at or before this offset in buf are discarded
}

// section is a run of consecutive records in a reply.
type section struct {
	instance uint16
	end      int  // offset in the reply's buffer; the section starts where the one before it ends
	isFault  bool // a fault of this program, which outlives the instance
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	r.sections = r.sections[:0]
	clear(r.discardedEnd)
}

// WriteTo writes the reply as one frame, without the discarded actions.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	r.removeDiscarded()
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)))
	n, err := w.Write(r.buf)
	return int64(n), err
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint16, actions []balance.Action) {
	if len(actions) == 0 {
		return
	}
	for i := range actions {
		r.add(instance, &actions[i])
	}
	r.endSection(instance, false)
}

// Fault reports that an instance failed: by invalid settings, an invalid event, or a panic.
func (r *Reply) Fault(instance uint16, text string) {
	r.head(codeFault, instance)
	r.text([]byte(text))
	r.endSection(instance, true)
}

// DiscardActions discards all actions that an instance has added since the last Reset. Its faults remain in the reply.
func (r *Reply) DiscardActions(instance uint16) {
	if r.discardedEnd == nil {
		r.discardedEnd = map[uint16]int{}
	}
	r.discardedEnd[instance] = len(r.buf)
}

// endSection ends a section with the records that were appended since the end of the section before it.
func (r *Reply) endSection(instance uint16, isFault bool) {
	r.sections = append(r.sections, section{instance: instance, end: len(r.buf), isFault: isFault})
}

// removeDiscarded removes the discarded actions from the buffer. The other records keep their order.
func (r *Reply) removeDiscarded() {
	if len(r.discardedEnd) == 0 {
		return
	}
	kept := r.sections[:0]
	start, size := replyHeaderSize, replyHeaderSize
	for _, s := range r.sections {
		records := r.buf[start:s.end]
		start = s.end
		if !s.isFault && s.end <= r.discardedEnd[s.instance] {
			continue
		}
		size += copy(r.buf[size:], records)
		s.end = size
		kept = append(kept, s)
	}
	r.buf, r.sections = r.buf[:size], kept
	clear(r.discardedEnd)
}

// add appends one action as a record.
func (r *Reply) add(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		r.head(codeSend, instance)
		r.u64(uint64(a.Request))
		r.f64(a.At)
		r.server(a.Server)
	case balance.Reject:
		r.head(codeReject, instance)
		r.u64(uint64(a.Request))
		r.f64(a.At)
	case balance.Fail:
		r.head(codeFail, instance)
		r.u64(uint64(a.Request))
	case balance.Cancel:
		r.head(codeCancel, instance)
		r.u64(uint64(a.Request))
		r.buf = append(r.buf, uint8(a.Attempt))
	case balance.SetTimer:
		r.head(codeTimer, instance)
		r.u64(a.Token)
		r.f64(a.At)
	case balance.HealthCheck:
		r.head(codeHealthCheck, instance)
		r.server(a.Server)
	case balance.CloseIdle:
		r.head(codeCloseIdle, instance)
		r.server(a.Server)
	case balance.SendMessage:
		r.head(codeSendMessage, instance)
		peer := uint32(allPeers)
		if a.Peer >= 0 {
			peer = uint32(a.Peer)
		}
		r.buf = binary.BigEndian.AppendUint32(r.buf, peer)
		r.text(a.Data)
	case balance.Log:
		r.head(codeLog, instance)
		r.text([]byte(a.Text))
	case balance.Watch:
		r.head(codeWatch, instance)
		r.buf = append(r.buf, 1)
	case balance.Fetch:
		r.head(codeFetch, instance)
	}
}

// head appends the header of a record.
func (r *Reply) head(code, instance uint16) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

// server appends a server ID as a four-byte address and a port.
func (r *Reply) server(id balance.ServerID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(id>>16))
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(id))
}

// text appends a text with its length, truncated to maxTextSize.
func (r *Reply) text(b []byte) {
	if len(b) > maxTextSize {
		b = b[:maxTextSize]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}
