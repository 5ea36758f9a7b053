package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/carawaypitch/carawaypitch/sched"
)

// flight is the work of this entry on one key. Calls with the same key that come meanwhile wait for it.
//
// The requests of one key share their identity. Were two of them with the scheduler or with control at a time, control
// would take the second's begin for a resend of the first's and allow both to dispatch.
type flight struct {
	id     string
	digest [sha256.Size]byte
	done   chan struct{} // closed when there is an outcome
	out    *outcome
	once   sync.Once
}

// flights are the keys that this entry works on.
type flights struct {
	entry *Entry

	mu  sync.Mutex
	all map[string]*flight
}

func newFlights(e *Entry) *flights {
	return &flights{entry: e, all: make(map[string]*flight)}
}

// keyedID derives the identity that all requests of a key share, at all entries.
func keyedID(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// digestOf covers what makes an operation another one: class, path and body.
func digestOf(r *sched.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{r.Class.GetName(), r.Method, r.Target, r.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// join returns the flight of a key, and whether the caller has begun it. Who has must call land at its end.
func (f *flights) join(id string, digest [sha256.Size]byte) (*flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.all[id]; old != nil {
		return old, false
	}
	mine := &flight{id: id, digest: digest, done: make(chan struct{})}
	f.all[id] = mine
	f.entry.active.Add(1)
	return mine, true
}

// land frees the key for the next call.
func (f *flights) land(fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, fl.id)
	f.entry.active.Add(-1)
}

// decide gives the outcome to all that wait. Only the first counts.
func (fl *flight) decide(out *outcome) {
	fl.once.Do(func() {
		fl.out = out
		close(fl.done)
	})
}

// wait returns the outcome, or the cause of ctx's end.
func (fl *flight) wait(ctx context.Context) (*outcome, error) {
	select {
	case <-fl.done:
		return fl.out, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
