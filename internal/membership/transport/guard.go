package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// This file rejects input that makes the library allocate excessive memory. The library decompresses up to 40 MiB, and
// allocates memory for as many nodes (up to a million) and bytes (up to 20 MiB) as the first bytes of a stream
// announce. Members send no compressed data.

// Message types of memberlist, from its net.go.
const (
	typePushPull   = 6
	typeCompound   = 7
	typeUser       = 8
	typeCompressed = 9
	typeChecked    = 12 // a checksum followed by another message
	typeLabel      = 244
)

const (
	maxAnnouncedNodes = 8192 // maximum nodes in a push/pull: 4,096 names, each with two processes during an upgrade
	maxHeaderBytes    = 256  // maximum length of the header of a stream, which announces sizes
	maxLabelBytes     = 256  // maximum length of the label before the header
)

var errOversized = errors.New("stream is compressed or announces more than the limit")

// isCompressedOrNested reports whether a packet is compressed, or is a compound message that is malformed or contains a
// compressed or compound message. Members send no such packets.
func isCompressedOrNested(b []byte) bool {
	if len(b) >= 2 && b[0] == typeLabel {
		b = b[min(2+int(b[1]), len(b)):]
	}
	if len(b) >= 5 && b[0] == typeChecked {
		b = b[5:]
	}
	if len(b) == 0 || b[0] != typeCompound {
		return len(b) > 0 && b[0] == typeCompressed
	}
	if len(b) < 2 || len(b) < 2+2*int(b[1]) {
		return true
	}
	lengths, parts := b[2:2+2*int(b[1])], b[2+2*int(b[1]):]
	for ; len(lengths) > 0; lengths = lengths[2:] {
		n := min(int(binary.BigEndian.Uint16(lengths)), len(parts))
		if n > 0 && (parts[0] == typeCompressed || parts[0] == typeCompound) {
			return true
		}
		parts = parts[n:]
	}
	return false
}

// checkedReader checks the sizes that the stream announces and returns a reader of the whole stream, including its
// header.
func (s *stream) checkedReader() (io.Reader, error) {
	in := bufio.NewReaderSize(readerFunc(s.readBounded), maxHeaderBytes)
	var seen bytes.Buffer
	err := checkAnnouncement(io.LimitReader(io.TeeReader(in, &seen), maxHeaderBytes+maxLabelBytes), s.transport.maxStreamBytes)
	if errors.Is(err, errOversized) {
		s.transport.dropped(droppedOversized)
		err = fmt.Errorf("read from %v: %w", s.RemoteAddr(), errors.Join(err, s.Close()))
	}
	return io.MultiReader(&seen, in), err
}

// checkAnnouncement reads the header of a stream. It returns errOversized if the stream is compressed, or if a size in
// the header exceeds its limit.
func checkAnnouncement(in io.Reader, maxBytes int64) error {
	messageType, err := readMessageType(in)
	if err != nil {
		return err
	}
	// The field names are those of the library's msgpack encoding.
	var header struct {
		Nodes        int
		UserStateLen int
		Join         bool
	}
	var user struct{ UserMsgLen int }
	var announcement any
	switch messageType {
	case typeCompressed:
		return errOversized
	case typePushPull:
		announcement = &header
	case typeUser:
		announcement = &user
	default:
		return nil
	}
	if err := codec.NewDecoder(in, &codec.MsgpackHandle{}).Decode(announcement); err != nil {
		return err
	}
	if header.Nodes > maxAnnouncedNodes || int64(header.UserStateLen) > maxBytes || int64(user.UserMsgLen) > maxBytes {
		return errOversized
	}
	return nil
}

// readMessageType reads the type of the first message of a stream, and skips the label before it if there is one.
func readMessageType(in io.Reader) (byte, error) {
	var first [2]byte
	if _, err := io.ReadFull(in, first[:1]); err != nil || first[0] != typeLabel {
		return first[0], err
	}
	if _, err := io.ReadFull(in, first[1:]); err != nil {
		return 0, err
	}
	if _, err := io.CopyN(io.Discard, in, int64(first[1])); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(in, first[:1])
	return first[0], err
}

// readerFunc is an io.Reader that calls a function.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
