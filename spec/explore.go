package spec

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Step names a transition: its kind, and up to three small arguments such as an entry, an agent and a number.
type Step struct {
	Kind    uint8
	A, B, C uint8
}

// Invariant names what must hold in every state, or of every state's future.
type Invariant string

// Model is a transition system with states of type S.
type Model[S comparable] interface {
	// Initial returns the state to begin with.
	Initial() S
	// Encode appends the state's bytes. Different states need different bytes.
	Encode(s *S, b []byte) []byte
	// Next yields every transition out of a state.
	Next(s *S, yield func(Step, *S))
	// Broken returns the invariant that the state violates, or "".
	Broken(s *S) Invariant
	// Done tells whether the progress that the model promises is made in this state.
	Done(s *S) bool
	// Progress names the promise that from every state one can be reached that is Done.
	Progress() Invariant
	// Kinds returns the names of the kinds of steps.
	Kinds() []string
	// Reached counts what was reached besides steps, such as the states of charts, by name.
	Reached() map[string]int
	// Describe returns a step as a line of a trace.
	Describe(s Step) string
}

// ErrTooLarge says that a model has more states than the limit, so that nothing was proved.
var ErrTooLarge = errors.New("spec: more states than the limit")

// Result is what an exploration found.
type Result struct {
	// States and Transitions count what was visited, Depth is the longest shortest path from the initial state.
	States, Transitions, Depth int
	// Seconds is the time taken.
	Seconds float64
	// Broken is the violated invariant, "" if there is none, and Trace a shortest way there.
	Broken Invariant
	Trace  []string
	// Taken counts the transitions of each kind, and what else was reached.
	Taken map[string]int
}

// visited holds what is kept of every state.
type visited[S comparable] struct {
	store  *store[S]
	parent []uint32
	step   []Step
	// first[i] is where the successors of state i begin in to. They are kept if progress is looked at.
	progress bool
	first    []uint32
	to       []uint32
}

// Explore visits every reachable state. It stops at the first violation of the wanted invariant, of any if none is
// named. The error is ErrTooLarge or nil.
func Explore[S comparable](m Model[S], limit int, want Invariant) (*Result, error) {
	begun := time.Now()
	v := &visited[S]{store: newStore(m.Encode), progress: want == "" || want == m.Progress()}
	r := &Result{Taken: map[string]int{}}
	taken := make([]int, len(m.Kinds()))
	initial := m.Initial()
	v.add(&initial, 0, Step{})
	err := v.search(m, r, taken, limit)
	if err == nil && r.Broken == "" && v.progress {
		v.checkProgress(m, r)
	}
	r.States = len(v.parent)
	for kind, n := range taken {
		r.Taken[m.Kinds()[kind]] = n
	}
	for name, n := range m.Reached() {
		r.Taken[name] = n
	}
	r.Seconds = time.Since(begun).Seconds()
	return r, err
}

// add returns the number of a state, and whether it is new.
func (v *visited[S]) add(s *S, parent uint32, step Step) (uint32, bool) {
	id, isNew := v.store.put(s)
	if isNew {
		v.parent = append(v.parent, parent)
		v.step = append(v.step, step)
	}
	return id, isNew
}

func (v *visited[S]) search(m Model[S], r *Result, taken []int, limit int) error {
	levelEnd := uint32(1)
	for at := uint32(0); at < uint32(len(v.parent)); at++ {
		if at == levelEnd {
			r.Depth++
			levelEnd = uint32(len(v.parent))
		}
		from := v.store.get(at)
		if broken := m.Broken(&from); broken != "" {
			r.Broken = broken
			r.Trace = v.trace(m, at)
			return nil
		}
		if len(v.parent) > limit {
			return ErrTooLarge
		}
		v.first = append(v.first, uint32(len(v.to)))
		m.Next(&from, func(step Step, next *S) {
			taken[step.Kind]++
			r.Transitions++
			id := at
			if *next != from {
				id, _ = v.add(next, at, step)
			}
			if v.progress {
				v.to = append(v.to, id)
			}
		})
	}
	v.first = append(v.first, uint32(len(v.to)))
	return nil
}

func (v *visited[S]) trace(m Model[S], at uint32) []string {
	var lines []string
	for ; at != 0; at = v.parent[at] {
		lines = append(lines, m.Describe(v.step[at]))
	}
	slices.Reverse(lines)
	return lines
}

// checkProgress looks for the first state from which no state that is done can be reached. Passes go on until none
// finds another state that can; states are numbered by their depth, so that going backwards takes few passes.
func (v *visited[S]) checkProgress(m Model[S], r *Result) {
	able := make([]bool, len(v.parent))
	for changed := true; changed; {
		changed = false
		for at := len(able) - 1; at >= 0; at-- {
			if !able[at] && v.canEnd(m, able, uint32(at)) {
				able[at] = true
				changed = true
			}
		}
	}
	if at := slices.Index(able, false); at >= 0 {
		r.Broken = m.Progress()
		r.Trace = v.trace(m, uint32(at))
	}
}

func (v *visited[S]) canEnd(m Model[S], able []bool, at uint32) bool {
	for _, next := range v.to[v.first[at]:v.first[at+1]] {
		if able[next] {
			return true
		}
	}
	s := v.store.get(at)
	return m.Done(&s)
}
