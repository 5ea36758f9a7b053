package control

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// machine is the replica's state machine: the state under a lock, and a signal for each change. It implements
// replica.StateMachine.
type machine struct {
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{} // closed at the next change; nil while nobody waits
}

func newMachine() *machine {
	return &machine{state: state.New()}
}

// Apply applies one encoded command and returns the encoded result.
func (m *machine) Apply(index uint64, data []byte) []byte {
	cmd := new(wire.Command)
	if err := proto.Unmarshal(data, cmd); err != nil {
		// The same bytes fail at every replica, so all of them go on with the same state.
		cmd = &wire.Command{}
	}
	m.mu.Lock()
	res := m.state.Apply(index, cmd)
	m.signal()
	m.mu.Unlock()
	out, err := proto.Marshal(res)
	if err != nil {
		out, _ = proto.Marshal(&wire.CommandResult{Code: uint32(result.Internal)})
	}
	return out
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	snapshot := m.state.Snapshot()
	m.mu.RUnlock()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "control: snapshot")
	}
	return data, nil
}

// Restore replaces the state.
func (m *machine) Restore(_ uint64, data []byte) error {
	snapshot := new(wire.Snapshot)
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return result.Wrap(err, result.SnapshotDamaged, "")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state.Restore(snapshot)
	m.signal()
	return nil
}

func (m *machine) signal() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// read calls fn with the state, which it must not keep. Records that it takes out stay as they are.
func (m *machine) read(fn func(*state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(m.state)
}

// index returns the index of the last applied command.
func (m *machine) index() (index uint64) {
	m.read(func(s *state.State) { index = s.Index() })
	return index
}

// wait returns a channel that is closed at the next change.
func (m *machine) wait() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// waitIndex waits until the command at index is applied.
func (m *machine) waitIndex(ctx context.Context, index uint64) error {
	for {
		changed := m.wait()
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
