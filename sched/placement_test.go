package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// placementHarness returns a harness with a fast and a slow server and room for one request at each. A run of 1,000 tokens
// takes 4 s at the fast and 11 s at the slow one; longChat allows 15 s.
func placementHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, Options{ByLength: true})
	h.addServerAtRate("fast", 250)
	h.addServerAtRate("slow", 90)
	return h
}

// report sends a room report with a decode rate, 0 for none learned.
func (h *harness) report(server string, decodeRate float32, change func(*wire.Room)) {
	h.t.Helper()
	room := readyRoom(server, kindModel, testModel, 1)
	room.DecodeTokensPerS = decodeRate
	if change != nil {
		change(room)
	}
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

func (h *harness) arriveWith(id string, hint, most uint32, change func(*Request)) {
	h.t.Helper()
	r := h.request(id, longChat)
	r.OutputTokens, r.MaxTokens = hint, most
	if change != nil {
		change(r)
	}
	h.step(Arrive{Request: r})
}

// workOf returns the work of the last dispatch or reservation of a request.
func (h *harness) workOf(id string) *wire.Work {
	h.t.Helper()
	var work *wire.Work
	for _, sent := range h.sent {
		if m := sent.Message.GetDispatch(); m.GetAttempt().GetRequest() == id {
			work = m.GetWork()
		}
		if m := sent.Message.GetReserve(); m.GetAttempt().GetRequest() == id {
			work = m.GetWork()
		}
	}
	require.NotNil(h.t, work)
	return work
}

// Guards against expected lengths that follow wrong hints instead of what was learned of them: hints that are too long by a
// factor of two, with a log-normal error.
func TestLengthsAreLearnedAgainstHints(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	m := newLengthModel()
	require.Equal(t, outputLength{median: 100, upper: 200}, m.expect(100, 0), "before anything is learned")
	for range 4 * windowSamples {
		tokens := uint32(300 * math.Exp(random.NormFloat64()))
		hint := uint32(max(2*float64(tokens)*math.Exp(0.5*random.NormFloat64()), 1))
		m.add(hint, 0, tokens)
	}
	shorter, all := 0, 4000
	for range all {
		tokens := 300 * math.Exp(random.NormFloat64())
		length := m.expect(uint32(max(2*tokens*math.Exp(0.5*random.NormFloat64()), 1)), 0)
		if tokens <= float64(length.upper) {
			shorter++
		}
	}
	length := m.expect(1000, 0)
	require.InEpsilon(t, 500, length.median, 0.15)
	require.InEpsilon(t, 500*math.Exp(0.5*1.2816), length.upper, 0.15)
	require.InDelta(t, 0.9, float64(shorter)/float64(all), 0.04)
}

// Guards against an upper length without a hint that ignores what is known of the class or of the caller's bound.
func TestLengthWithoutAHint(t *testing.T) {
	m := newLengthModel()
	require.Equal(t, outputLength{median: 128, upper: 512}, m.expect(0, 0))
	for i := range uint32(minSamples) {
		m.add(0, 0, 10*(i+1))
	}
	length := m.expect(0, 0)
	require.InEpsilon(t, 100, length.median, 0.2)
	require.InEpsilon(t, 180, length.upper, 0.2)
	for range minSamples {
		m.add(0, 4000, 1000)
	}
	require.InEpsilon(t, 200, m.expect(0, 800).median, 0.15, "a quarter of the bound")
}

// Guards against wrong hints that count beyond the bound that the caller states.
func TestLengthsAreBoundedByTheCallersMaximum(t *testing.T) {
	m := newLengthModel()
	require.Equal(t, outputLength{median: 50, upper: 50}, m.expect(1_000_000, 50))
	require.Equal(t, outputLength{median: 40, upper: 50}, m.expect(40, 50))
	h := placementHarness(t)
	h.arriveWith("a", 1_000_000, 300, nil)
	h.arriveWith("b", 1_000_000, 300, nil)
	require.Equal(t, "slow", h.lastDispatch("b", 1).server, "300 tokens end in time there")
	require.EqualValues(t, 300, h.workOf("b").GetOutputTokensUpper())
}

// Guards against an old distribution of lengths that is kept for long after it has changed.
func TestLengthsFollowAChange(t *testing.T) {
	m := newLengthModel()
	for range 3 * windowSamples {
		m.add(100, 0, 100)
	}
	for range 3 * windowSamples {
		m.add(100, 0, 300)
	}
	require.InEpsilon(t, 300, m.expect(100, 0).median, 0.1)
}

// Guards against an answer that starts at a slow server where nine of ten such answers don't end in time, and against a
// message that doesn't say so to the gate.
func TestAnswerGoesWhereItsUpperLengthEndsInTime(t *testing.T) {
	h := placementHarness(t)
	h.arriveWith("long", 1000, 0, nil)
	require.Equal(t, "fast", h.lastDispatch("long", 1).server)
	require.EqualValues(t, 1000, h.workOf("long").GetOutputTokens())
	require.EqualValues(t, 2000, h.workOf("long").GetOutputTokensUpper())
	require.True(t, h.workOf("long").GetFewServers())
	h.arriveWith("another", 1000, 0, nil)
	require.Empty(t, h.dispatches("another"), "the upper length would take 22 s of 15 at the slow one")
	require.NotEmpty(t, h.reserves("another"))
	h.arriveWith("short", 100, 0, nil)
	require.Equal(t, "slow", h.lastDispatch("short", 1).server)
	require.False(t, h.workOf("short").GetFewServers())
	require.Contains(t, h.counts, Count{Counter: Placements, Tier: 2, Class: "long-chat", Label: placementFast, Add: 1})
	require.Contains(t, h.counts, Count{Counter: Placements, Tier: 2, Class: "long-chat", Label: placementFits, Add: 1})
}

// Guards against an answer that fits nowhere and waits, or goes to a slow server: it goes to the fastest.
func TestAnswerThatSuitsNoServerGoesToTheFastest(t *testing.T) {
	h := placementHarness(t)
	h.arriveWith("a", 4000, 0, nil)
	require.Equal(t, "fast", h.lastDispatch("a", 1).server)
	require.False(t, h.workOf("a").GetFewServers())
	require.Contains(t, h.counts, Count{Counter: Placements, Tier: 2, Class: "long-chat", Label: placementNone, Add: 1})
	h.arriveWith("b", 4000, 0, nil)
	require.Empty(t, h.dispatches("b"))
}

// Guards against a request that goes on waiting for a fast server after it has left.
func TestAnswerDoesNotWaitForAFastServerThatHasLeft(t *testing.T) {
	h := placementHarness(t)
	h.arriveWith("a", 1000, 0, nil)
	h.arriveWith("b", 1000, 0, nil)
	require.Empty(t, h.dispatches("b"))
	h.linkDown("fast")
	require.Equal(t, "slow", h.lastDispatch("b", 1).server)
}

// Guards against a long prompt at a slow server, which stops the answers there for longer than their callers tolerate.
func TestLongPromptGoesToAFastServer(t *testing.T) {
	h := newHarness(t, Options{ByLength: true})
	for server, rate := range map[string]float32{"a-slow": 10_000, "b-fast": 40_000} {
		h.addServerAtRate(server, 100)
		h.report(server, 100, func(r *wire.Room) { r.PrefillTokensPerS, r.Free = rate, 0 })
	}
	h.report("a-slow", 90, func(r *wire.Room) { r.PrefillTokensPerS = 10_000 })
	prompt := func(tokens uint32) func(*Request) {
		return func(r *Request) { r.PromptTokens, r.Stream, r.Pause = tokens, true, 500*time.Millisecond }
	}
	h.arriveWith("long", 10, 0, prompt(4000))
	require.Empty(t, h.dispatches("long"), "its prompt takes 400 ms at the slow server, and half of 500 ms are allowed")
	h.arriveWith("short", 10, 0, prompt(1000))
	require.Equal(t, "a-slow", h.lastDispatch("short", 1).server)
}

// Guards against a server without a learned pace that counts as slow or fast: its agent has just started or was restarted, or
// its last report is too old.
func TestServerWithoutALearnedPaceHasTheMedian(t *testing.T) {
	h := newHarness(t, Options{ByLength: true})
	for i, rate := range []float32{50, 100, 150} {
		h.addServerAtRate(fmt.Sprint("s", i), rate)
	}
	p := h.s.pool(poolKey{kind: kindModel, target: testModel})
	decode := func(server string) float64 { return h.s.paceOf(p, h.s.servers[server]).decode }
	require.EqualValues(t, 50, decode("s0"))
	h.addServerAtRate("new", 0)
	require.EqualValues(t, 100, decode("new"))
	h.linkUp("s2", 2)
	h.report("s2", 0, nil)
	require.EqualValues(t, 100, decode("s2"), "its agent was restarted")
	h.now = h.now.Add(DefaultMaxRoomAge + time.Millisecond)
	h.report("s1", 100, nil)
	h.report("new", 100, nil)
	require.EqualValues(t, 100, decode("s0"), "no report for two seconds")
}

// Guards against a server that became slow and is still used for long answers by its former pace.
func TestServerThatBecameSlowIsSeenAtOnce(t *testing.T) {
	h := placementHarness(t)
	h.report("fast", 20, nil)
	h.arriveWith("a", 600, 0, nil)
	require.Equal(t, "slow", h.lastDispatch("a", 1).server)
}

// Guards against a pace of an idle server that counts for a long answer, which will run there under load.
func TestPaceUnderLoadIsRemembered(t *testing.T) {
	h := placementHarness(t)
	h.report("slow", 60, nil)
	h.report("slow", 300, nil) // idle again
	h.report("fast", 250, func(r *wire.Room) { r.Free = 0 })
	h.arriveWith("a", 600, 0, nil)
	require.Empty(t, h.dispatches("a"), "under load the upper length takes 20 s there")
	h.now = h.now.Add(loadedWindow)
	h.report("slow", 300, nil)
	h.report("fast", 250, func(r *wire.Room) { r.Free = 0 })
	h.arriveWith("b", 600, 0, nil)
	require.Equal(t, "slow", h.lastDispatch("b", 1).server)
}

// Guards against a decode rate under load that survives a restart of the agent, or is lost when only its link is.
func TestPaceUnderLoadIsForgottenAtARestart(t *testing.T) {
	h := placementHarness(t)
	p := h.s.pool(poolKey{kind: kindModel, target: testModel})
	loaded := func() float64 { return h.s.loadedPaceOf(p, h.s.servers["slow"]).decode }
	h.report("slow", 60, nil)
	h.linkDown("slow")
	h.linkUp("slow", 1)
	h.report("slow", 300, nil)
	require.EqualValues(t, 60, loaded(), "the same incarnation")
	h.linkUp("slow", 2)
	h.report("slow", 300, nil)
	require.EqualValues(t, 300, loaded())
}

// Guards against a decode rate under load that is forgotten faster or more slowly than loadedWindow says.
func TestPaceUnderLoadApproachesAHigherRate(t *testing.T) {
	v, now := &server{}, time.Unix(1_700_000_000, 0)
	for at := time.Duration(0); at <= loadedWindow; at += time.Second {
		v.room = &wire.Room{DecodeTokensPerS: 200}
		if at == 0 {
			v.room.DecodeTokensPerS = 100
		}
		v.noteDecodeRate(now.Add(at))
	}
	require.InDelta(t, 163, v.loadedDecode, 1)
}

// Guards against short answers that take the scarce fast servers from waiting ones that end in time nowhere else, and
// against short answers that avoid them although nothing waits.
func TestShortAnswersLeaveScarceFastServers(t *testing.T) {
	h := newHarness(t, Options{ByLength: true})
	h.addServerAtRate("fast", 250)
	for i := range 4 {
		h.addServerAtRate(fmt.Sprint("slow-", i), 190)
	}
	p := h.s.pool(poolKey{kind: kindModel, target: testModel})
	r := h.s.newEstimationRequest(h.request("r", longChat))
	r.estimatedOutput, r.upperOutput = 100, 200
	cost := func(server string) time.Duration { return h.s.costToOthers(r, h.s.servers[server], time.Second) }
	require.Zero(t, cost("fast"), "nothing waits")
	h.arriveWith("a", 1500, 0, nil)
	require.Equal(t, "fast", h.lastDispatch("a", 1).server)
	h.report("fast", 250, func(r *wire.Room) { r.Free = 0 })
	h.arriveWith("b", 1500, 0, nil)
	require.Empty(t, h.dispatches("b"))
	require.Equal(t, 1, p.needFast)
	require.Greater(t, cost("fast"), time.Second/2, "all that waits needs the only fast server, a quarter of the pool's speed")
	require.Zero(t, cost("slow-0"))
	r.upperOutput = 3000
	require.Zero(t, cost("fast"), "it needs the server itself")
	h.step(CallerLeft{Request: "b"})
	require.Zero(t, p.needFast)
}

// Guards against answers that run until their deadline and aren't counted, or leave the learned lengths too short.
func TestCutAnswersAreCountedAndLearned(t *testing.T) {
	h := placementHarness(t)
	h.report("fast", 250, func(r *wire.Room) { r.Free = 0 })
	h.arriveWith("a", 100, 0, func(r *Request) { r.Stream = true })
	sent := h.lastDispatch("a", 1)
	require.Equal(t, "slow", sent.server)
	h.receive("slow", &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: sent.id, Server: "slow"}}})
	frame := frameOf(sent.id, 0, "x")
	frame.Tokens = []uint32{400}
	h.receive("slow", &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frame}})
	h.now = h.now.Add(14 * time.Second)
	h.report("fast", 250, nil)
	h.report("slow", 90, nil)
	h.now = h.now.Add(time.Second)
	h.step(Tick{})
	require.NotNil(t, h.failures["a"])
	require.Contains(t, h.counts, Count{Counter: CutAtDeadline, Tier: 2, Class: "long-chat", Label: speedSlow, Add: 1})
	require.EqualValues(t, 1, h.s.classFor(longChat).lengths.ratios.total)
}

// Guards against a correction of a server's pace that takes a long answer for a slow server.
func TestCorrectionCountsTheActualLength(t *testing.T) {
	h := placementHarness(t)
	h.arriveWith("a", 10, 0, nil)
	sent := h.lastDispatch("a", 1)
	h.frame("fast", sent.id, 0, "x")
	h.now = h.now.Add(4100 * time.Millisecond)
	end := answerEndOf(0, "x")
	end.OutputTokens = 1000
	h.over("fast", &wire.Over{Attempt: sent.id, Server: "fast", Proof: wire.Proof_PROOF_COMPLETED, Answer: end})
	require.NotNil(t, h.answers["a"])
	require.InDelta(t, 1, h.s.servers["fast"].correction.value(), 0.05)
}

// Guards against complete answers that are not learned: the upper length of the next request must follow from their actual
// lengths instead of its hint.
func TestCompleteAnswersAreLearned(t *testing.T) {
	h := placementHarness(t)
	for i := range minSamples {
		name := fmt.Sprint("a", i)
		h.report("fast", 250, nil)
		h.report("slow", 90, nil)
		h.arriveWith(name, 100, 0, nil)
		require.EqualValues(t, 200, h.workOf(name).GetOutputTokensUpper(), "before enough answers are known")
		sent := h.lastDispatch(name, 1)
		h.frame(sent.server, sent.id, 0, "x")
		h.now = h.now.Add(time.Second)
		end := answerEndOf(0, "x")
		end.OutputTokens = 400
		h.over(sent.server, &wire.Over{Attempt: sent.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: end})
		require.NotNil(t, h.answers[name])
	}
	h.report("fast", 250, nil)
	h.arriveWith("next", 100, 0, nil)
	require.InEpsilon(t, 400, h.workOf("next").GetOutputTokensUpper(), lengthBinWidth)
	require.InEpsilon(t, 400, h.workOf("next").GetOutputTokens(), lengthBinWidth)
}

// Guards against a server with cached prefixes that is taken for a fast one: the predicted run must not count the prompt
// tokens that were cached when the request was sent.
func TestCorrectionLeavesOutCachedPromptTokens(t *testing.T) {
	h := placementHarness(t)
	prefix := make([]uint64, 4000/PrefixBlockTokens)
	for i := range prefix {
		prefix[i] = uint64(i + 1)
	}
	h.s.prefixes.addAll("fast", prefix)
	h.arriveWith("a", 1000, 0, func(r *Request) { r.PromptTokens, r.Prefix = 4000, prefix })
	sent := h.lastDispatch("a", 1)
	require.Equal(t, "fast", sent.server)
	h.frame("fast", sent.id, 0, "x")
	h.now = h.now.Add(4032 * time.Millisecond)
	end := answerEndOf(0, "x")
	end.OutputTokens = 1000
	h.over("fast", &wire.Over{Attempt: sent.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: end})
	require.NotNil(t, h.answers["a"])
	require.InDelta(t, 1, h.s.servers["fast"].correction.value(), 0.01)
}

// Guards against new fields in messages, counters and the trace while the setting is off.
func TestNothingIsPlacedByLengthWithoutTheSetting(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServerAtRate("fast", 250)
	h.addServerAtRate("slow", 90)
	h.arriveWith("a", 1000, 0, nil)
	require.Zero(t, h.workOf("a").GetOutputTokensUpper())
	require.False(t, h.workOf("a").GetFewServers())
	require.Empty(t, h.s.trace(h.s.requests["a"]).Placement)
	require.Nil(t, h.s.classFor(longChat).lengths)
	for _, c := range h.counts {
		require.NotEqual(t, Placements, c.Counter)
	}
}

// Guards against a scan of all servers for each server that is considered, and against one choice's fastest server that
// counts in the next.
func TestFastestServerIsComputedOncePerChoice(t *testing.T) {
	h := placementHarness(t)
	in := h.request("a", longChat)
	in.Prefix = []uint64{1}
	r := h.s.newEstimationRequest(in)
	fastest := func() float64 {
		best, _ := h.s.fastestFor(r)
		return best.decode
	}
	require.EqualValues(t, 250, fastest())
	considered := 0
	h.s.sampleServers(r, 2, func(r *request, v *server) bool {
		considered++
		require.EqualValues(t, 250, fastest())
		h.s.servers["fast"].loadedDecode = 50 // a scan would see this
		return true
	})
	require.Equal(t, 2, considered)
	require.EqualValues(t, 90, fastest(), "after the choice")
	outer := h.s.beginChoice(r)
	require.EqualValues(t, 90, fastest())
	other := h.s.newEstimationRequest(in)
	within := h.s.beginChoice(other)
	h.s.servers["slow"].loadedDecode = 40
	h.s.endChoice(within)
	require.EqualValues(t, 50, fastest(), "after a choice for another request")
	h.s.endChoice(outer)
	require.Equal(t, placementChoice{}, h.s.choice)
}

// Guards against baseline policies that expect other lengths with the setting: measurements compare them as they are.
func TestBaselinePoliciesExpectLengthsByTheHint(t *testing.T) {
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyRandomFIFO} {
		h := newHarness(t, Options{ByLength: true, Policy: policy})
		for range minSamples {
			h.s.classFor(longChat).lengthModel().add(100, 0, 400)
		}
		r := h.request("a", longChat)
		r.OutputTokens = 100
		estimated := h.s.newEstimationRequest(r)
		require.EqualValues(t, 100, estimated.estimatedOutput)
		require.Zero(t, estimated.upperOutput)
	}
}

// Guards against long answers that get fewer reservations than others: random picks among thirty servers find the three that
// suit them only now and then.
func TestLongAnswerReservesAtAllServersThatSuitIt(t *testing.T) {
	h := newHarness(t, Options{ByLength: true})
	for i := range 30 {
		name, rate := fmt.Sprintf("slow-%d", i), float32(90)
		if i < 3 {
			name, rate = fmt.Sprintf("fast-%d", i), 250
		}
		h.addServerAtRate(name, rate)
		h.report(name, rate, func(room *wire.Room) { room.Free, room.Running = 0, 1 })
	}
	for i := range 10 {
		id := fmt.Sprintf("long-%d", i)
		h.arriveWith(id, 1000, 2000, nil)
		var servers []string
		for _, sent := range h.sent {
			if m := sent.Message.GetReserve(); m.GetAttempt().GetRequest() == id {
				servers = append(servers, m.GetServer())
			}
		}
		require.ElementsMatch(t, []string{"fast-0", "fast-1", "fast-2"}, servers, id)
	}
}
