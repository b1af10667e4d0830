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
// The CRCs locate damage in a file. The digest decides whether the file is complete: a CRC misses one in 2^32 mixtures
// of sectors of two files. The layout of the header and the digest is the same in every format.
//
// Compatibility:
//   - A newer program reads every older format. A missing section or key has its zero value.
//   - An older program rejects a file whose oldest reader is newer than itself, regardless of the file's contents.
//   - Otherwise it skips an unknown section, unless the section has flagCritical.
//   - It skips an unknown key, unless the section's key "must" names that key. The value of a known key can only gain
//     keys that may be skipped.
//
// The bodies are JSON so that an operator can read them without this program. msgpack would be half as long, but the
// size of a file is bounded and files are written outside the event loop.
const (
	// Format is the format that this program writes, and the newest one that it reads.
	Format = 1
	// minReaderFormat is the oldest format whose programs may read the files that this program writes.
	minReaderFormat = 1

	// maxSections limits the number of sections of a file.
	maxSections = 64

	// flagCritical marks a section that a reader must support to use the file.
	flagCritical = 1
)

// Sizes of the header, of a section header and of the digest, and the offsets of their fields, all in bytes.
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
	sectionHeaderBytes = 16 // size of a section header, which precedes the body

	digestBytes = sha256.Size
)

// magic starts each file. It has a non-ASCII byte, and line endings that a transfer in text mode would change.
const magic = "\x89mls\r\n\x1a\n"

// Section names.
const (
	sectionHead    = "head"
	sectionLearned = "lrnd"
	sectionList    = "list"
)

// Values of DamageError.Part for damage outside a single section. section.partName returns the others.
const (
	partHeader   = "header"
	partSections = "sections"
	partDigest   = "digest"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrNewerVersion reports a complete file that only a newer version of this program may read.
var ErrNewerVersion = errors.New("written by a newer version of this program")

// DamageError reports the position at which a file is damaged.
type DamageError struct {
	Offset int64  // start of the damaged part, in bytes from the start of the file
	Part   string // damaged part: the header, the sections, one section or the digest
	Err    error  // what is wrong with the part
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("at byte %d, in %s: %v", e.Offset, e.Part, e.Err)
}

// Unwrap returns Err.
func (e *DamageError) Unwrap() error { return e.Err }

// damageError returns a *DamageError whose cause has a formatted text.
func damageError(offset int, part, format string, args ...any) error {
	return &DamageError{Offset: int64(offset), Part: part, Err: fmt.Errorf(format, args...)}
}

// headSection is the body of section sectionHead.
type headSection struct {
	Identity
	WrittenMS int64 `json:"written_ms"` // Unix time of the save in ms
}

// section is one section of a file, without its checksum.
type section struct {
	name  string
	flags uint32
	body  []byte
}

// Encode returns the content of the file that stores a state. It fails if the state is invalid.
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
	for _, content := range contents {
		body, err := json.Marshal(content.value)
		if err != nil {
			return nil, fmt.Errorf("encode section %s: %w", content.name, err)
		}
		sections = append(sections, section{content.name, content.flags, body})
	}
	return encodeFile(Format, minReaderFormat, s.Seq, sections), nil
}

// encodeFile returns the content of a file: the header, the sections with their checksums, and the digest.
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

// sectionCRC returns the checksum of a section header, up to the checksum field, and the body.
func sectionCRC(head, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, body)
}

// header is the decoded header of a file.
type header struct {
	format    uint16
	minReader uint16 // oldest format whose programs may read the file
	sections  int    // number of sections
	size      uint64 // size of the whole file, in bytes
	seq       uint64 // sequence number of the state
}

// decodeHeader reads the header at the start of a file. It reports damage as a *DamageError.
func decodeHeader(file []byte) (h header, err error) {
	switch {
	case len(file) == 0:
		return h, damageError(0, partHeader, "file is empty")
	case len(file) < headerBytes:
		return h, damageError(0, partHeader, "file ends after %d bytes", len(file))
	case string(file[:len(magic)]) != magic:
		return h, damageError(0, partHeader, "unknown magic number")
	case binary.BigEndian.Uint32(file[headerCRCOffset:]) != crc32.Checksum(file[:headerCRCOffset], castagnoli):
		return h, damageError(0, partHeader, "checksum mismatch")
	}
	h = header{
		format:    binary.BigEndian.Uint16(file[headerFormatOffset:]),
		minReader: binary.BigEndian.Uint16(file[headerMinReaderOffset:]),
		sections:  int(binary.BigEndian.Uint32(file[headerSectionsOffset:])),
		size:      binary.BigEndian.Uint64(file[headerSizeOffset:]),
		seq:       binary.BigEndian.Uint64(file[headerSeqOffset:]),
	}
	if h.format == 0 || h.minReader > h.format {
		return h, damageError(headerFormatOffset, partHeader, "invalid format %d with oldest reader format %d",
			h.format, h.minReader)
	}
	return h, nil
}

// Decode returns the state that a file stores. The error is a *DamageError if the file is damaged, or ErrNewerVersion
// if only a newer version of this program may read it.
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
		return nil, damageError(headerBytes, partSections, "invalid state: %w", err)
	}
	return s, nil
}

// verifySections verifies that a file is complete and that this program may read it, and returns the sections.
func verifySections(file []byte, h header) ([]section, error) {
	if h.size != uint64(len(file)) {
		return nil, damageError(headerSizeOffset, partHeader, "size mismatch: header says %d bytes, file has %d",
			h.size, len(file))
	}
	if len(file) < headerBytes+digestBytes {
		return nil, damageError(headerBytes, partDigest, "file ends after %d bytes", len(file))
	}
	end := len(file) - digestBytes
	var sections []section
	if h.minReader <= Format { // files of later formats may have a different layout between header and digest
		var err error
		if sections, err = decodeSections(file[:end], h.sections); err != nil {
			return nil, err
		}
	}
	if digest := sha256.Sum256(file[:end]); !bytes.Equal(digest[:], file[end:]) {
		return nil, damageError(end, partDigest, "digest mismatch")
	}
	if h.minReader > Format {
		return nil, fmt.Errorf("%w: format %d requires a reader of format %d, this version reads up to format %d",
			ErrNewerVersion, h.format, h.minReader, Format)
	}
	return sections, nil
}

// decodeSections splits a file, whose digest is cut off, into its sections.
func decodeSections(file []byte, count int) ([]section, error) {
	if count > maxSections {
		return nil, damageError(headerSectionsOffset, partHeader, "%d sections, limit is %d", count, maxSections)
	}
	sections, offset := make([]section, 0, count), headerBytes
	for i := range count {
		s, size, err := decodeSection(file, offset, i)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(sections, func(earlier section) bool { return earlier.name == s.name }) {
			return nil, damageError(offset, s.partName(i), "duplicate section name")
		}
		sections, offset = append(sections, s), offset+size
	}
	if offset != len(file) {
		return nil, damageError(offset, partSections, "%d bytes after the last section", len(file)-offset)
	}
	return sections, nil
}

// decodeSection reads the section that starts at an offset. number is its index in the file. size is the number of
// bytes that it takes up in the file.
func decodeSection(file []byte, offset, number int) (s section, size int, err error) {
	head := file[offset:]
	if len(head) < sectionHeaderBytes {
		return s, 0, damageError(offset, fmt.Sprintf("section %d", number), "section header is truncated")
	}
	head, remaining := head[:sectionHeaderBytes], head[sectionHeaderBytes:]
	s = section{name: string(head[:sectionFlagsOffset]), flags: binary.BigEndian.Uint32(head[sectionFlagsOffset:])}
	bodySize := binary.BigEndian.Uint32(head[sectionSizeOffset:])
	if uint64(bodySize) > uint64(len(remaining)) {
		return s, 0, damageError(offset, s.partName(number), "body has %d bytes, file has only %d left",
			bodySize, len(remaining))
	}
	s.body = remaining[:bodySize]
	if binary.BigEndian.Uint32(head[sectionCRCOffset:]) != sectionCRC(head[:sectionCRCOffset], s.body) {
		return s, 0, damageError(offset, s.partName(number), "checksum mismatch")
	}
	return s, sectionHeaderBytes + int(bodySize), nil
}

// partName returns the value of DamageError.Part for a section. number is its index in the file.
func (s section) partName(number int) string { return fmt.Sprintf("section %d (%q)", number, s.name) }

// decodeState decodes the bodies of the sections into a state. It skips unknown sections that are not critical.
func decodeState(sections []section) (*Snapshot, error) {
	s := &Snapshot{}
	var head *headSection
	for _, sec := range sections {
		var err error
		switch sec.name {
		case sectionHead:
			head = &headSection{}
			err = sec.decodeBody(head)
		case sectionLearned:
			err = sec.decodeBody(&s.Learned)
		case sectionList:
			err = sec.decodeBody(&s.List)
		default:
			if sec.flags&flagCritical != 0 {
				err = fmt.Errorf("%w: unknown critical section %q", ErrNewerVersion, sec.name)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	if head == nil {
		return nil, damageError(headerBytes, partSections, "missing section %q", sectionHead)
	}
	s.Identity, s.Written = head.Identity, time.UnixMilli(head.WrittenMS).UTC()
	return s, nil
}

// decodeBody decodes the JSON of a section. It returns ErrNewerVersion if the section's key "must" names a key that
// this program does not support.
func (s section) decodeBody(into any) error {
	var requirements struct {
		Must []string `json:"must"`
	}
	if err := errors.Join(json.Unmarshal(s.body, &requirements), json.Unmarshal(s.body, into)); err != nil {
		return &DamageError{Offset: headerBytes, Part: fmt.Sprintf("section %q", s.name), Err: err}
	}
	supportedKeys := jsonKeys(reflect.TypeOf(into).Elem())
	for _, key := range requirements.Must {
		if !slices.Contains(supportedKeys, key) {
			return fmt.Errorf("%w: unknown required key %q in section %q", ErrNewerVersion, key, s.name)
		}
	}
	return nil
}

// jsonKeys returns the JSON keys of a struct type, including those of embedded structs.
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
