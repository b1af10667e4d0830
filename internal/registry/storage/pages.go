package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
)

// pages reads the pages of a bbolt file with plain reads, to verify the file before bbolt opens it. bbolt maps the file
// without checks: a page that points beyond the end of a truncated file ends the process by SIGBUS, and a corrupt page
// causes a panic in a goroutine of bbolt, which cannot be recovered.
type pages struct {
	f         io.ReaderAt
	size      int64 // size of the file in bytes
	pageSize  int64 // size of a page in bytes; 0 until a meta page is read
	root      uint64
	pageCount uint64 // number of pages in use; higher page numbers are free
	txid      uint64 // ID of the newest transaction
	seen      map[uint64]bool
}

const (
	boltMagic     = 0xED0CDAED
	boltVersion   = 2
	metaOffset    = 16 // offset of the meta data in a meta page, behind the page header
	metaSize      = 64
	metaSumOffset = 56 // offset of the checksum in the meta data
	pageHeader    = 16
	elemSize      = 16
	branchFlag    = 1
	leafFlag      = 2
	bucketFlag    = 1
	maxPageDepth  = 64
)

// byteOrder is the native byte order, in which bbolt writes its structures.
var byteOrder = binary.NativeEndian

// openPages reads the two meta pages. Both have to be valid: each is written within one sector of 512 bytes, which a
// disk writes atomically, so a power loss leaves either the old or the new content. An invalid meta page was corrupted
// after its sync. bbolt would silently continue from the other one, which is the state before the last acknowledged
// write.
func openPages(f io.ReaderAt, size int64) (*pages, error) {
	if size == 0 {
		return nil, errors.New("the file is empty")
	}
	p := &pages{f: f, size: size, seen: map[uint64]bool{}}
	if err := p.readMeta(0); err != nil {
		return nil, fmt.Errorf("meta page 0: %w", err)
	}
	if err := p.readMeta(p.pageSize); err != nil {
		return nil, fmt.Errorf("meta page 1: %w", err)
	}
	if uint64(size/p.pageSize) < p.pageCount {
		return nil, fmt.Errorf("the file is cut short: %d bytes, but %d pages of %d are in use",
			size, p.pageCount, p.pageSize)
	}
	return p, nil
}

func (p *pages) readMeta(at int64) error {
	b := make([]byte, metaOffset+metaSize)
	if _, err := p.f.ReadAt(b, at); err != nil {
		return fmt.Errorf("failed to read: %w", err)
	}
	m := b[metaOffset:]
	sum := fnv.New64a()
	sum.Write(m[:metaSumOffset])
	page := int64(byteOrder.Uint32(m[8:]))
	switch {
	case byteOrder.Uint32(m) != boltMagic:
		return errors.New("not a bbolt meta page")
	case sum.Sum64() != byteOrder.Uint64(m[metaSumOffset:]):
		return errors.New("checksum mismatch")
	case byteOrder.Uint32(m[4:]) != boltVersion:
		return fmt.Errorf("bbolt format version %d, this program reads version %d", byteOrder.Uint32(m[4:]), boltVersion)
	case page < 512 || page > 1<<24 || p.pageSize != 0 && page != p.pageSize:
		return fmt.Errorf("invalid page size of %d bytes", page)
	}
	p.pageSize = page
	if id := byteOrder.Uint64(m[48:]); p.pageCount == 0 || id > p.txid {
		p.root, p.pageCount, p.txid = byteOrder.Uint64(m[16:]), byteOrder.Uint64(m[40:]), id
	}
	return nil
}

// visitor is called with each key in order; bucket is true if the value is a bucket.
type visitor func(key, value []byte, bucket bool) error

// walk visits the whole tree below a page.
func (p *pages) walk(root uint64, visit visitor) error {
	return p.walkSubtree(root, 0, nil, nil, visit)
}

// walkSubtree visits the subtree of a page. Its keys have to be in [low, high); a nil bound is not checked.
func (p *pages) walkSubtree(id uint64, depth int, low, high []byte, visit visitor) error {
	b, err := p.read(id)
	if err != nil {
		return err
	}
	if depth > maxPageDepth {
		return fmt.Errorf("page %d: the tree has more than %d levels", id, maxPageDepth)
	}
	err = p.readElements(b, id, depth, low, high, visit)
	var inner *pageError
	if err != nil && !errors.As(err, &inner) {
		return &pageError{id, err}
	}
	return err
}

// pageError adds the number of the page to an error.
type pageError struct {
	id  uint64
	err error
}

func (e *pageError) Error() string { return fmt.Sprintf("page %d: %v", e.id, e.err) }
func (e *pageError) Unwrap() error { return e.err }

// read returns a page with its overflow pages. Each page may be used in one place of the tree only.
func (p *pages) read(id uint64) ([]byte, error) {
	head := make([]byte, pageHeader)
	if id < 2 || id >= p.pageCount {
		return nil, fmt.Errorf("page %d: page number out of range, pages 2 to %d are in use", id, p.pageCount-1)
	}
	if _, err := p.f.ReadAt(head, int64(id)*p.pageSize); err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	more := uint64(byteOrder.Uint32(head[12:]))
	if byteOrder.Uint64(head) != id || id+more >= p.pageCount {
		return nil, fmt.Errorf("page %d: invalid header: page %d with %d overflow pages", id, byteOrder.Uint64(head), more)
	}
	for i := id; i <= id+more; i++ {
		if p.seen[i] {
			return nil, fmt.Errorf("page %d: referenced more than once", i)
		}
		p.seen[i] = true
	}
	b := make([]byte, int64(more+1)*p.pageSize)
	if _, err := p.f.ReadAt(b, int64(id)*p.pageSize); err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	return b, nil
}

// readElements visits the elements of a page, which may be stored inline in the value of a bucket.
func (p *pages) readElements(b []byte, id uint64, depth int, low, high []byte, visit visitor) error {
	flags, n := byteOrder.Uint16(b[8:]), int(byteOrder.Uint16(b[10:]))
	if flags != branchFlag && flags != leafFlag || pageHeader+n*elemSize > len(b) || flags == branchFlag && n == 0 {
		return fmt.Errorf("invalid page: flags %#x, %d elements", flags, n)
	}
	type elem struct {
		key, value []byte
		child      uint64
		bucket     bool
	}
	all := make([]elem, n)
	for i := range all {
		at := pageHeader + i*elemSize
		e := b[at : at+elemSize]
		var pos, ksize, vsize uint32
		if flags == branchFlag {
			pos, ksize, all[i].child = byteOrder.Uint32(e), byteOrder.Uint32(e[4:]), byteOrder.Uint64(e[8:])
		} else {
			all[i].bucket = byteOrder.Uint32(e) == bucketFlag
			pos, ksize, vsize = byteOrder.Uint32(e[4:]), byteOrder.Uint32(e[8:]), byteOrder.Uint32(e[12:])
			if f := byteOrder.Uint32(e); f > bucketFlag {
				return fmt.Errorf("element %d: invalid flags %#x", i, f)
			}
		}
		from := uint64(at) + uint64(pos)
		if from+uint64(ksize)+uint64(vsize) > uint64(len(b)) {
			return fmt.Errorf("element %d: extends beyond the end of the page", i)
		}
		all[i].key = b[from : from+uint64(ksize)]
		all[i].value = b[from+uint64(ksize) : from+uint64(ksize)+uint64(vsize)]
		if i > 0 && bytes.Compare(all[i-1].key, all[i].key) >= 0 || low != nil && bytes.Compare(all[i].key, low) < 0 ||
			high != nil && bytes.Compare(all[i].key, high) >= 0 {
			return fmt.Errorf("element %d: key %x is out of order", i, all[i].key)
		}
	}
	for i, e := range all {
		if flags == leafFlag {
			if err := visit(e.key, e.value, e.bucket); err != nil {
				return err
			}
			continue
		}
		before := high
		if i+1 < n {
			before = all[i+1].key
		}
		if err := p.walkSubtree(e.child, depth+1, e.key, before, visit); err != nil {
			return err
		}
	}
	return nil
}

// bucket visits a bucket. Its value holds the number of the root page or, for a small bucket, the page itself.
func (p *pages) bucket(value []byte, visit visitor) error {
	if len(value) < 16 {
		return errors.New("bucket header is truncated")
	}
	if root := byteOrder.Uint64(value); root != 0 {
		return p.walk(root, visit)
	}
	if len(value) < 16+pageHeader {
		return errors.New("bucket header is truncated")
	}
	return p.readElements(value[16:], 0, 0, nil, nil, visit)
}
