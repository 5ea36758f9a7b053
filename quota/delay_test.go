package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// A report must count from the time at which it was sent. If a partition delays reports by two seconds and the entry is
// replaced afterwards, counting from their arrival overruns a cap by 5%: use that left the window before the entry's
// end, and that the entry has repeated since, seems to leave it later.
func TestDelayedReportCountsFromItsSending(t *testing.T) {
	ledger, e := testLedger()
	now := time.Unix(1_700_000_000, 0)
	poll := func(sinceBoot time.Duration, usage *wire.Usage) *wire.Poll {
		return &wire.Poll{UsageWindowMs: 8000, SinceBootMs: uint64(sinceBoot.Milliseconds()), Usage: []*wire.Usage{usage}}
	}
	early := &wire.Usage{Organisation: "org", Used: 320, Leaving: []uint64{0, 0, 0, 0, 320}}
	ledger.Record(e[0], poll(time.Hour, &wire.Usage{Organisation: "org"}), now)
	// The report is sent a second later and arrives two seconds late. Its use leaves the window 1.25 s after it was
	// sent.
	now = now.Add(3 * time.Second)
	ledger.Record(e[0], poll(time.Hour+time.Second, early), now)
	require.Zero(t, ledger.leftWindow(e[0], "org", now, now.Add(2*time.Second)), "the use had left the window before")

	now = now.Add(time.Second)
	ledger.Record(e[0], poll(time.Hour+4*time.Second, early), now)
	ledger.Record(e[0], poll(time.Hour+3*time.Second, &wire.Usage{Organisation: "org", Used: 900}), now)
	require.EqualValues(t, 320, ledger.leftWindow(e[0], "org", now, now.Add(1500*time.Millisecond)), "an older report is ignored")
}
