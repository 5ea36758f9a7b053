package plan

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const examples = "../../examples/experiments"

func quick(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(examples, "quick.jsonc"))
	require.NoError(t, err)
	return string(text)
}

func TestExamplesAreGood(t *testing.T) {
	for _, name := range []string{"quick", "compost", "festival", "rollout"} {
		p, err := Load(filepath.Join(examples, name+".jsonc"))
		require.NoError(t, err, name)
		assert.Equal(t, name, p.Name)
	}
}

// Symptom: an experiment measures something else than its file says.
// Sequence: a file with a misspelt field, a wrong unit or a name of nothing is run.
// Cause: the reader took it as it was.
func TestMistakesAreFoundWithTheirPlace(t *testing.T) {
	tests := []struct{ old, new, path, message string }{
		{`"seed": 1,`, `"sede": 1,`, "sede", `unknown field "sede"`},
		{`"seed": 1,`, `"seed": 1, "seed": 2,`, "seed", "stands twice"},
		{`"seed": 1,`, `"seed": "one",`, "seed", "want a uint64"},
		{`"warm_up": "1s"`, `"warm_up": 1`, "warm_up", "want a string with a unit"},
		{`"warm_up": "1s"`, `"warm_up": "1 second"`, "warm_up", "want a duration"},
		{`"drain": "1500ms"`, `"drain": "2h"`, "measured", "a run may last"},
		{`{"zone": "zone-2"}`, `{"zone": "zone-9"}`, "entries[1].zone", "no availability zone"},
		{`"slots": 2, "service_time": "20ms"`, `"slots": 2`, "servers[2].service_time", "above zero"},
		{`"kind": "service", "serves"`, `"kind": "thing", "serves"`, "servers[2].kind", "want"},
		{`"tier": 3`, `"tier": 4`, "classes[1].tier", "want 1 to 3"},
		{`"entries": [2]`, `"entries": [3]`, "organisations[1].entries", "no entry 3"},
		{`{"class": "summary"`, `{"class": "sumary"`, "mix[3].class", "no class"},
		{`"/v1/completions"`, `"/v1/services/registry/x"`, "mix[3].path", "is for model calls"},
		{`"/v1/services/registry/list"`, `"/v1/services/other/list"`, "mix[1].path", "no backend servers"},
		{`"prefix_tokens": 128`, `"prefix_tokens": 100`, "mix[3].prefix_tokens", "multiple of 16"},
		{`"prefix_tokens": 128`, `"prefix_tokens": 1280`, "mix[3].prefix_tokens", "longer than the shortest"},
		{`"load": 2,`, `"load": 0,`, "scenarios[0].load", "want a multiple"},
		{`"load": 2,`, `"load": 2, "faults": [{"kind": "fire", "at": "1s"}],`, "scenarios[0].faults[0].kind", "no fault"},
		{
			`"load": 2,`, `"load": 2, "faults": [{"kind": "straggler", "at": "1s", "factor": 2, "target": "x"}],`,
			"scenarios[0].faults[0].target", "no backend server",
		},
		{`"load": 2,`, `"load": 2, "faults": [{"kind": "control_cut", "at": "1s"}],`, "scenarios[0].faults[0].kind", "at least 3 control"},
		{`"load": 2,`, `"load": 2, "faults": [{"kind": "control_death", "at": "1s", "for": "1s"}],`, "scenarios[0].faults[0].kind", "at least 3 control"},
		{`"load": 2,`, `"load": 2, "faults": [{"kind": "entry_cut", "at": "1s", "entry": 3}],`, "scenarios[0].faults[0].entry", "want 1 to 2"},
		{`"load": 2,`, `"load": 2, "faults": [{"kind": "zone_loss", "at": "1s", "for": "1s", "target": "x"}],`, "scenarios[0].faults[0].target", "no availability zone"},
		{`"load": 2,`, `"load": 2, "rollout": {"service": "x", "to": "v2", "at": "0s", "for": "2s"},`, "scenarios[0].rollout.service", "no backend servers"},
		{`"load": 2,`, `"load": 2, "rollout": {"service": "registry", "at": "0s", "for": "2s"},`, "scenarios[0].rollout.to", "want a version"},
		{`"load": 2,`, `"load": 2, "rollout": {"service": "registry", "to": "v2", "at": "2s", "for": "2s"},`, "scenarios[0].rollout.for", "within measured"},
		{`"load": 2,`, `"load": 2, "rollout": {"service": "registry", "to": "v2", "at": "0s", "for": "0s"},`, "scenarios[0].rollout.for", "at least 1s"},
		{
			`"load": 2,`, `"load": 2, "rollout": {"service": "registry", "to": "v2", "for": "2s", "bad": {"after": "1s"}},`,
			"scenarios[0].rollout.bad", "want failures or slow",
		},
		{
			`"load": 2,`, `"load": 2, "rollout": {"service": "registry", "to": "v2", "for": "2s", "bad": {"failures": 1, "after": "2s"}},`,
			"scenarios[0].rollout.bad.after", "within for",
		},
		{
			`"load": 2,`, `"load": 2, "rollout": {"service": "registry", "to": "v2", "for": "2s", "cost_against": "2x"},`,
			"scenarios[0].rollout.cost_against", "without a roll-out",
		},
		{`"goals": "overload"`, `"goals": "all"`, "scenarios[0].goals", "want"},
		{`"random_fifo"`, `"best"`, "policies[1].policy", "want one of"},
	}
	good := quick(t)
	for _, test := range tests {
		require.Contains(t, good, test.old)
		text := strings.Replace(good, test.old, test.new, 1)
		_, err := Parse("x.jsonc", []byte(text))
		var mistake *Mistake
		require.ErrorAs(t, err, &mistake, test.new)
		assert.Equal(t, test.path, mistake.Path, test.new)
		assert.Contains(t, mistake.Message, test.message)
		assert.Positive(t, mistake.Line)
	}
}

func TestAllMistakesAreTold(t *testing.T) {
	text := strings.Replace(quick(t), `"load": 2,`, `"load": 0,`, 1)
	text = strings.Replace(text, `"tier": 3`, `"tier": 4`, 1)
	_, err := Parse("x.jsonc", []byte(text))
	assert.ErrorContains(t, err, "classes[1].tier")
	assert.ErrorContains(t, err, "scenarios[0].load")
}

func TestRange(t *testing.T) {
	r := Range{Min: 10, Max: 1000}
	assert.Equal(t, 10, r.At(0))
	assert.Equal(t, 100, r.At(0.5))
	assert.Equal(t, 1000, r.At(1))
	sum := 0
	const n = 100_000
	for i := range n {
		sum += r.At((float64(i) + 0.5) / n)
	}
	assert.InEpsilon(t, r.Mean(), float64(sum)/n, 0.01)
}

func FuzzParse(f *testing.F) {
	f.Add(`{"name": "x", "mix": [{"class": "y"}], "entries": [{}], "scenarios": [{"burst": {}, "faults": [{}]}]}`)
	f.Add(`{"servers": [{"count": 3}], "zones": ["z"], "organisations": [{"entries": [9]}]}`)
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Parse("x.jsonc", []byte(text))
	})
}
