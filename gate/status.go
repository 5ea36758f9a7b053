package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxStatusWaiting bounds the waiting attempts that a Status lists.
const maxStatusWaiting = 100

// Status explains what the gate does and why.
type Status struct {
	// Server is the announced name, empty before the first announcement.
	Server    string
	Condition wire.ServerCondition
	// Cleared says that all that the engine ran before this incarnation is proved over. Nothing is announced before.
	Cleared bool
	// Unlisted says that the server keeps no list of what it runs, so that nothing proved that.
	Unlisted bool
	// SuspectReasons are the reasons for a suspect server.
	SuspectReasons []string
	// Slots is how many attempts are let in at a time, of AnnouncedSlots; Headroom of them are kept for the first tier.
	Slots, AnnouncedSlots, Headroom int
	// Held is how many slots are taken, offers included.
	Held int
	// Free is how many attempts may be dispatched without an offer.
	Free int
	// PrefillTokens are in flight, of at most PrefillBound.
	PrefillTokens, PrefillBound int64
	// MemoryTokens are given out, of MemoryCapacity; 0 if that is not known.
	MemoryTokens, MemoryCapacity int64
	// PrefillTokensPerSecond and DecodeTokensPerSecond (of one stream) are the present pace, 0 if not learnt.
	PrefillTokensPerSecond, DecodeTokensPerSecond float64
	// PaceRatio is the time that a token takes in units of the server's own past.
	PaceRatio float64
	// RateLimit is what the server takes from all senders together.
	RateLimit backpressure.Rate
	// NextSend is the time until the server may get another request.
	NextSend time.Duration
	// Backlog is the predicted wait of a new attempt of the lowest tier.
	Backlog time.Duration
	// Blocked says why the best waiting attempt has no room, empty if none waits for room.
	Blocked string
	// Running lists attempts that run or may run; Waiting the first of the others, by arrival.
	Running, Waiting []AttemptStatus
	// WaitingCount counts all that wait.
	WaitingCount int
	// Records counts the requests remembered, tombstones included.
	Records int
	// Entries counts the entries with a valid lease.
	Entries int
	// ChartErrors counts events that a state chart did not allow.
	ChartErrors uint64
}

// AttemptStatus is one attempt in a Status.
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
	// Late says that it can't meet its deadline any more, or let an offer lapse.
	Late bool
	// Unproven says that its run returned and nothing proves that the engine ended it.
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

// Status returns what the gate does at present. It changes nothing.
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
