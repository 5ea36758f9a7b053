package spec

import "github.com/cespare/xxhash/v2"

// chunkSize is the number of states in one piece of memory, so that growing copies nothing.
const chunkSize = 1 << 14

// store numbers the states it was given, by an open hash table. It keeps the states themselves and compares them:
// states with equal hashes stay apart, so that none is missed.
type store[S comparable] struct {
	encode func(s *S, b []byte) []byte
	chunks [][]S
	count  uint32
	// table holds the number of a state plus one, 0 for a free place. Its length is a power of two.
	table  []uint32
	hashes []uint32 // upper bits of each state's hash, to compare first and to rebuild the table
	buffer []byte
}

const firstTable = 1 << 12

func newStore[S comparable](encode func(*S, []byte) []byte) *store[S] {
	return &store[S]{encode: encode, table: make([]uint32, firstTable)}
}

func (t *store[S]) get(id uint32) S {
	return t.chunks[id/chunkSize][id%chunkSize]
}

// put returns the number of a state, and whether it is new.
func (t *store[S]) put(s *S) (uint32, bool) {
	t.buffer = t.encode(s, t.buffer[:0])
	hash := uint32(xxhash.Sum64(t.buffer) >> 32)
	mask := uint32(len(t.table) - 1)
	at := hash & mask
	for ; t.table[at] != 0; at = (at + 1) & mask {
		id := t.table[at] - 1
		if t.hashes[id] == hash && t.chunks[id/chunkSize][id%chunkSize] == *s {
			return id, false
		}
	}
	id := t.append(s, hash)
	t.table[at] = id + 1
	if uint64(t.count)*2 > uint64(len(t.table)) {
		t.grow()
	}
	return id, true
}

func (t *store[S]) append(s *S, hash uint32) uint32 {
	if t.count%chunkSize == 0 {
		t.chunks = append(t.chunks, make([]S, 0, chunkSize))
	}
	last := len(t.chunks) - 1
	t.chunks[last] = append(t.chunks[last], *s)
	t.hashes = append(t.hashes, hash)
	t.count++
	return t.count - 1
}

func (t *store[S]) grow() {
	t.table = make([]uint32, 2*len(t.table))
	mask := uint32(len(t.table) - 1)
	for id, hash := range t.hashes {
		at := hash & mask
		for t.table[at] != 0 {
			at = (at + 1) & mask
		}
		t.table[at] = uint32(id) + 1
	}
}
