package state

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/carawaypitch/carawaypitch/wire"
	"github.com/cespare/xxhash/v2"
)

// MaxExpiryBatch bounds the records that one command visits, so that one command never holds the log up.
const MaxExpiryBatch = 4096

// expireOperations forgets records begun before the given time, oldest first. Open records of registered entries
// stay, whatever their age.
//
// A key that is forgotten must not be taken for a new one where a second run is not allowed: for work that may not
// be repeated, and for work that was open, whose last attempt may still be going on. Such a key leaves a digest
// for good, unless its own time (see keyTime) shows that it is old.
func (s *State) expireOperations(cmd *wire.ExpireOperations) *wire.CommandResult {
	before := min(cmd.GetBeforeUnixMs(), s.unixMS)
	set := &s.operations
	set.expiredBefore = max(set.expiredBefore, before)
	limit := min(int(cmd.GetLimit()), MaxExpiryBatch)
	var digests []uint64
	visited := 0
	for op := set.first; op != nil && op.begunMS < before && visited < limit; {
		next := op.next
		visited++
		if s.mayExpire(op, len(digests)) {
			if set.needsDigest(op) {
				digests = append(digests, keyDigest(op.key.organisation, op.key.key))
			}
			set.remove(op)
		}
		op = next
	}
	set.addDigests(digests)
	s.changes.evict(s.limits.Changes, s.changeHorizon())
	return accepted()
}

// mayExpire tells whether a record may be forgotten, with so many digests to be added already. When the memory of
// digests is full, records that need one stay: then new keys are refused for want of room, and none is run twice.
func (s *State) mayExpire(op *operation, pending int) bool {
	if op.state == wire.OperationState_OPERATION_STATE_OPEN && !s.isGone(op.entry, op.inc) {
		return false
	}
	full := len(s.operations.expired)+pending >= s.limits.ExpiredKeys
	return !full || !s.operations.needsDigest(op)
}

func (o *operationSet) needsDigest(op *operation) bool {
	if op.repeatable && op.state == wire.OperationState_OPERATION_STATE_DONE {
		return false
	}
	ms, ok := keyTime(op.key.key)
	// A caller's clock may run ahead of the leader's. Its key then looks younger than the horizon for a while after
	// the record is gone, and only the digest tells that it was used.
	return !ok || ms >= o.expiredBefore
}

// The part of Limits.Operations from which on records expire before their age.
const (
	crowdedNumerator   = 7
	crowdedDenominator = 8
)

// CapacityExpiryCutoff returns the time, in milliseconds since 1970, before which records should expire since there are too
// many of them, or 0.
func (s *State) CapacityExpiryCutoff() uint64 {
	excess := len(s.operations.byKey) - s.limits.Operations*crowdedNumerator/crowdedDenominator
	if excess <= 0 {
		return 0
	}
	op := s.operations.first
	for range excess - 1 {
		op = op.next
	}
	return op.begunMS + 1
}

// addDigests merges new digests into the sorted ones, from the back, so that each of the many old ones moves once.
func (o *operationSet) addDigests(added []uint64) {
	slices.Sort(added)
	added = slices.Compact(added)
	added = slices.DeleteFunc(added, o.isExpired)
	i := len(o.expired) - 1
	o.expired = append(o.expired, added...)
	for to, j := len(o.expired)-1, len(added)-1; j >= 0; to-- {
		if i >= 0 && o.expired[i] > added[j] {
			o.expired[to] = o.expired[i]
			i--
		} else {
			o.expired[to] = added[j]
			j--
		}
	}
}

func (o *operationSet) isExpired(digest uint64) bool {
	_, found := slices.BinarySearch(o.expired, digest)
	return found
}

// mayHaveExpired tells whether a key without a record may have had one that mattered. It may be wrong about a key
// that was never used (two keys in 2^64 share a digest, and a key may be old by its own time); such a key is
// refused, which is never a second run.
func (o *operationSet) mayHaveExpired(organisation, key string) bool {
	if ms, ok := keyTime(key); ok && ms < o.expiredBefore {
		return true
	}
	return o.isExpired(keyDigest(organisation, key))
}

// keyDigest is the digest of an expired key. The length in front keeps ("a", "bc") apart from ("ab", "c").
func keyDigest(organisation, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(organisation)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(organisation)
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// The form of a UUID of version 7 in text.
const (
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidVersion     = '7'
	uuidVariantAt   = 19
	uuidVariants    = "89abAB"
	uuidTimeHighEnd = 8
	uuidTimeLowEnd  = 13
)

// keyTime returns the time that a key carries, in milliseconds since 1970, if the key is a UUID of version 7.
func keyTime(key string) (uint64, bool) {
	if !isUUIDv7(key) {
		return 0, false
	}
	text := key[:uuidTimeHighEnd] + key[uuidTimeHighEnd+1:uuidTimeLowEnd]
	raw, err := hex.DecodeString(text)
	if err != nil {
		return 0, false
	}
	var ms [8]byte
	copy(ms[2:], raw)
	return binary.BigEndian.Uint64(ms[:]), true
}

func isUUIDv7(key string) bool {
	if len(key) != uuidLength || key[uuidVersionAt] != uuidVersion || !strings.ContainsRune(uuidVariants, rune(key[uuidVariantAt])) {
		return false
	}
	for i := range len(key) {
		isDash := i == 8 || i == 13 || i == 18 || i == 23
		if isDash != (key[i] == '-') || !isDash && !isHex(key[i]) {
			return false
		}
	}
	return true
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
