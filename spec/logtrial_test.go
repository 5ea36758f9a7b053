package spec

import ("testing"; "os")

func TestLogTrial(t *testing.T) {
	b := LogBounds{Terms: num("T", 2), Entries: num("L", 2), Crashes: num("CR", 0), Changes: num("CH",0)==1, Wipe: num("WI",0)==1, Loss: num("LS",0)==1, Reads: num("RD",0)==1, PreVote: num("PV",0)==1}
	g := AllGuards
	if v := os.Getenv("OFF"); v != "" { for i := range guardNames { if guardNames[i]==v { g = g.Without(Guard(i)) } } }
	r, err := Explore(&logModel{bounds: b, guards: g}, int(num("LIM",4))*1000000)
	t.Logf("%+v states %d transitions %d depth %d %.1fs broken %q err %v", b, r.States, r.Transitions, r.Depth, r.Seconds, r.Broken, err)
	for i, l := range r.Trace { t.Log(i+1, l) }
	t.Log(r.Taken)
}
