package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"reflect"
	"slices"
	"strings"
	"time"
)

// A file is a header, sections and a digest of all before it. Integers are big-endian; sizes in parentheses are bytes.
//
//	header   magic (8), format (2), oldest format that may read it (2), number of sections (4), size of the file (8),
//	         sequence number (8), CRC-32C of these (4)
//	section  name (4), flags (4), size of the body (4), CRC-32C of these and of the body (4), body in JSON
//	digest   SHA-256 (32)
//
// The CRCs tell where a file is damaged. The digest decides whether it is complete, as a CRC misses one in 2^32 mixtures
// of sectors of two files. Header and digest are the same in every format.
//
// Compatibility:
//   - a newer program reads each older format; a section or key that is missing has its zero value;
//   - an older program refuses a file whose oldest reader is newer than itself, whatever else is in it;
//   - otherwise it skips a section that it does not know, unless the section has flagCritical;
//   - and it skips a key that it does not know, unless the section's key "must" names it. The value of a known key can
//     only gain keys that may be skipped.
//
// The bodies are JSON so that an operator can read them without this program. msgpack would be half as long, but the
// size is bounded anyway and files are written off the event loop.
const (
	// Format is the newest format that this program reads, and the one that it writes.
	Format = 1
	// minReaderFormat is the oldest format whose programs may read what this one writes.
	minReaderFormat = 1

	maxSections = 64

	// flagCritical marks a section that a reader must know to use the file.
	flagCritical = 1
)

// Sizes of the parts of a file, and offsets of fields in them, in bytes.
const (
	headerFormatOffset    = 8
	headerMinReaderOffset = 10
	headerSectionsOffset  = 12
	headerSizeOffset      = 16
	headerSeqOffset       = 24
	headerCRCOffset       = 32
	headerBytes           = 36

	sectionFlagsOffset = 4
	sectionSizeOffset  = 8
	sectionCRCOffset   = 12
	sectionHeaderBytes = 16 // without the body

	digestBytes = sha256.Size
)

// magic begins each file: a byte beyond ASCII, and line ends that a transfer as text would change.
const magic = "\x89mls\r\n\x1a\n"

// Names of the sections.
const (
	sectionHead    = "head"
	sectionLearned = "lrnd"
	sectionList    = "list"
)

// Parts of a file in a DamageError, beside those for one section.
const (
	partHeader   = "header"
	partSections = "sections"
	partDigest   = "digest"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrNewer says that a file is complete, and that only a newer program may read it.
var ErrNewer = errors.New("from a newer program")

// DamageError says where a file differs from what was written.
type DamageError struct {
	Offset int64  // of the part, in bytes from the start of the file
	Part   string // of the file
	Err    error
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("at byte %d, in %s: %v", e.Offset, e.Part, e.Err)
}

// Unwrap returns the cause.
func (e *DamageError) Unwrap() error { return e.Err }

func damageError(offset int, part, format string, args ...any) error {
	return &DamageError{Offset: int64(offset), Part: part, Err: fmt.Errorf(format, args...)}
}

// headSection is the body of the section sectionHead.
type headSection struct {
	Identity
	WrittenMS int64 `json:"written_ms"` // Unix time
}

type section struct {
	name  string
	flags uint32
	body  []byte
}

// Encode returns the file of a state.
func Encode(s *Snapshot) ([]byte, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	contents := []struct {
		name  string
		flags uint32
		value any
	}{
		{sectionHead, flagCritical, headSection{s.Identity, s.Written.UnixMilli()}},
		{sectionLearned, 0, &s.Learned},
		{sectionList, 0, &s.List},
	}
	sections := make([]section, 0, len(contents))
	for _, part := range contents {
		body, err := json.Marshal(part.value)
		if err != nil {
			return nil, fmt.Errorf("section %s: %w", part.name, err)
		}
		sections = append(sections, section{part.name, part.flags, body})
	}
	return encodeFile(Format, minReaderFormat, s.Seq, sections), nil
}

// encodeFile returns a file with its header, checksums and digest.
func encodeFile(format, minReader uint16, seq uint64, sections []section) []byte {
	size := headerBytes + digestBytes
	for _, s := range sections {
		size += sectionHeaderBytes + len(s.body)
	}
	file := make([]byte, 0, size)
	file = append(file, magic...)
	file = binary.BigEndian.AppendUint16(file, format)
	file = binary.BigEndian.AppendUint16(file, minReader)
	file = binary.BigEndian.AppendUint32(file, uint32(len(sections)))
	file = binary.BigEndian.AppendUint64(file, uint64(size))
	file = binary.BigEndian.AppendUint64(file, seq)
	file = binary.BigEndian.AppendUint32(file, crc32.Checksum(file, castagnoli))
	for _, s := range sections {
		start := len(file)
		file = append(file, s.name...)
		file = binary.BigEndian.AppendUint32(file, s.flags)
		file = binary.BigEndian.AppendUint32(file, uint32(len(s.body)))
		file = binary.BigEndian.AppendUint32(file, sectionCRC(file[start:], s.body))
		file = append(file, s.body...)
	}
	digest := sha256.Sum256(file)
	return append(file, digest[:]...)
}

// sectionCRC is the checksum of a section: of its head before the checksum, and of its body.
func sectionCRC(head, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, body)
}

// header is the first part of a file.
type header struct {
	format    uint16
	minReader uint16 // oldest format whose programs may read the file
	sections  int
	size      uint64 // of the file
	seq       uint64
}

func decodeHeader(file []byte) (h header, err error) {
	switch {
	case len(file) == 0:
		return h, damageError(0, partHeader, "the file is empty")
	case len(file) < headerBytes:
		return h, damageError(0, partHeader, "the file ends after %d bytes", len(file))
	case string(file[:len(magic)]) != magic:
		return h, damageError(0, partHeader, "it does not begin as a state does")
	case binary.BigEndian.Uint32(file[headerCRCOffset:]) != crc32.Checksum(file[:headerCRCOffset], castagnoli):
		return h, damageError(0, partHeader, "the checksum is not its own")
	}
	h = header{
		format:    binary.BigEndian.Uint16(file[headerFormatOffset:]),
		minReader: binary.BigEndian.Uint16(file[headerMinReaderOffset:]),
		sections:  int(binary.BigEndian.Uint32(file[headerSectionsOffset:])),
		size:      binary.BigEndian.Uint64(file[headerSizeOffset:]),
		seq:       binary.BigEndian.Uint64(file[headerSeqOffset:]),
	}
	if h.format == 0 || h.minReader > h.format {
		return h, damageError(headerFormatOffset, partHeader, "format %d, to be read from %d on, cannot be", h.format, h.minReader)
	}
	return h, nil
}

// Decode reads a file. The error is a *DamageError if the file differs from what was written, or ErrNewer if only a
// newer program may read it.
func Decode(file []byte) (*Snapshot, error) {
	h, err := decodeHeader(file)
	if err != nil {
		return nil, err
	}
	sections, err := verifySections(file, h)
	if err != nil {
		return nil, err
	}
	s, err := decodeState(sections)
	if err != nil {
		return nil, err
	}
	s.Seq = h.seq
	if err := s.Validate(); err != nil {
		return nil, damageError(headerBytes, partSections, "the state cannot be: %w", err)
	}
	return s, nil
}

// verifySections returns the sections of a file that is complete and that this program may read.
func verifySections(file []byte, h header) ([]section, error) {
	if h.size != uint64(len(file)) {
		return nil, damageError(headerSizeOffset, partHeader, "it tells of %d bytes, and the file has %d", h.size, len(file))
	}
	if len(file) < headerBytes+digestBytes {
		return nil, damageError(headerBytes, partDigest, "the file ends after %d bytes", len(file))
	}
	end := len(file) - digestBytes
	var sections []section
	if h.minReader <= Format { // a file of a later format may have other parts between header and digest
		var err error
		if sections, err = decodeSections(file[:end], h.sections); err != nil {
			return nil, err
		}
	}
	if digest := sha256.Sum256(file[:end]); !bytes.Equal(digest[:], file[end:]) {
		return nil, damageError(end, partDigest, "it is not that of the bytes before it")
	}
	if h.minReader > Format {
		return nil, fmt.Errorf("%w: format %d, to be read from %d on; this one reads up to %d",
			ErrNewer, h.format, h.minReader, Format)
	}
	return sections, nil
}

// decodeSections splits a file without its digest into its sections.
func decodeSections(file []byte, count int) ([]section, error) {
	if count > maxSections {
		return nil, damageError(headerSectionsOffset, partHeader, "it tells of %d sections, and %d is the most", count, maxSections)
	}
	sections, offset := make([]section, 0, count), headerBytes
	for i := range count {
		s, size, err := decodeSection(file, offset, i)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(sections, func(earlier section) bool { return earlier.name == s.name }) {
			return nil, damageError(offset, s.partName(i), "it is there twice")
		}
		sections, offset = append(sections, s), offset+size
	}
	if offset != len(file) {
		return nil, damageError(offset, partSections, "%d bytes are left over", len(file)-offset)
	}
	return sections, nil
}

// decodeSection reads the section with a number that begins at an offset. It returns how many bytes it has in the file.
func decodeSection(file []byte, offset, number int) (s section, size int, err error) {
	head := file[offset:]
	if len(head) < sectionHeaderBytes {
		return s, 0, damageError(offset, fmt.Sprintf("section %d", number), "the file ends")
	}
	head, remaining := head[:sectionHeaderBytes], head[sectionHeaderBytes:]
	s = section{name: string(head[:sectionFlagsOffset]), flags: binary.BigEndian.Uint32(head[sectionFlagsOffset:])}
	bodySize := binary.BigEndian.Uint32(head[sectionSizeOffset:])
	if uint64(bodySize) > uint64(len(remaining)) {
		return s, 0, damageError(offset, s.partName(number), "it tells of %d bytes, and %d are left", bodySize, len(remaining))
	}
	s.body = remaining[:bodySize]
	if binary.BigEndian.Uint32(head[sectionCRCOffset:]) != sectionCRC(head[:sectionCRCOffset], s.body) {
		return s, 0, damageError(offset, s.partName(number), "the checksum is not its own")
	}
	return s, sectionHeaderBytes + int(bodySize), nil
}

// partName names a section in a DamageError.
func (s section) partName(number int) string { return fmt.Sprintf("section %d (%q)", number, s.name) }

// decodeState reads the bodies of the sections. It skips sections that this program does not know and may skip.
func decodeState(sections []section) (*Snapshot, error) {
	s := &Snapshot{}
	var head *headSection
	for _, part := range sections {
		var err error
		switch part.name {
		case sectionHead:
			head = &headSection{}
			err = part.decodeBody(head)
		case sectionLearned:
			err = part.decodeBody(&s.Learned)
		case sectionList:
			err = part.decodeBody(&s.List)
		default:
			if part.flags&flagCritical != 0 {
				err = fmt.Errorf("%w: section %q has to be understood", ErrNewer, part.name)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	if head == nil {
		return nil, damageError(headerBytes, partSections, "there is none named %s", sectionHead)
	}
	s.Identity, s.Written = head.Identity, time.UnixMilli(head.WrittenMS).UTC()
	return s, nil
}

// decodeBody reads a section's JSON. It returns ErrNewer if the section's key "must" names a key that this program does
// not know.
func (s section) decodeBody(into any) error {
	var requirements struct {
		Must []string `json:"must"`
	}
	if err := errors.Join(json.Unmarshal(s.body, &requirements), json.Unmarshal(s.body, into)); err != nil {
		return &DamageError{Offset: headerBytes, Part: fmt.Sprintf("section %q", s.name), Err: err}
	}
	known := jsonKeys(reflect.TypeOf(into).Elem())
	for _, key := range requirements.Must {
		if !slices.Contains(known, key) {
			return fmt.Errorf("%w: key %q of section %q has to be understood", ErrNewer, key, s.name)
		}
	}
	return nil
}

// jsonKeys returns the JSON keys of a struct type.
func jsonKeys(structType reflect.Type) []string {
	var keys []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		if field.Anonymous {
			keys = append(keys, jsonKeys(field.Type)...)
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		keys = append(keys, key)
	}
	return keys
}
