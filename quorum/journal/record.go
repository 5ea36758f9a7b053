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
	recordMagic         = 0xC1A5_5EED
	recordHeaderSize    = 12
	payloadLengthOffset = 4
	checksumOffset      = 8
)

// maxPayloadBytes bounds the payload of a record, in bytes.
const maxPayloadBytes = 1 << 30

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// checksumSeed starts the checksums of one file: records of another disk or another
// file do not pass in it.
func checksumSeed(diskID, file string) uint32 {
	return crc32.Checksum([]byte(diskID+"/"+file), castagnoliTable)
}

func checksum(seed uint32, offset int64, payload []byte) uint32 {
	var prefix [12]byte
	binary.LittleEndian.PutUint64(prefix[:], uint64(offset))
	binary.LittleEndian.PutUint32(prefix[8:], uint32(len(payload)))
	return crc32.Update(crc32.Update(seed, castagnoliTable, prefix[:]), castagnoliTable, payload)
}

// appendRecord appends the framed message, which will stand at offset.
func appendRecord(buf []byte, seed uint32, offset int64, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, recordHeaderSize)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	payload := buf[start+recordHeaderSize:]
	if len(payload) > maxPayloadBytes {
		return nil, errors.Errorf("journal: record of %d bytes", len(payload))
	}
	header := buf[start:]
	binary.LittleEndian.PutUint32(header, recordMagic)
	binary.LittleEndian.PutUint32(header[payloadLengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[checksumOffset:], checksum(seed, offset, payload))
	return buf, nil
}

// payloadAt returns the payload of the record at offset; ok is false where
// there is no whole record.
func payloadAt(data []byte, seed uint32, offset int64) (payload []byte, ok bool) {
	remaining := data[offset:]
	if len(remaining) < recordHeaderSize || binary.LittleEndian.Uint32(remaining) != recordMagic {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(remaining[payloadLengthOffset:])
	if int64(length) > int64(len(remaining)-recordHeaderSize) {
		return nil, false
	}
	payload = remaining[recordHeaderSize : recordHeaderSize+int64(length)]
	if checksum(seed, offset, payload) != binary.LittleEndian.Uint32(remaining[checksumOffset:]) {
		return nil, false
	}
	return payload, true
}

// validRecordAfter tells whether a whole record starts anywhere after offset.
func validRecordAfter(data []byte, seed uint32, offset int64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for candidate := offset + 1; candidate < int64(len(data)); candidate++ {
		i := bytes.Index(data[candidate:], magic)
		if i < 0 {
			return false
		}
		candidate += int64(i)
		if _, ok := payloadAt(data, seed, candidate); ok {
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
			return records, end, validRecordAfter(data, seed, end)
		}
		r := &quorumpb.Record{}
		if err := proto.Unmarshal(payload, r); err != nil {
			return records, end, true
		}
		records = append(records, r)
		end += int64(recordHeaderSize + len(payload))
	}
	return records, end, false
}

// encodeSegmentHeader returns the bytes that a segment begins with.
func encodeSegmentHeader(diskID string, sequence uint64, hardState *quorumpb.HardState) ([]byte, error) {
	return appendRecord(nil, checksumSeed(diskID, segmentName(sequence)), 0, segmentHeader(diskID, sequence, hardState))
}

// segmentDiskID returns the identity of the disk that a segment was written on; empty
// where its first record is not whole. Without it a log copied from another
// disk would look like damage, or like a segment that was never begun.
func segmentDiskID(data []byte, name string) string {
	if len(data) < recordHeaderSize {
		return ""
	}
	length := binary.LittleEndian.Uint32(data[payloadLengthOffset:])
	if int64(length) > int64(len(data)-recordHeaderSize) {
		return ""
	}
	r := &quorumpb.Record{}
	if err := proto.Unmarshal(data[recordHeaderSize:recordHeaderSize+int64(length)], r); err != nil {
		return ""
	}
	diskID := r.GetHeader().GetDisk()
	if _, ok := payloadAt(data, checksumSeed(diskID, name), 0); !ok {
		return ""
	}
	return diskID
}
