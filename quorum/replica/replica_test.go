package replica_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
)

type register struct{ value []byte }

func (m *register) Apply(_ uint64, data []byte) []byte {
	old := m.value
	m.value = append([]byte(nil), data...)
	return old
}
func (m *register) Snapshot() ([]byte, error)           { return m.value, nil }
func (m *register) Restore(_ uint64, data []byte) error { m.value = data; return nil }

func TestSingle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := journaltest.New()
		r, err := replica.New(replica.Config{Instance: "a", Dir: "/data", FS: fs, StateMachine: &register{}})
		require.NoError(t, err)
		require.NoError(t, r.Bootstrap([]replica.Member{{ID: r.ID(), Voter: true}}))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		require.Eventually(t, func() bool { return r.Status().Leader == r.ID() }, 1e10, 1e7)
		a, err := r.Propose(ctx, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, uint64(3), a.Index)
		index, err := r.Read(ctx)
		require.NoError(t, err)
		require.Equal(t, uint64(3), index)
		cancel()
		require.NoError(t, <-ended)
	})
}
