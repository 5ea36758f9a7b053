package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// A record starts with a header of magic number, payload length and checksum,
// four bytes each, little endian.
const (
	recordMagic         = 0xC1A5_5EED
	recordHeaderSize    = 12
	payloadLengthOffset = 4
	checksumOffset      = 8
)

// maxPayloadBytes is the maximum size of the payload of a record, in bytes.
const maxPayloadBytes = 1 << 30

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// checksumSeed returns the initial value of the checksums in one file. It makes
// the checksum of a record invalid on another disk and in another file.
func checksumSeed(diskID, file string) uint32 {
	return crc32.Checksum([]byte(diskID+"/"+file), castagnoliTable)
}

// checksum returns the CRC32C of a record's offset, length and payload.
func checksum(seed uint32, offset int64, payload []byte) uint32 {
	var prefix [12]byte
	binary.LittleEndian.PutUint64(prefix[:], uint64(offset))
	binary.LittleEndian.PutUint32(prefix[8:], uint32(len(payload)))
	return crc32.Update(crc32.Update(seed, castagnoliTable, prefix[:]), castagnoliTable, payload)
}

// appendRecord appends a record with m as its payload to buf. offset is the
// position of the record in its file, in bytes.
func appendRecord(buf []byte, seed uint32, offset int64, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, recordHeaderSize)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "journal: encode record")
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

// payloadAt returns the payload of the record at offset. ok is false if there
// is no complete record with a valid checksum.
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

// validRecordAfter reports whether a complete record with a valid checksum
// starts anywhere after offset.
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

// readRecords decodes the records of a segment. end is the offset after the
// last valid record; bytes after it belong to a torn record. damaged reports
// whether synced data has changed: a valid record follows an invalid one, which
// was synced before the next record was written, or a payload with a valid
// checksum cannot be decoded.
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

// encodeSegmentHeader returns the encoded first record of a segment.
func encodeSegmentHeader(diskID string, sequence uint64, hardState *quorumpb.HardState) ([]byte, error) {
	return appendRecord(nil, checksumSeed(diskID, segmentName(sequence)), 0, segmentHeader(diskID, sequence, hardState))
}

// segmentDiskID returns the identity of the disk that a segment was written on,
// or "" if its first record is not valid. Checksums depend on the identity, so
// without this check a log copied from another disk would be reported as damage
// or be removed as an unfinished segment.
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
