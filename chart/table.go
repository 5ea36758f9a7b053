package chart

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/result"
)

// Transition is a branch in terms of the Go type of states. Its slices belong to the table: don't change them.
type Transition[S ~uint8] struct {
	// To is the next state.
	To S
	// Guards are what had to hold.
	Guards []Guard
	// Actions are the names of what to do now, in order.
	Actions []string
}

// Table is a chart bound to Go types. Any number of goroutines may use it.
type Table[S, E ~uint8] struct {
	chart   *Chart
	states  []string
	events  []string
	initial S
	final   []bool
	cells   []cell[S]
}

// cell is what one event does in one state. Without branches the event isn't allowed there.
type cell[S ~uint8] struct {
	branches []Transition[S]
	refused  atomic.Uint64
}

// Bind maps the chart to Go types: states[i] is the name of S(i), events[i] of E(i). The error has code
// result.ChartInvalid if the names aren't the same on both sides, and lists the differences.
func Bind[S, E ~uint8](c *Chart, states, events []string) (*Table[S, E], error) {
	var differences []string
	differences = append(differences, differ("state", c.stateNames(), states)...)
	differences = append(differences, differ("event", c.eventNames(), events)...)
	if len(differences) > 0 {
		return nil, result.New(result.ChartInvalid, "chart %s: %s", c.Name, strings.Join(differences, "; "))
	}
	t := &Table[S, E]{chart: c, states: slices.Clone(states), events: slices.Clone(events)}
	t.initial = t.state(c.Initial)
	t.final = make([]bool, len(states))
	t.cells = make([]cell[S], len(states)*len(events))
	for i := range c.States {
		t.fill(&c.States[i])
	}
	return t, nil
}

// BindEmbedded binds the embedded chart of that name. Errors are those of Load and Bind.
func BindEmbedded[S, E ~uint8](name string, states, events []string) (*Table[S, E], error) {
	c, err := LoadEmbedded(name)
	if err != nil {
		return nil, err
	}
	return Bind[S, E](c, states, events)
}

func (t *Table[S, E]) fill(s *State) {
	from := t.state(s.Name)
	t.final[from] = s.Final
	for name, list := range s.On {
		c := t.cell(from, E(slices.Index(t.events, name)))
		for _, b := range list {
			c.branches = append(c.branches, Transition[S]{To: t.state(b.To), Guards: b.Guards, Actions: b.Actions})
		}
	}
}

func (t *Table[S, E]) state(name string) S {
	return S(slices.Index(t.states, name))
}

// cell returns nil if the state or event is out of range.
func (t *Table[S, E]) cell(s S, e E) *cell[S] {
	if int(s) >= len(t.states) || int(e) >= len(t.events) {
		return nil
	}
	return &t.cells[int(s)*len(t.events)+int(e)]
}

// Next returns what event e does in state s, where that doesn't depend on guards. The error has code
// result.ChartEventRefused if the chart doesn't allow the event there, or guards decide; it is counted.
func (t *Table[S, E]) Next(s S, e E) (Transition[S], error) {
	c := t.cell(s, e)
	if c == nil || len(c.branches) == 0 {
		return Transition[S]{}, t.refuse(c, s, e, "not allowed")
	}
	if len(c.branches[0].Guards) > 0 {
		return Transition[S]{}, t.refuse(c, s, e, "guards decide, and none were given")
	}
	return c.branches[0], nil
}

// NextGuarded returns the first branch of event e in state s whose guards all hold. guard gives the value of a
// named boolean. The error has code result.ChartEventRefused if there is no such branch; it is counted.
//
// An event that the chart doesn't allow means that two processes disagree on what happened, such as an answer to
// a request that was never dispatched. Were it ignored, the request would wait for ever and nobody would know.
func (t *Table[S, E]) NextGuarded(s S, e E, guard func(name string) bool) (Transition[S], error) {
	c := t.cell(s, e)
	if c == nil || len(c.branches) == 0 {
		return Transition[S]{}, t.refuse(c, s, e, "not allowed")
	}
	for i := range c.branches {
		if holds(c.branches[i].Guards, guard) {
			return c.branches[i], nil
		}
	}
	return Transition[S]{}, t.refuse(c, s, e, "no branch's guards hold")
}

func holds(guards []Guard, value func(name string) bool) bool {
	for _, g := range guards {
		if value(g.Name) == g.Not {
			return false
		}
	}
	return true
}

func (t *Table[S, E]) refuse(c *cell[S], s S, e E, reason string) error {
	if c != nil {
		c.refused.Add(1)
	}
	return result.New(result.ChartEventRefused, "chart %s, state %s, event %s: %s",
		t.chart.Name, t.StateName(s), t.EventName(e), reason)
}

// Refused returns how many events were refused since Bind. Values out of range aren't counted.
func (t *Table[S, E]) Refused() uint64 {
	total := uint64(0)
	for i := range t.cells {
		total += t.cells[i].refused.Load()
	}
	return total
}

// RefusedAt returns how many times event e was refused in state s.
func (t *Table[S, E]) RefusedAt(s S, e E) uint64 {
	if c := t.cell(s, e); c != nil {
		return c.refused.Load()
	}
	return 0
}

// Branches returns the branches of event e in state s in the order in which they are tried; none if the event
// isn't allowed there.
func (t *Table[S, E]) Branches(s S, e E) []Transition[S] {
	if c := t.cell(s, e); c != nil {
		return c.branches
	}
	return nil
}

// Chart returns the chart that the table was made from.
func (t *Table[S, E]) Chart() *Chart {
	return t.chart
}

// Initial returns the initial state.
func (t *Table[S, E]) Initial() S {
	return t.initial
}

// Final tells whether s is a final state.
func (t *Table[S, E]) Final(s S) bool {
	return int(s) < len(t.final) && t.final[s]
}

// StateName returns the name of s, or "out_of_range".
func (t *Table[S, E]) StateName(s S) string {
	return nameAt(t.states, int(s))
}

// EventName returns the name of e, or "out_of_range".
func (t *Table[S, E]) EventName(e E) string {
	return nameAt(t.events, int(e))
}

func nameAt(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return "out_of_range"
}

func (c *Chart) stateNames() []string {
	var names []string
	for _, state := range c.States {
		names = append(names, state.Name)
	}
	return names
}

func (c *Chart) eventNames() []string {
	var names []string
	for _, event := range c.Events {
		names = append(names, event.Name)
	}
	return names
}

// differ lists names that stand on one side only, and names that the Go side has twice.
func differ(kind string, inChart, inGo []string) []string {
	var out []string
	for _, name := range inChart {
		if !slices.Contains(inGo, name) {
			out = append(out, kind+" "+name+" is not in the Go names")
		}
	}
	for i, name := range inGo {
		if !slices.Contains(inChart, name) {
			out = append(out, kind+" "+name+" is not in the chart")
		}
		if slices.Index(inGo, name) != i {
			out = append(out, kind+" "+name+" stands twice in the Go names")
		}
	}
	return out
}
