package chart

import (
	"fmt"
	"regexp"
	"slices"
)

var namePattern = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)

// checker collects the mistakes of one chart.
type checker struct {
	chart    *Chart
	states   map[string]*State
	used     map[string]bool
	mistakes []string
}

// check returns every mistake, in a fixed order.
func (c *Chart) check(initials []string) []string {
	k := &checker{chart: c, states: map[string]*State{}, used: map[string]bool{}}
	for i := range c.States {
		k.states[c.States[i].Name] = &c.States[i]
	}
	k.names()
	if len(initials) != 1 {
		k.add("want one initial state, got %d", len(initials))
	}
	for i := range c.States {
		k.state(&c.States[i])
	}
	k.unused()
	k.reach()
	return k.mistakes
}

func (k *checker) add(format string, args ...any) {
	k.mistakes = append(k.mistakes, fmt.Sprintf(format, args...))
}

func (k *checker) names() {
	names := []string{k.chart.Name}
	for _, state := range k.chart.States {
		names = append(names, state.Name)
	}
	for _, list := range [][]Declaration{k.chart.Events, k.chart.Guards, k.chart.Actions} {
		for _, item := range list {
			names = append(names, item.Name)
		}
	}
	for _, name := range names {
		if !namePattern.MatchString(name) {
			k.add("name %q is not snake_case", name)
		}
	}
}

func (k *checker) state(s *State) {
	for _, event := range sortedKeys(s.On) {
		k.use("event", event, k.chart.Events, s.Name)
		list := s.On[event]
		if len(list) == 0 {
			k.add("state %s, event %s: no branch", s.Name, event)
		}
		for i, branch := range list {
			k.branch(s, event, branch)
			if len(branch.Guards) == 0 && i < len(list)-1 {
				k.add("state %s, event %s: branches after one without guards are never taken", s.Name, event)
			}
		}
	}
}

func (k *checker) branch(s *State, event string, b Branch) {
	if k.states[b.To] == nil {
		k.add("state %s, event %s: unknown state %q", s.Name, event, b.To)
	}
	if s.Final && b.To != s.Name {
		k.add("state %s, event %s: leaves a final state", s.Name, event)
	}
	for _, guard := range b.Guards {
		k.use("guard", guard.Name, k.chart.Guards, s.Name)
	}
	for _, action := range b.Actions {
		k.use("action", action, k.chart.Actions, s.Name)
	}
}

// use notes that a name is used and checks that it is declared. A misspelt guard would otherwise be one that never
// holds, and the branch would silently not be taken.
func (k *checker) use(kind, name string, declared []Declaration, state string) {
	k.used[kind+" "+name] = true
	if !slices.ContainsFunc(declared, func(i Declaration) bool { return i.Name == name }) {
		k.add("state %s: unknown %s %q", state, kind, name)
	}
}

func (k *checker) unused() {
	kinds := []struct {
		kind     string
		declared []Declaration
	}{{"event", k.chart.Events}, {"guard", k.chart.Guards}, {"action", k.chart.Actions}}
	for _, kind := range kinds {
		for _, item := range kind.declared {
			if !k.used[kind.kind+" "+item.Name] {
				k.add("%s %q is declared and not used", kind.kind, item.Name)
			}
		}
	}
}

// reach finds states that can't be entered and states from which no final state can be entered.
func (k *checker) reach() {
	entered := k.closure(k.chart.Initial)
	for _, state := range k.chart.States {
		if !entered[state.Name] {
			k.add("state %s can't be reached", state.Name)
		}
		if !k.canEnd(state.Name) {
			k.add("state %s is a dead end: no final state can be reached from it", state.Name)
		}
	}
}

func (k *checker) canEnd(from string) bool {
	for name := range k.closure(from) {
		if k.states[name].Final {
			return true
		}
	}
	return false
}

// closure returns from and every state that can be reached from it.
func (k *checker) closure(from string) map[string]bool {
	seen := map[string]bool{}
	todo := []string{from}
	for len(todo) > 0 {
		name := todo[0]
		todo = todo[1:]
		state := k.states[name]
		if state == nil || seen[name] {
			continue
		}
		seen[name] = true
		for _, list := range state.On {
			for _, branch := range list {
				todo = append(todo, branch.To)
			}
		}
	}
	return seen
}
