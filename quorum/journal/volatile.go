package journal

import (
	"sync"

	"github.com/google/uuid"

	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// Volatile is the journal of a replica that has no disk. It keeps only the newest snapshot, for replicas that ask for it: the
// log is in the replica's own memory, and nothing is read back after a restart.
//
// Its identity is new at each start, so that the replica before the restart can never be taken for it. What a majority with
// such a journal acknowledged could be lost with a restart of the processes, so its replica must never vote.
//
// All methods may be called by any goroutine.
type Volatile struct {
	diskID string

	mu       sync.Mutex
	snapshot *quorumpb.Snapshot
	closed   bool
}

// NewVolatile returns an empty journal.
func NewVolatile() *Volatile { return &Volatile{diskID: uuid.NewString()} }

// Disk returns the identity, which is this start's alone.
func (v *Volatile) Disk() string { return v.diskID }

// Stats returns zeros: nothing is written.
func (v *Volatile) Stats() Stats { return Stats{} }

// Save keeps nothing. It returns ErrClosed after Close.
func (v *Volatile) Save(*quorumpb.HardState, []*quorumpb.Entry) error { return v.err() }

// Reset keeps nothing. It returns ErrClosed after Close.
func (v *Volatile) Reset(*quorumpb.SnapshotMeta) error { return v.err() }

// Release has nothing to free. It returns ErrClosed after Close.
func (v *Volatile) Release(uint64) error { return v.err() }

// SaveSnapshot keeps a snapshot unless a newer one is kept. It returns ErrClosed after Close.
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

// ReadSnapshot returns the newest snapshot, nil if there is none.
func (v *Volatile) ReadSnapshot() (*quorumpb.Snapshot, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot, nil
}

// Close ends the journal.
func (v *Volatile) Close() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	return nil
}

func (v *Volatile) err() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return ErrClosed
	}
	return nil
}
