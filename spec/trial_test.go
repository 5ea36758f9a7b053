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
	b := AttemptBounds{Repeatable: num("REP",1)==1, Calls: num("CALLS",1), Attempts: num("ATT",2), EntryCrashes: num("EC",0), AgentCrashes: num("AC",0), WrongEnds: num("WE",0), Leaves: num("LV",0), Losses: num("LO",0), Reservations: num("RES",0)==1}
	g := AllGuards
	if v := os.Getenv("OFF"); v != "" { for i := range guardNames { if guardNames[i]==v { g = g.Without(Guard(i)) } } }
	r, err := Explore(newAttempts(c, b, g), 8000000)
	t.Logf("%+v states %d transitions %d depth %d %.1fs broken %q err %v", b, r.States, r.Transitions, r.Depth, r.Seconds, r.Broken, err)
	for i, l := range r.Trace { t.Log(i+1, l) }
	t.Log(r.Taken)
}
