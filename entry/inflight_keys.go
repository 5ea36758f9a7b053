package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/carawaypitch/carawaypitch/sched"
)

// inflightKey is the work of this entry on one idempotency key. Other calls with the same key wait for it.
//
// All requests of a key have the same ID. If two of them were at the scheduler or at control at a time, control would
// take the begin command of the second for a resend of the first and allow both to dispatch.
type inflightKey struct {
	id      string
	digest  [sha256.Size]byte
	done    chan struct{} // closed when the outcome is set
	outcome *outcome
	once    sync.Once
}

// inflightKeys holds the keys that this entry is working on.
type inflightKeys struct {
	entry *Entry

	mu  sync.Mutex
	all map[string]*inflightKey
}

func newInflightKeys(e *Entry) *inflightKeys {
	return &inflightKeys{entry: e, all: make(map[string]*inflightKey)}
}

// keyedID derives the request ID that all requests of a key share, at all entries.
func keyedID(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// digestOf covers everything that distinguishes operations: class, method, target, path and body.
func digestOf(r *sched.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{r.Class.GetName(), r.Method, r.Target, r.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// acquire returns the in-flight key with the given ID, and reports whether this call created it. The call that created
// it must release it.
func (f *inflightKeys) acquire(id string, digest [sha256.Size]byte) (*inflightKey, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.all[id]; old != nil {
		return old, false
	}
	added := &inflightKey{id: id, digest: digest, done: make(chan struct{})}
	f.all[id] = added
	f.entry.active.Add(1)
	return added, true
}

// release frees the key for the next call.
func (f *inflightKeys) release(key *inflightKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, key.id)
	f.entry.active.Add(-1)
}

// setOutcome passes the outcome to all waiting calls. Only the first call has an effect.
func (k *inflightKey) setOutcome(out *outcome) {
	k.once.Do(func() {
		k.outcome = out
		close(k.done)
	})
}

// wait returns the outcome, or the cause of ctx's end.
func (k *inflightKey) wait(ctx context.Context) (*outcome, error) {
	select {
	case <-k.done:
		return k.outcome, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
