package spec

import (
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slots bounds how many explorations run at a time: a large one takes several hundred MB.
var slots = make(chan struct{}, min(maxParallel, runtime.GOMAXPROCS(0)))

// coverage joins what the cases of each model have taken and reached.
type coverage struct {
	mu    sync.Mutex
	taken map[string]map[string]int
}

func (c *coverage) add(model string, r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken[model] == nil {
		c.taken[model] = map[string]int{}
	}
	for name, n := range r.Taken {
		c.taken[model][name] += n
	}
}

// notTaken lists what can't happen in the models with all guards.
var notTaken = map[string]string{
	"register_again": "control registers no ended incarnation again",
	"hear_leader":    "entries hear only what is committed",
	"engine_refuses": "the agent's own check leaves the engine no older fence to refuse",
	"outcome idle":   "no call ends so",
	"outcome open":   "no call ends so",
	"outcome lost":   "nobody is told",
	"order proposed": "an order is placed and committed in one step",
	"server suspect": "the server's health isn't modelled",
	"server gone":    "the server's health isn't modelled",
	"server leaving": "a leave before the engine is cleared isn't within the bounds",
	"attempt absent": "reservations are withdrawn only before the agent reads them",
}

// Every invariant holds in every state of every case, and from each of them the promised progress can be made. The
// explorations aren't vacuous: together they take every kind of step and reach every outcome.
func TestInvariantsHold(t *testing.T) {
	t.Parallel()
	c, err := openCharts()
	require.NoError(t, err)
	all := &coverage{taken: map[string]map[string]int{}}
	t.Run("case", func(t *testing.T) {
		for _, k := range Cases() {
			t.Run(k.Model+" "+k.Name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				checkCase(t, c, k, all)
			})
		}
	})
	for model, taken := range all.taken {
		for name, n := range taken {
			reason, not := notTaken[name]
			assert.Equal(t, not, n == 0, "%s: %s was taken or reached %d times, %s", model, name, n, reason)
		}
	}
}

func checkCase(t *testing.T, c *charts, k Case, all *coverage) {
	t.Helper()
	r, err := k.explore(c, AllGuards, "")
	require.NoError(t, err)
	logTrace(t, r)
	require.Empty(t, r.Broken)
	require.Greater(t, r.States, k.floor)
	t.Logf("%d states, %d transitions, depth %d, %.1f s", r.States, r.Transitions, r.Depth, r.Seconds)
	all.add(k.Model, r)
}

func logTrace(t *testing.T, r *Result) {
	t.Helper()
	for i, line := range r.Trace {
		t.Logf("%2d %s", i+1, line)
	}
}

// Without any one of the guards, the checker finds a violation of the invariant that the guard protects. An invariant
// that nothing can violate would say nothing.
func TestEachGuardIsNeeded(t *testing.T) {
	t.Parallel()
	c, err := openCharts()
	require.NoError(t, err)
	for _, removal := range Removals() {
		t.Run(removal.Guard.String(), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := removal.explore(c)
			require.NoError(t, err)
			t.Logf("%s: %q after %d steps, %d states", removal.Case, r.Broken, len(r.Trace), r.States)
			logTrace(t, r)
			require.Equal(t, removal.Invariant, r.Broken)
		})
	}
}

// Each guard has its removal, and each of the invariants is violated by one.
func TestRemovalsAreComplete(t *testing.T) {
	guards := map[Guard]bool{}
	invariants := map[Invariant]bool{CallEnds: true, OrderEnds: true, RolloutEnds: true}
	for _, removal := range Removals() {
		require.False(t, guards[removal.Guard], removal.Guard)
		guards[removal.Guard] = true
		invariants[removal.Invariant] = true
		_, err := findCase(removal.Case)
		require.NoError(t, err)
	}
	require.Len(t, guards, int(guardCount))
	for _, invariant := range violations {
		require.True(t, invariants[invariant], invariant)
	}
	for _, invariant := range logViolations {
		require.True(t, invariants[invariant], invariant)
	}
	for _, invariant := range orderViolations {
		require.True(t, invariants[invariant], invariant)
	}
	for _, invariant := range rolloutViolations {
		require.True(t, invariants[invariant], invariant)
	}
}
