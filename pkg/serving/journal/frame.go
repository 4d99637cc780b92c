package journal

import (
	"encoding/binary"
	"hash/crc32"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

const headerSize = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Types of the items in a payload.
const (
	itemHard  = 1
	itemEntry = 2
)

// appendFrame appends payload with its header.
func appendFrame(b, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, payload...)
}

// readFrame returns the payload of the frame at the start of b and the frame's
// size; ok is false if the frame is incomplete or damaged.
func readFrame(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < headerSize || crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(b))
	if int64(len(b)) < headerSize+n {
		return nil, 0, false
	}
	payload = b[headerSize : headerSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, false
	}
	return payload, headerSize + int(n), true
}

// readFrames calls f for each payload and returns the size of the intact part.
// torn is set if the rest contains no intact frame and so may be a frame that a
// crash left incomplete.
func readFrames(b []byte, f func(payload []byte) error) (intact int, torn bool, err error) {
	for intact < len(b) {
		payload, size, ok := readFrame(b[intact:])
		if !ok {
			return intact, !hasFrame(b[intact+1:]), nil
		}
		if err := f(payload); err != nil {
			return intact, false, err
		}
		intact += size
	}
	return intact, false, nil
}

// hasFrame reports whether b contains an intact frame at any offset.
func hasFrame(b []byte) bool {
	for i := range b {
		if _, _, ok := readFrame(b[i:]); ok {
			return true
		}
	}
	return false
}

func appendHard(b []byte, h ledger.HardState) []byte {
	b = append(b, itemHard)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Term))
	return appendBytes(b, []byte(h.Vote.String()))
}

func appendEntry(b []byte, e ledger.Entry) []byte {
	b = append(b, itemEntry, byte(e.Type))
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Index))
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Term))
	return appendBytes(b, e.Data)
}

func appendBytes(b, data []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(data)))
	return append(b, data...)
}

// decoder reads fields from a payload. After an error, all reads return zero
// values.
type decoder struct {
	b      []byte
	failed bool
}

func (d *decoder) take(n uint64) []byte {
	if d.failed || uint64(len(d.b)) < n {
		d.failed = true
		// The integer fields have at most 8 bytes. n may be a corrupted length of up to
		// 4 GiB, which must not be allocated.
		return make([]byte, min(n, 8))
	}
	out := d.b[:n]
	d.b = d.b[n:]
	return out
}

func (d *decoder) byte() byte     { return d.take(1)[0] }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.take(8)) }
func (d *decoder) bytes() []byte {
	n := binary.LittleEndian.Uint32(d.take(4))
	data := d.take(uint64(n))
	if d.failed || n == 0 {
		return nil
	}
	return append([]byte(nil), data...)
}

// decodePayload decodes the items of one frame of a segment.
func decodePayload(b []byte) (hard *ledger.HardState, entries []ledger.Entry, err error) {
	damaged := serving.NewError(serving.KindDamaged, "a log record has an intact checksum but cannot be decoded")
	d := decoder{b: b}
	for len(d.b) > 0 {
		switch d.byte() {
		case itemHard:
			h := ledger.HardState{Term: ledger.Term(d.uint64())}
			if vote := string(d.bytes()); vote != "" {
				if h.Vote, err = serving.ParseReplicaID(vote); err != nil {
					return nil, nil, damaged
				}
			}
			hard = &h
		case itemEntry:
			e := ledger.Entry{Type: ledger.EntryType(d.byte()), Index: ledger.Index(d.uint64()), Term: ledger.Term(d.uint64()), Data: d.bytes()}
			entries = append(entries, e)
		default:
			d.failed = true
		}
		if d.failed {
			return nil, nil, damaged
		}
	}
	return hard, entries, nil
}

func encodeSnapshot(s ledger.Snapshot) []byte {
	b := binary.LittleEndian.AppendUint64(nil, uint64(s.Index))
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Term))
	b = appendBytes(b, s.Membership.Encode())
	return appendFrame(nil, append(b, s.Data...))
}

func decodeSnapshot(b []byte) (ledger.Snapshot, error) {
	damaged := func(message string) (ledger.Snapshot, error) {
		return ledger.Snapshot{}, serving.NewError(serving.KindDamaged, message)
	}
	payload, size, ok := readFrame(b)
	if !ok || size != len(b) {
		return damaged("the snapshot's checksum does not match")
	}
	d := decoder{b: payload}
	s := ledger.Snapshot{Index: ledger.Index(d.uint64()), Term: ledger.Term(d.uint64())}
	membership := d.bytes()
	if d.failed {
		return damaged("the snapshot is incomplete")
	}
	m, err := ledger.DecodeMembership(membership)
	if err != nil {
		return ledger.Snapshot{}, err
	}
	s.Membership, s.Data = m, append([]byte(nil), d.b...)
	return s, nil
}
