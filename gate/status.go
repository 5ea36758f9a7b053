package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxStatusWaiting bounds the waiting attempts that a Status lists.
const maxStatusWaiting = 100

// Status describes the present state of the gate.
type Status struct {
	// Server is the announced name, empty before the first announcement.
	Server    string
	Condition wire.ServerCondition
	// Cleared means that everything that the engine ran before this incarnation is proved over. Nothing is
	// announced before.
	Cleared bool
	// Unlisted means that the server keeps no list of what it runs, so that Cleared rests on the settle time
	// instead of a proof.
	Unlisted bool
	// SuspectReasons lists why the server is suspect.
	SuspectReasons []string
	// Slots is how many attempts are admitted at a time, of AnnouncedSlots; Headroom of them are reserved for the
	// first tier.
	Slots, AnnouncedSlots, Headroom int
	// Held is the number of slots taken, including offers.
	Held int
	// Free is how many attempts may be dispatched without an offer.
	Free int
	// PrefillTokens is the number of uncached prompt tokens in flight, of at most PrefillBound.
	PrefillTokens, PrefillBound int64
	// MemoryTokens is the number of tokens of cache memory given out, of MemoryCapacity, which is 0 if it is not
	// known.
	MemoryTokens, MemoryCapacity int64
	// PrefillTokensPerSecond and DecodeTokensPerSecond (of one stream) are the present pace, 0 if not learnt.
	PrefillTokensPerSecond, DecodeTokensPerSecond float64
	// PaceRatio is the present time for a token relative to the server's own baseline.
	PaceRatio float64
	// RateLimit is the rate that the server accepts from all senders together.
	RateLimit backpressure.Rate
	// NextSend is the time until the server accepts another request.
	NextSend time.Duration
	// Backlog is the predicted wait of a new attempt of the lowest tier.
	Backlog time.Duration
	// Blocked states why the best waiting attempt has no room, empty if none waits for room.
	Blocked string
	// Suspended lists the stopped runs whose memory the server keeps.
	Suspended []AttemptStatus
	// Running lists attempts that run or may run. Waiting lists the first waiting attempts by arrival.
	Running, Waiting []AttemptStatus
	// WaitingCount is the number of all waiting attempts.
	WaitingCount int
	// Records is the number of requests remembered, including tombstones.
	Records int
	// Entries is the number of entries with a valid lease.
	Entries int
	// ChartErrors is the number of events that a state chart did not allow.
	ChartErrors uint64
}

// AttemptStatus describes one attempt in a Status.
type AttemptStatus struct {
	Attempt      *wire.AttemptID
	Entry        EntryID
	Organisation string
	Class        string
	Tier         uint32
	State        string
	Since        time.Time // arrival, or start of the run
	Deadline     time.Time // zero for none
	Tokens       uint32
	// Late means that the attempt can't meet its deadline any more, or let an offer lapse.
	Late bool
	// Unproven means that the run returned without a proof that the engine ended it.
	Unproven bool
}

var suspectReasonNames = []struct {
	reason suspectReasons
	name   string
}{
	{suspectSilent, "no announcement"},
	{suspectProbe, "probe fails"},
	{suspectPace, "slower than its own past"},
}

// Status returns the present state of the gate. It has no side effects.
func (g *Gate) Status() Status {
	s := Status{
		Server:                 g.serverName(),
		Condition:              g.condition(),
		Cleared:                g.cleared(),
		Unlisted:               g.clearing.unlisted,
		Slots:                  g.limit.slots(),
		AnnouncedSlots:         g.limit.announced,
		Headroom:               g.headroom.slots(),
		Held:                   len(g.held),
		Free:                   g.free(),
		PrefillTokens:          g.usage.prefillTokens,
		PrefillBound:           g.pace.prefillBound(),
		MemoryTokens:           g.usage.memoryTokens,
		MemoryCapacity:         g.usage.memoryCapacity,
		PrefillTokensPerSecond: g.pace.prefill.rate,
		DecodeTokensPerSecond:  g.pace.decodeRate(),
		PaceRatio:              g.pace.ratio,
		RateLimit:              g.throttle.Rate(),
		NextSend:               g.throttleWait(1),
		Backlog:                g.backlog(),
		Blocked:                string(g.blocked),
		WaitingCount:           g.waiting.count,
		Records:                g.records.len(),
		ChartErrors:            g.chartErrors,
	}
	for _, d := range suspectReasonNames {
		if g.server.suspectReasons&d.reason != 0 {
			s.SuspectReasons = append(s.SuspectReasons, d.name)
		}
	}
	for _, e := range g.entries.order {
		if e.leaseValid() {
			s.Entries++
		}
	}
	g.listAttempts(&s)
	return s
}

func (g *Gate) listAttempts(s *Status) {
	for _, a := range g.runs {
		s.Running = append(s.Running, a.status())
	}
	for _, a := range g.suspended {
		s.Suspended = append(s.Suspended, a.status())
	}
	waiting := g.waiting.collect(func(*attempt) bool { return true })
	for _, a := range waiting[:min(len(waiting), maxStatusWaiting)] {
		s.Waiting = append(s.Waiting, a.status())
	}
}

func (a *attempt) status() AttemptStatus {
	since := a.arrived
	if a.hasStarted() {
		since = a.run.started
	}
	return AttemptStatus{
		Attempt:      a.id(),
		Entry:        a.owner.id,
		Organisation: a.work.GetOrganisation(),
		Class:        a.work.GetClass(),
		Tier:         a.tier(),
		State:        attemptTable.StateName(a.state),
		Since:        since,
		Deadline:     a.deadline,
		Tokens:       a.run.tokens,
		Late:         a.wait.late,
		Unproven:     a.state == cancelling && !a.run.callOpen,
	}
}
