// Package chart loads state charts from files and compiles them into transition tables.
//
// A chart file is JSON with comments. It declares the events, guards and actions, each with a line of
// documentation, and the states with the transitions of each event:
//
//	{
//	  "name": "door",
//	  "events": {"push": "someone pushes"},
//	  "guards": {"locked": "the bolt is out"},
//	  "actions": {"ring_bell": "rings the bell"},
//	  "states": {
//	    "shut": {"initial": true, "on": {"push": [
//	      {"to": "shut", "guards": ["locked"], "actions": ["ring_bell"]},
//	      {"to": "open"}
//	    ]}},
//	    "open": {"final": true}
//	  }
//	}
//
// An event in a state has one branch or a list of them; the first branch whose guards all hold is taken. A guard
// written "!name" holds if the boolean is false. All branches of a final state lead back to it.
//
// The schedulers and the model checker in package spec load the same files, so that the checked model is the one that
// runs. Nothing here depends on time: a table reads no clock and starts no goroutine.
package chart

import (
	"bytes"
	"embed"
	"encoding/json"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Files holds the embedded charts, as charts/NAME.jsonc.
//
//go:embed charts/*.jsonc
var Files embed.FS

// Chart is a valid state chart. It isn't modified after Load.
type Chart struct {
	// Name is the chart's name.
	Name string
	// Initial is the name of the initial state.
	Initial string
	// States are sorted by name.
	States []State
	// Events are sorted by name.
	Events []Declaration
	// Guards are sorted by name.
	Guards []Declaration
	// Actions are sorted by name.
	Actions []Declaration
}

// Declaration is the name of an event, guard or action with its documentation.
type Declaration struct {
	Name, Doc string
}

// State is one state of a chart.
type State struct {
	// Name is the state's name.
	Name string
	// Doc says what the state means.
	Doc string
	// Final is true for a state that no event leaves.
	Final bool
	// On maps the name of an event to its branches, in the order in which they are tried. Other events aren't allowed.
	On map[string][]Branch
}

// Branch is one possible transition of an event in a state.
type Branch struct {
	// To is the name of the next state.
	To string
	// Guards must all hold for the branch to be taken.
	Guards []Guard
	// Actions are the names of the actions that the caller then performs, in order.
	Actions []string
}

// Guard is a named boolean or its negation.
type Guard struct {
	// Name is the declared name of the boolean.
	Name string
	// Not is true if the guard holds when the boolean is false.
	Not bool
}

// String returns the guard in the syntax of chart files: its name, after "!" if it is negated.
func (g Guard) String() string {
	if g.Not {
		return negationPrefix + g.Name
	}
	return g.Name
}

// negationPrefix stands before the name of a negated guard in a chart file.
const negationPrefix = "!"

// LoadEmbedded loads the embedded chart of that name. Errors are those of Load.
func LoadEmbedded(name string) (*Chart, error) {
	return Load(Files, path.Join("charts", name+".jsonc"))
}

// Load reads and validates a chart file. The error has code result.ChartInvalid; for a file that can be decoded, it lists
// all mistakes.
func Load(files fs.FS, name string) (*Chart, error) {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, result.Wrap(err, result.ChartInvalid, "read %s", name)
	}
	var in chartFile
	if err := jsonc.Decode(data, &in); err != nil {
		return nil, result.Wrap(err, result.ChartInvalid, "%s", name)
	}
	c := in.chart()
	if mistakes := c.check(in.initials()); len(mistakes) > 0 {
		return nil, result.New(result.ChartInvalid, "%s: %s", name, strings.Join(mistakes, "; "))
	}
	return c, nil
}

// chartFile is the JSON schema of a chart file.
type chartFile struct {
	Name    string               `json:"name"`
	Doc     string               `json:"doc"`
	Events  map[string]string    `json:"events"`
	Guards  map[string]string    `json:"guards"`
	Actions map[string]string    `json:"actions"`
	States  map[string]stateFile `json:"states"`
}

type stateFile struct {
	Doc     string                `json:"doc"`
	Initial bool                  `json:"initial"`
	Final   bool                  `json:"final"`
	On      map[string]branchList `json:"on"`
}

type branchFile struct {
	To      string   `json:"to"`
	Guards  []string `json:"guards"`
	Actions []string `json:"actions"`
}

// branchList is decoded from a single branch or from a list of branches.
type branchList []branchFile

// UnmarshalJSON implements json.Unmarshaler. Unknown fields are errors.
func (l *branchList) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if data[0] == '[' {
		return decoder.Decode((*[]branchFile)(l))
	}
	*l = make(branchList, 1)
	return decoder.Decode(&(*l)[0])
}

func (f *chartFile) chart() *Chart {
	c := &Chart{Name: f.Name, Events: declarations(f.Events), Guards: declarations(f.Guards), Actions: declarations(f.Actions)}
	for _, name := range sortedKeys(f.States) {
		in := f.States[name]
		c.States = append(c.States, State{Name: name, Doc: in.Doc, Final: in.Final, On: branches(in.On)})
	}
	if initials := f.initials(); len(initials) > 0 {
		c.Initial = initials[0]
	}
	return c
}

// initials returns the sorted names of all states that are marked as initial; a valid chart has one.
func (f *chartFile) initials() []string {
	var names []string
	for _, name := range sortedKeys(f.States) {
		if f.States[name].Initial {
			names = append(names, name)
		}
	}
	return names
}

func branches(on map[string]branchList) map[string][]Branch {
	out := make(map[string][]Branch, len(on))
	for event, list := range on {
		out[event] = make([]Branch, 0, len(list))
		for _, in := range list {
			out[event] = append(out[event], Branch{To: in.To, Guards: guards(in.Guards), Actions: in.Actions})
		}
	}
	return out
}

func guards(names []string) []Guard {
	var out []Guard
	for _, name := range names {
		plain, not := strings.CutPrefix(name, negationPrefix)
		out = append(out, Guard{Name: plain, Not: not})
	}
	return out
}

func declarations(declared map[string]string) []Declaration {
	var out []Declaration
	for _, name := range sortedKeys(declared) {
		out = append(out, Declaration{Name: name, Doc: declared[name]})
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
