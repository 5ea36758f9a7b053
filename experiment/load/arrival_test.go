package load

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/settings"
)

func example(t *testing.T, name string) *plan.Plan {
	t.Helper()
	p, err := plan.Load(filepath.Join("../../examples/experiments", name+".jsonc"))
	require.NoError(t, err)
	return p
}

// Symptom: two policies are compared on different requests.
// Sequence: the list is made once for each of them.
// Cause: something of it came from a map, the clock or a shared random source.
func TestSameSeedSameRequests(t *testing.T) {
	p := example(t, "compost")
	first, second := Generate(p, &p.Scenarios[0]), Generate(p, &p.Scenarios[0])
	assert.Equal(t, first, second)
	p.Seed++
	assert.NotEqual(t, len(first), len(Generate(p, &p.Scenarios[0])))
}

func TestRequestsHaveTheirLengths(t *testing.T) {
	p := example(t, "festival")
	prompts := map[string]bool{}
	for i, a := range Generate(p, p.Scenario("0.5x")) {
		if i > 0 {
			require.GreaterOrEqual(t, a.At, time.Duration(0))
		}
		if a.Class.Kind == settings.KindService {
			require.InDelta(t, a.PromptTokens*engine.BytesPerToken, len(a.Body), 20)
			continue
		}
		prompt, err := engine.ParsePrompt(a.Body)
		require.NoError(t, err)
		require.InDelta(t, a.PromptTokens, engine.EstimateTokens(len(prompt.Text)), 5)
		require.Equal(t, a.OutputTokens, prompt.MaxTokens)
		require.False(t, prompts[prompt.Text], "two requests have the same prompt")
		prompts[prompt.Text] = true
	}
}

func TestPromptsShareTheirPrefixes(t *testing.T) {
	p := example(t, "festival")
	prefixes := map[string]bool{}
	packets := 0
	for _, a := range Generate(p, p.Scenario("1x")) {
		if a.Class.Name != "packet" {
			continue
		}
		packets++
		prompt, err := engine.ParsePrompt(a.Body)
		require.NoError(t, err)
		prefixes[prompt.Text[:a.SharedTokens*engine.BytesPerToken]] = true
	}
	assert.Greater(t, packets, 100)
	assert.LessOrEqual(t, len(prefixes), 40)
	assert.Greater(t, len(prefixes), 30)
}

// Symptom: shares of organisations differ though the scheduler is fair.
// Sequence: two members with the same demand draw their own lengths; one gets more of the long ones.
// Cause: one long request weighs as much as a hundred short ones.
func TestSameDemandAsksForTheSame(t *testing.T) {
	p := example(t, "compost")
	tokens := make([]int, len(p.Organisations))
	for _, a := range Generate(p, p.Scenario("2x")) {
		if a.Measured {
			tokens[a.Organisation] += a.Tokens()
		}
	}
	assert.InEpsilon(t, tokens[0], tokens[1], 0.02)
	assert.InEpsilon(t, tokens[2], tokens[3], 0.02)
	assert.InEpsilon(t, 3, float64(tokens[0])/float64(tokens[2]), 0.2)
}

func TestBurstMultipliesTheRate(t *testing.T) {
	p := example(t, "compost")
	s := p.Scenario("burst")
	inside, outside := 0, 0
	begin, end := p.WarmUp+s.Burst.At, p.WarmUp+s.Burst.At+s.Burst.For
	for _, a := range Generate(p, s) {
		if at := plan.Duration(a.At); at >= begin && at < end {
			inside++
		} else {
			outside++
		}
	}
	rate := float64(inside) / s.Burst.For.Std().Seconds()
	rest := float64(outside) / (p.Length() - s.Burst.For.Std()).Seconds()
	assert.InEpsilon(t, s.Burst.Times, rate/rest, 0.1)
}
