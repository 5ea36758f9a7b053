package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// stateMachine guards the replicated state with a lock and signals each change. It implements replica.StateMachine.
type stateMachine struct {
	mu      sync.RWMutex
	state   *state.State
	history *origin.History // of the software versions in the directory
	changed chan struct{}   // closed at the next change; nil while nothing waits for one
}

func newStateMachine() *stateMachine {
	return &stateMachine{state: state.New(), history: origin.NewHistory()}
}

// Apply applies one encoded command and returns the encoded result.
func (m *stateMachine) Apply(index uint64, data []byte) []byte {
	cmd := new(wire.Command)
	if err := proto.Unmarshal(data, cmd); err != nil {
		// The same bytes fail to decode at every replica, so applying an empty command keeps all replicas in the same
		// state.
		cmd = &wire.Command{}
	}
	m.mu.Lock()
	res := m.state.Apply(index, cmd)
	if changesAnnouncements(cmd) {
		m.history.Observe(time.Now(), slices.Values(m.state.Announcements()))
	}
	m.notifyChanged()
	m.mu.Unlock()
	out, err := proto.Marshal(res)
	if err != nil {
		out, _ = proto.Marshal(&wire.CommandResult{Code: uint32(result.Internal)})
	}
	return out
}

// Snapshot returns the encoded state.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	snapshot := m.state.Snapshot()
	m.mu.RUnlock()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "control: snapshot")
	}
	return data, nil
}

// Restore replaces the state with an encoded one.
func (m *stateMachine) Restore(_ uint64, data []byte) error {
	snapshot := new(wire.Snapshot)
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return result.Wrap(err, result.SnapshotDamaged, "")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state.Restore(snapshot)
	m.history.Restart(time.Now(), slices.Values(m.state.Announcements()))
	m.notifyChanged()
	return nil
}

// changesAnnouncements reports whether a command adds or removes announced servers.
func changesAnnouncements(cmd *wire.Command) bool {
	switch cmd.GetKind().(type) {
	case *wire.Command_AnnounceServers, *wire.Command_EndServer:
		return true
	default:
		return false
	}
}

// versions returns what is known of the software versions of pools.
func (m *stateMachine) versions(now time.Time) *wire.PoolVersions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.Versions(now)
}

func (m *stateMachine) notifyChanged() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// read calls fn with the state under a read lock. fn must not retain the state, but may retain records that it reads:
// they are never modified.
func (m *stateMachine) read(fn func(*state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(m.state)
}

// index returns the log index of the last applied command.
func (m *stateMachine) index() (index uint64) {
	m.read(func(s *state.State) { index = s.Index() })
	return index
}

// nextChange returns a channel that is closed at the next change.
func (m *stateMachine) nextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// waitIndex waits until the command at the given log index is applied. It returns the cause of ctx's end if that comes
// first.
func (m *stateMachine) waitIndex(ctx context.Context, index uint64) error {
	for {
		changed := m.nextChange()
		if m.index() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
