package spec

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// counter counts up to a bound by one or two, and may get stuck at one number.
type counter struct {
	bound, forbidden, stuck uint8
	sameCode                bool // all states encode alike
}

func (m counter) Initial() uint8 { return 0 }

func (m counter) Encode(s *uint8, b []byte) []byte {
	if m.sameCode {
		return append(b, 0)
	}
	return append(b, *s)
}

func (m counter) Next(s *uint8, yield func(Step, *uint8)) {
	for by := uint8(1); by <= 2; by++ {
		if next := *s + by; next <= m.bound && *s != m.stuck {
			yield(Step{Kind: by - 1}, &next)
		}
	}
}

func (m counter) Broken(s *uint8) Invariant {
	if *s == m.forbidden {
		return "forbidden"
	}
	return ""
}

func (m counter) Done(s *uint8) bool { return *s == m.bound }

func (m counter) Progress() Invariant { return "ends" }

func (m counter) Kinds() []string { return []string{"one", "two"} }

func (m counter) Reached() map[string]int { return map[string]int{"here": 1} }

func (m counter) Describe(s Step) string { return m.Kinds()[s.Kind] }

const none = 255

func TestExplorerVisitsEveryStateOnce(t *testing.T) {
	r, err := Explore[uint8](counter{bound: 10, forbidden: none, stuck: none}, 100, "")
	require.NoError(t, err)
	require.Equal(t, 11, r.States)
	require.Equal(t, 19, r.Transitions)
	require.Equal(t, 5, r.Depth)
	require.Empty(t, r.Broken)
	require.Equal(t, map[string]int{"one": 10, "two": 9, "here": 1}, r.Taken)
}

func TestExplorerFindsAShortestTrace(t *testing.T) {
	r, err := Explore[uint8](counter{bound: 10, forbidden: 5, stuck: none}, 100, "")
	require.NoError(t, err)
	require.Equal(t, Invariant("forbidden"), r.Broken)
	require.Len(t, r.Trace, 3)
}

func TestExplorerFindsStatesWithoutProgress(t *testing.T) {
	r, err := Explore[uint8](counter{bound: 10, forbidden: none, stuck: 4}, 100, "")
	require.NoError(t, err)
	require.Equal(t, Invariant("ends"), r.Broken)
	require.Equal(t, []string{"two", "two"}, r.Trace)
}

func TestExplorerRefusesTooManyStates(t *testing.T) {
	_, err := Explore[uint8](counter{bound: 100, forbidden: none, stuck: none}, 10, "")
	require.ErrorIs(t, err, ErrTooLarge)
}

// States whose hashes are the same are different states all the same: taken for one, the rest would go unseen.
func TestExplorerKeepsStatesWithEqualHashesApart(t *testing.T) {
	r, err := Explore[uint8](counter{bound: 10, forbidden: none, stuck: none, sameCode: true}, 100, "")
	require.NoError(t, err)
	require.Equal(t, 11, r.States)
}

func TestStoreGrows(t *testing.T) {
	s := newStore(func(v *uint32, b []byte) []byte {
		return append(b, byte(*v), byte(*v>>8), byte(*v>>16))
	})
	const count = 3 * chunkSize
	for range 2 {
		for v := range uint32(count) {
			id, _ := s.put(&v)
			require.Equal(t, v, id)
			require.Equal(t, v, s.get(id))
		}
	}
	require.Equal(t, uint32(count), s.count)
}

func TestGuardsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for g := range guardCount {
		require.NotEmpty(t, g.String())
		require.False(t, seen[g.String()], g.String())
		seen[g.String()] = true
		require.True(t, AllGuards.has(g))
		require.False(t, AllGuards.Without(g).has(g))
	}
	require.Equal(t, "unknown", guardCount.String())
}
