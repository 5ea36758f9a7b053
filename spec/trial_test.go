package spec

import (
	"testing"
	"os"
	"strconv"

	"github.com/stretchr/testify/require"
)

func num(k string, d int) uint8 { if v:=os.Getenv(k); v!="" { n,_:=strconv.Atoi(v); return uint8(n)}; return uint8(d) }

func TestTrial(t *testing.T) {
	c, err := openCharts()
	require.NoError(t, err)
	b := AttemptBounds{Repeatable: num("REP",1)==1, Calls: num("CALLS",1), Attempts: num("ATT",2), EntryCrashes: num("EC",0), AgentCrashes: num("AC",0), WrongEnds: num("WE",0), Leaves: num("LV",0), Losses: num("LO",0), Whole: num("WH",0)==1, Reservations: num("RES",0)==1}
	g := AllGuards
	if v := os.Getenv("OFF"); v != "" { for i := range guardNames { if guardNames[i]==v { g = g.Without(Guard(i)) } } }
	r, err := Explore(newAttempts(c, b, g), 8000000)
	t.Logf("%+v states %d transitions %d depth %d %.1fs broken %q err %v", b, r.States, r.Transitions, r.Depth, r.Seconds, r.Broken, err)
	for i, l := range r.Trace { t.Log(i+1, l) }
	t.Log(r.Taken)
}

func TestMatrix(t *testing.T) {
	if os.Getenv("MATRIX") == "" { t.Skip() }
	c, err := openCharts()
	require.NoError(t, err)
	for _, k := range attemptCases[7:8] {
		r, err := Explore(newAttempts(c, k.bounds, AllGuards), 6000000)
		t.Logf("%-30s states %d depth %d %.1fs %q %v", k.name, r.States, r.Depth, r.Seconds, r.Broken, err)
	}
	for _, x := range []struct{g Guard; k string; i Invariant}{
		{GuardKnownAttempt, "entry cut off", OneEngine}, {GuardPredecessor, "both crash, repeatable", NotRunTrue},
		{GuardOwnerGone, "entry cut off", OneEngine}, {GuardEndedAtRestart, "entry cut off", OneEngine}, {GuardEndedStaysEnded, "entry cut off", OneEngine},
		{GuardTombstone, "no fault, repeatable", OneEngine}, {GuardProofBeforeRetry, "no fault, repeatable", OneEngine},
		{GuardFirstTaker, "reservations", OneEngine}, {GuardSettledCalls,"agent crash, repeatable", OneEngine}, {GuardSameIncarnation,"agent crash, not repeatable",Once},
		{GuardCommitBeforeDispatch, "no fault, not repeatable", Once}, {GuardEpochTakeover,"entry crash, repeatable",OneEngine},{GuardEarlierProofs,"entry crash, repeatable",OneEngine},
		{GuardSpentRequest,"no fault, not repeatable",AfterAnswer},
	} {
		for _, k := range attemptCases {
			if k.name != x.k { continue }
			m := newAttempts(c, k.bounds, AllGuards.Without(x.g)); m.want = x.i
			r, err := Explore(m, 4000000)
			t.Logf("%-24s %-30s states %8d len %2d %.1fs %q %v", x.g, k.name, r.States, len(r.Trace), r.Seconds, r.Broken, err)
			if x.g == GuardKnownAttempt || x.g==GuardEndedAtRestart || x.g == GuardEndedStaysEnded { for i, l := range r.Trace { t.Log(i+1, l) } }
		}
	}
}
