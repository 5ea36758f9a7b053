package chart

import (
	"fmt"
	"regexp"
	"slices"
)

// namePattern is the form of all names in a chart: snake_case without digits.
var namePattern = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)

// checker validates one chart and collects its mistakes.
type checker struct {
	chart      *Chart
	states     map[string]*State
	referenced map[string]bool
	mistakes   []string
}

// check returns all mistakes, in a fixed order. initials are the names of the states marked as initial.
func (c *Chart) check(initials []string) []string {
	k := &checker{chart: c, states: map[string]*State{}, referenced: map[string]bool{}}
	for i := range c.States {
		k.states[c.States[i].Name] = &c.States[i]
	}
	k.checkNames()
	if len(initials) != 1 {
		k.addMistake("want one initial state, got %d", len(initials))
	}
	for i := range c.States {
		k.checkState(&c.States[i])
	}
	k.checkUnused()
	k.checkReachability()
	return k.mistakes
}

func (k *checker) addMistake(format string, args ...any) {
	k.mistakes = append(k.mistakes, fmt.Sprintf(format, args...))
}

func (k *checker) checkNames() {
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
			k.addMistake("name %q is not snake_case", name)
		}
	}
}

func (k *checker) checkState(s *State) {
	for _, event := range sortedKeys(s.On) {
		k.reference("event", event, k.chart.Events, s.Name)
		list := s.On[event]
		if len(list) == 0 {
			k.addMistake("state %s, event %s: no branch", s.Name, event)
		}
		for i, branch := range list {
			k.checkBranch(s, event, branch)
			if len(branch.Guards) == 0 && i < len(list)-1 {
				k.addMistake("state %s, event %s: branches after one without guards are never taken", s.Name, event)
			}
		}
	}
}

func (k *checker) checkBranch(s *State, event string, b Branch) {
	if k.states[b.To] == nil {
		k.addMistake("state %s, event %s: unknown state %q", s.Name, event, b.To)
	}
	if s.Final && b.To != s.Name {
		k.addMistake("state %s, event %s: leaves a final state", s.Name, event)
	}
	for _, guard := range b.Guards {
		k.reference("guard", guard.Name, k.chart.Guards, s.Name)
	}
	for _, action := range b.Actions {
		k.reference("action", action, k.chart.Actions, s.Name)
	}
}

// reference records a use of a name and checks that the name is declared. Otherwise a misspelt guard would never hold,
// and its branch would silently never be taken.
func (k *checker) reference(kind, name string, declared []Declaration, state string) {
	k.referenced[kind+" "+name] = true
	if !slices.ContainsFunc(declared, func(i Declaration) bool { return i.Name == name }) {
		k.addMistake("state %s: unknown %s %q", state, kind, name)
	}
}

// checkUnused finds names that are declared and not used.
func (k *checker) checkUnused() {
	kinds := []struct {
		kind     string
		declared []Declaration
	}{{"event", k.chart.Events}, {"guard", k.chart.Guards}, {"action", k.chart.Actions}}
	for _, kind := range kinds {
		for _, item := range kind.declared {
			if !k.referenced[kind.kind+" "+item.Name] {
				k.addMistake("%s %q is declared and not used", kind.kind, item.Name)
			}
		}
	}
}

// checkReachability finds states that can't be reached from the initial state, and states that can't reach a final one.
func (k *checker) checkReachability() {
	reachableStates := k.reachable(k.chart.Initial)
	for _, state := range k.chart.States {
		if !reachableStates[state.Name] {
			k.addMistake("state %s can't be reached", state.Name)
		}
		if !k.canReachFinal(state.Name) {
			k.addMistake("state %s is a dead end: no final state can be reached from it", state.Name)
		}
	}
}

// canReachFinal reports whether a final state can be reached from a state.
func (k *checker) canReachFinal(from string) bool {
	for name := range k.reachable(from) {
		if k.states[name].Final {
			return true
		}
	}
	return false
}

// reachable returns the set of states that can be reached from a state, itself included. Guards are ignored.
func (k *checker) reachable(from string) map[string]bool {
	seen := map[string]bool{}
	pending := []string{from}
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		state := k.states[name]
		if state == nil || seen[name] {
			continue
		}
		seen[name] = true
		for _, list := range state.On {
			for _, branch := range list {
				pending = append(pending, branch.To)
			}
		}
	}
	return seen
}
