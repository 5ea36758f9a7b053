package journal

import (
	"sync"

	"github.com/google/uuid"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// Volatile is the in-memory journal of a replica without a disk. It keeps only the newest snapshot, for replicas that request
// it. The replica holds its log in its own memory, and nothing is recovered after a restart.
//
// Its identity is new at each start, so that the replica is never mistaken for the one before the restart. A restart loses
// what the replica acknowledged. Entries acknowledged by a majority of such replicas could therefore be lost, so the replica
// must not be a voter.
//
// All methods are safe for concurrent use.
type Volatile struct {
	diskID string

	mu       sync.Mutex
	snapshot *quorumpb.Snapshot
	closed   bool
}

// NewVolatile returns an empty journal with a new random identity.
func NewVolatile() *Volatile { return &Volatile{diskID: uuid.NewString()} }

// Disk returns the identity, a UUID that is unique to this Volatile.
func (v *Volatile) Disk() string { return v.diskID }

// Stats returns zero counters, since nothing is written.
func (v *Volatile) Stats() Stats { return Stats{} }

// Save does nothing. It returns ErrClosed after Close.
func (v *Volatile) Save(*quorumpb.HardState, []*quorumpb.Entry) error { return v.err() }

// Reset does nothing. It returns ErrClosed after Close.
func (v *Volatile) Reset(*quorumpb.SnapshotMeta) error { return v.err() }

// Release does nothing, since there are no segments. It returns ErrClosed after Close.
func (v *Volatile) Release(uint64) error { return v.err() }

// SaveSnapshot stores a snapshot unless a newer one is stored. It returns ErrClosed after Close.
func (v *Volatile) SaveSnapshot(s *quorumpb.Snapshot) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return ErrClosed
	}
	if s.GetMeta().GetIndex() >= v.snapshot.GetMeta().GetIndex() {
		v.snapshot = s
	}
	return nil
}

// ReadSnapshot returns the newest snapshot, or nil if there is none. The error is always nil.
func (v *Volatile) ReadSnapshot() (*quorumpb.Snapshot, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot, nil
}

// Close makes all later writes fail with ErrClosed. It always returns nil.
func (v *Volatile) Close() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	return nil
}

// err returns ErrClosed after Close, and nil before.
func (v *Volatile) err() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return ErrClosed
	}
	return nil
}
