package state

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/carawaypitch/carawaypitch/wire"
	"github.com/cespare/xxhash/v2"
)

// MaxExpiryBatch is the maximum number of records that one command visits, so that no command delays the log for long.
const MaxExpiryBatch = 4096

// expireOperations removes records begun before the given time, oldest first. Open records of registered entries are
// kept regardless of their age.
//
// An expired key must not be accepted as a new one if a second run is not allowed: for non-repeatable work, and for
// work that was open, whose last attempt may still be running. Such a key leaves a permanent digest, unless the
// timestamp in the key itself (see keyTimestamp) shows that it is old.
func (s *State) expireOperations(cmd *wire.ExpireOperations) *wire.CommandResult {
	cutoff := min(cmd.GetBeforeUnixMs(), s.leaderUnixMS)
	set := &s.operations
	set.expiredBeforeUnixMS = max(set.expiredBeforeUnixMS, cutoff)
	limit := min(int(cmd.GetLimit()), MaxExpiryBatch)
	var digests []uint64
	visited := 0
	for op := set.first; op != nil && op.begunUnixMS < cutoff && visited < limit; {
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
	s.changes.evict(s.limits.Changes, s.changeEvictionCutoff())
	return accepted()
}

// mayExpire reports whether a record may be removed, given the number of digests that are already to be added. When
// the limit of digests is reached, records that need one are kept: new keys are then refused for lack of room, and no
// request runs twice.
func (s *State) mayExpire(op *operation, pending int) bool {
	if op.state == wire.OperationState_OPERATION_STATE_OPEN && !s.isUnregistered(op.entry, op.entryIncarnation) {
		return false
	}
	full := len(s.operations.expiredDigests)+pending >= s.limits.ExpiredKeys
	return !full || !s.operations.needsDigest(op)
}

// needsDigest reports whether the key of a record has to leave a digest when the record is removed.
func (o *operationSet) needsDigest(op *operation) bool {
	if op.repeatable && op.state == wire.OperationState_OPERATION_STATE_DONE {
		return false
	}
	ms, ok := keyTimestamp(op.key.key)
	// A caller's clock may be ahead of the leader's. Its key then appears younger than the expiry cutoff for some
	// time after the record has been removed, and only the digest shows that the key was used.
	return !ok || ms >= o.expiredBeforeUnixMS
}

// Fraction of Limits.Operations above which records expire before their age.
const (
	highWaterNumerator   = 7
	highWaterDenominator = 8
)

// CapacityExpiryCutoff returns the time, in milliseconds since 1970, before which records have to expire to bring
// their number down to 7/8 of Limits.Operations, or 0 if there are no more than that.
func (s *State) CapacityExpiryCutoff() uint64 {
	excess := len(s.operations.byKey) - s.limits.Operations*highWaterNumerator/highWaterDenominator
	if excess <= 0 {
		return 0
	}
	op := s.operations.first
	for range excess - 1 {
		op = op.next
	}
	return op.begunUnixMS + 1
}

// addDigests merges new digests into the sorted ones from the end, so that each existing digest, of which there are
// many, moves at most once.
func (o *operationSet) addDigests(added []uint64) {
	slices.Sort(added)
	added = slices.Compact(added)
	added = slices.DeleteFunc(added, o.hasDigest)
	i := len(o.expiredDigests) - 1
	o.expiredDigests = append(o.expiredDigests, added...)
	for to, j := len(o.expiredDigests)-1, len(added)-1; j >= 0; to-- {
		if i >= 0 && o.expiredDigests[i] > added[j] {
			o.expiredDigests[to] = o.expiredDigests[i]
			i--
		} else {
			o.expiredDigests[to] = added[j]
			j--
		}
	}
}

// hasDigest reports whether the digest of an expired key is stored.
func (o *operationSet) hasDigest(digest uint64) bool {
	_, found := slices.BinarySearch(o.expiredDigests, digest)
	return found
}

// mayHaveExpired reports whether a key without a record may have had one that must not run again. It may be true for
// a key that was never used (two keys in 2^64 share a digest, and a key may carry an old timestamp); such a key is
// refused, which never causes a second run.
func (o *operationSet) mayHaveExpired(organisation, key string) bool {
	if ms, ok := keyTimestamp(key); ok && ms < o.expiredBeforeUnixMS {
		return true
	}
	return o.hasDigest(keyDigest(organisation, key))
}

// keyDigest returns the digest of an expired key. The length prefix distinguishes ("a", "bc") from ("ab", "c").
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

// Text form of a version 7 UUID.
const (
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidVersion     = '7'
	uuidVariantAt   = 19
	uuidVariants    = "89abAB"
	uuidTimeHighEnd = 8
	uuidTimeLowEnd  = 13
)

// keyTimestamp returns the time that a key contains, in milliseconds since 1970. It returns false if the key is not a
// version 7 UUID.
func keyTimestamp(key string) (uint64, bool) {
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

// isUUIDv7 reports whether a key is the text form of a version 7 UUID.
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
