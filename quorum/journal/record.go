package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// A record is framed by magic number, payload length and checksum, four bytes
// each, little endian.
const (
	recordMagic  = 0xC1A5_5EED
	headerSize   = 12
	lengthOffset = 4
	sumOffset    = 8
)

// maxPayload bounds the payload of a record, in bytes.
const maxPayload = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seed starts the checksums of one file: records of another disk or another
// file do not pass in it.
func seed(disk, file string) uint32 {
	return crc32.Checksum([]byte(disk+"/"+file), castagnoli)
}

func checksum(seed uint32, offset int64, payload []byte) uint32 {
	var head [12]byte
	binary.LittleEndian.PutUint64(head[:], uint64(offset))
	binary.LittleEndian.PutUint32(head[8:], uint32(len(payload)))
	return crc32.Update(crc32.Update(seed, castagnoli, head[:]), castagnoli, payload)
}

// appendRecord appends the framed message, which will stand at offset.
func appendRecord(buf []byte, seed uint32, offset int64, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerSize)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	payload := buf[start+headerSize:]
	if len(payload) > maxPayload {
		return nil, errors.Errorf("journal: record of %d bytes", len(payload))
	}
	head := buf[start:]
	binary.LittleEndian.PutUint32(head, recordMagic)
	binary.LittleEndian.PutUint32(head[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[sumOffset:], checksum(seed, offset, payload))
	return buf, nil
}

// payloadAt returns the payload of the record at offset; ok is false where
// there is no whole record.
func payloadAt(data []byte, seed uint32, offset int64) (payload []byte, ok bool) {
	rest := data[offset:]
	if len(rest) < headerSize || binary.LittleEndian.Uint32(rest) != recordMagic {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(rest[lengthOffset:])
	if int64(length) > int64(len(rest)-headerSize) {
		return nil, false
	}
	payload = rest[headerSize : headerSize+int64(length)]
	if checksum(seed, offset, payload) != binary.LittleEndian.Uint32(rest[sumOffset:]) {
		return nil, false
	}
	return payload, true
}

// recordAfter tells whether a whole record starts anywhere after offset.
func recordAfter(data []byte, seed uint32, offset int64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for at := offset + 1; at < int64(len(data)); at++ {
		i := bytes.Index(data[at:], magic)
		if i < 0 {
			return false
		}
		at += int64(i)
		if _, ok := payloadAt(data, seed, at); ok {
			return true
		}
	}
	return false
}

// readRecords decodes the records of a segment. end is where they end; a rest
// after it is a torn record. damaged is true where a whole record follows a
// bad one: the bad one was synced, since each is synced before the next is
// written.
func readRecords(data []byte, seed uint32) (records []*quorumpb.Record, end int64, damaged bool) {
	for end < int64(len(data)) {
		payload, ok := payloadAt(data, seed, end)
		if !ok {
			return records, end, recordAfter(data, seed, end)
		}
		r := &quorumpb.Record{}
		if err := proto.Unmarshal(payload, r); err != nil {
			return records, end, true
		}
		records = append(records, r)
		end += int64(headerSize + len(payload))
	}
	return records, end, false
}

// headerRecord returns the bytes that a segment begins with.
func headerRecord(disk string, sequence uint64, hard *quorumpb.HardState) ([]byte, error) {
	return appendRecord(nil, seed(disk, segmentName(sequence)), 0, segmentHeader(disk, sequence, hard))
}

// diskOf returns the identity of the disk that a segment was written on; empty
// where its first record is not whole. Without it a log copied from another
// disk would look like damage, or like a segment that was never begun.
func diskOf(data []byte, name string) string {
	if len(data) < headerSize {
		return ""
	}
	length := binary.LittleEndian.Uint32(data[lengthOffset:])
	if int64(length) > int64(len(data)-headerSize) {
		return ""
	}
	r := &quorumpb.Record{}
	if err := proto.Unmarshal(data[headerSize:headerSize+int64(length)], r); err != nil {
		return ""
	}
	disk := r.GetHeader().GetDisk()
	if _, ok := payloadAt(data, seed(disk, name), 0); !ok {
		return ""
	}
	return disk
}
