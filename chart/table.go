package chart

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/result"
)

// Transition is a Branch with its target state as a Go value. Its slices belong to the table and must not be modified.
type Transition[S ~uint8] struct {
	// To is the next state.
	To S
	// Guards are the guards that must all hold for the transition to be taken.
	Guards []Guard
	// Actions are the names of the actions to perform, in order.
	Actions []string
}

// Table is the transition table of a chart, with states of type S and events of type E. Any number of goroutines may use
// it.
type Table[S, E ~uint8] struct {
	chart   *Chart
	states  []string
	events  []string
	initial S
	final   []bool
	cells   []cell[S]
}

// cell holds the transitions of one event in one state; none if the event isn't allowed there.
type cell[S ~uint8] struct {
	branches []Transition[S]
	refused  atomic.Uint64
}

// Bind maps the chart to Go types: states[i] is the name of S(i), and events[i] that of E(i). If the names differ from
// those of the chart, the error has code result.ChartInvalid and lists the differences.
func Bind[S, E ~uint8](c *Chart, states, events []string) (*Table[S, E], error) {
	var differences []string
	differences = append(differences, nameDifferences("state", c.stateNames(), states)...)
	differences = append(differences, nameDifferences("event", c.eventNames(), events)...)
	if len(differences) > 0 {
		return nil, result.New(result.ChartInvalid, "chart %s: %s", c.Name, strings.Join(differences, "; "))
	}
	t := &Table[S, E]{chart: c, states: slices.Clone(states), events: slices.Clone(events)}
	t.initial = t.state(c.Initial)
	t.final = make([]bool, len(states))
	t.cells = make([]cell[S], len(states)*len(events))
	for i := range c.States {
		t.addState(&c.States[i])
	}
	return t, nil
}

// BindEmbedded loads and binds the embedded chart of that name. Errors are those of Load and Bind.
func BindEmbedded[S, E ~uint8](name string, states, events []string) (*Table[S, E], error) {
	c, err := LoadEmbedded(name)
	if err != nil {
		return nil, err
	}
	return Bind[S, E](c, states, events)
}

func (t *Table[S, E]) addState(s *State) {
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

// Next returns the transition of event e in state s, if it doesn't depend on guards. If the chart doesn't allow the event
// there, or the first branch has guards, the event is counted as refused and the error has code
// result.ChartEventRefused.
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

// NextGuarded returns the first transition of event e in state s whose guards all hold. guard returns the value of a
// named boolean. If there is no such transition, the event is counted as refused and the error has code
// result.ChartEventRefused.
//
// An event that the chart doesn't allow means that two processes have inconsistent state, such as an answer to a
// request that was never dispatched. If it were ignored, the request could wait forever without any indication.
func (t *Table[S, E]) NextGuarded(s S, e E, guard func(name string) bool) (Transition[S], error) {
	c := t.cell(s, e)
	if c == nil || len(c.branches) == 0 {
		return Transition[S]{}, t.refuse(c, s, e, "not allowed")
	}
	for i := range c.branches {
		if allHold(c.branches[i].Guards, guard) {
			return c.branches[i], nil
		}
	}
	return Transition[S]{}, t.refuse(c, s, e, "no branch's guards hold")
}

// allHold reports whether all guards hold for the given values of booleans.
func allHold(guards []Guard, value func(name string) bool) bool {
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

// Refused returns the number of events refused since Bind. States and events out of range aren't counted.
func (t *Table[S, E]) Refused() uint64 {
	total := uint64(0)
	for i := range t.cells {
		total += t.cells[i].refused.Load()
	}
	return total
}

// RefusedAt returns the number of times that event e was refused in state s; 0 if either is out of range.
func (t *Table[S, E]) RefusedAt(s S, e E) uint64 {
	if c := t.cell(s, e); c != nil {
		return c.refused.Load()
	}
	return 0
}

// Branches returns the transitions of event e in state s, in the order in which they are tried; nil if the event isn't
// allowed there.
func (t *Table[S, E]) Branches(s S, e E) []Transition[S] {
	if c := t.cell(s, e); c != nil {
		return c.branches
	}
	return nil
}

// Chart returns the chart given to Bind.
func (t *Table[S, E]) Chart() *Chart {
	return t.chart
}

// Initial returns the chart's initial state.
func (t *Table[S, E]) Initial() S {
	return t.initial
}

// Final reports whether s is a final state; false if s is out of range.
func (t *Table[S, E]) Final(s S) bool {
	return int(s) < len(t.final) && t.final[s]
}

// StateName returns the chart's name of s, or "out_of_range".
func (t *Table[S, E]) StateName(s S) string {
	return nameAt(t.states, int(s))
}

// EventName returns the chart's name of e, or "out_of_range".
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

// nameDifferences describes the names that only one of the two lists has, and names that are twice in inGo.
func nameDifferences(kind string, inChart, inGo []string) []string {
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
