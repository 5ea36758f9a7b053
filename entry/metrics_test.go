package entry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The first refusals of a kind would raise no alert if a counter appeared only with its first event, since it would
// then show no increase between two scrapes.
func TestCountersExistBeforeFirstEvent(t *testing.T) {
	m := newMeter()
	m.declare([]settings.Organisation{{Name: "zagreb"}})
	m.declareClasses(map[string]*wire.Class{"summary": {Name: "summary", Tier: 2}})
	var text bytes.Buffer
	m.set.WritePrometheus(&text)
	for _, line := range []string{
		`carawaypitch_refusals_total{code="1203",tier="1"} 0`,
		`carawaypitch_retries_total{reason="never_started"} 0`,
		`carawaypitch_goodput_total{tier="2",class="summary"} 0`,
		`carawaypitch_late_total{tier="2",class="summary"} 0`,
		`carawaypitch_wasted_prefill_tokens_total{cause="preempted"} 0`,
		`carawaypitch_served_tokens_total{organisation="zagreb",tier="3"} 0`,
	} {
		require.Contains(t, text.String(), line+"\n")
	}
}
