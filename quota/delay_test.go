package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: a cap is overrun by 5% after a cut. Sequence: an entry is cut off and goes on; its last words are held up on the way
// for two seconds; control ends it as silent, the cut heals, the words arrive, and a new start takes the entry's place; the
// share of the one before is freed as by those words. Cause: a word counted from its arrival, so that use which had left the
// window before the end, and which the entry had made anew since, seemed to leave it after.
func TestWordThatWasHeldUpCountsFromItsSending(t *testing.T) {
	ledger, e := usageTable()
	now := time.Unix(1_700_000_000, 0)
	told := func(sinceBoot time.Duration, word *wire.Usage) *wire.Poll {
		return &wire.Poll{UsageWindowMs: 8000, SinceBootMs: uint64(sinceBoot.Milliseconds()), Usage: []*wire.Usage{word}}
	}
	early := &wire.Usage{Organisation: "org", Used: 320, Leaving: []uint64{0, 0, 0, 0, 320}}
	ledger.Record(e[0], told(time.Hour, &wire.Usage{Organisation: "org"}), now)
	// It is told a second later, leaves the window a second and a quarter after that, and arrives two seconds late.
	now = now.Add(3 * time.Second)
	ledger.Record(e[0], told(time.Hour+time.Second, early), now)
	require.Zero(t, ledger.gone(e[0], "org", now, now.Add(2*time.Second)), "it had left the window before")

	now = now.Add(time.Second)
	ledger.Record(e[0], told(time.Hour+4*time.Second, early), now)
	ledger.Record(e[0], told(time.Hour+3*time.Second, &wire.Usage{Organisation: "org", Used: 900}), now)
	require.EqualValues(t, 320, ledger.gone(e[0], "org", now, now.Add(1500*time.Millisecond)), "an older word changes nothing")
}
