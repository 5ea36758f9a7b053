package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/state"
)

// This file simulates entries and control instances with the real caps, ledgers, releasers and replicated state. They
// are connected by links that delay, drop and cut messages, in processes that are frozen, killed and restarted. Time is
// simulated, and a seed reproduces a simulation. The replicated log is assumed to lose nothing and to need a majority.

// Parameters of the simulated deployment.
const (
	simWindow          = 8 * time.Second
	simOverrun         = 0.1
	simPoll            = time.Second // interval of an entry's polls of each control instance
	simMaxReadDelay    = 500 * time.Millisecond
	simLinkTimeout     = 2 * time.Second // time after which a silent link is closed and reopened
	simCapRate         = 10_000.0        // units per second
	simCapBurst        = 20_000.0        // units in a window beyond the rate
	simLength          = 45 * time.Second
	simOrg             = "org"
	simProposalTimeout = quota.MoveTimeout // time after which an entry treats the outcome of a proposal as unknown
	simEntryTimeout    = 10 * time.Second  // time after which control ends a silent entry
	simMaxWait         = quota.MaxShareWait
	simMaxService      = 2 * time.Second // longest time from admission until a server begins the request
)

// simFault is one fault of a simulation.
type simFault struct {
	kind     string
	at       time.Duration
	duration time.Duration
	index    int
}

func (f simFault) String() string {
	return fmt.Sprintf("%s(%d) at %s for %s", f.kind, f.index, f.at, f.duration)
}

// simPlan contains all inputs of a simulation.
type simPlan struct {
	seed     uint64
	entries  int
	controls int
	// demand is the organisation's demand as a multiple of its cap's rate, by phase of length simPhase.
	demand []float64
	// skew is the ratio between the request rates of consecutive entries.
	skew   float64
	units  float64 // mean units of a request
	faults []simFault
}

const simPhase = 3 * time.Second

// simRun is a request that ran.
type simRun struct {
	sent, ran time.Duration
	units     float64
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type sim struct {
	plan     simPlan
	rng      *rand.Rand
	now      time.Duration
	queue    simQueue
	seq      int
	entries  []*simEntry
	controls []*simControl
	links    [][]*simLink // by entry and control instance
	caps     []capChange  // in order of time
	state    *state.State
	index    uint64 // index of the replicated log
	leader   int    // number of the leading control instance, -1 for none
	// leaderIncarnation is the incarnation of the leading instance.
	leaderIncarnation int
	commits           int
	runs              []simRun
	requested         float64
	refused           float64
}

// capChange is a cap set by operators.
type capChange struct {
	at          time.Duration
	rate, burst float64
}

type simEntry struct {
	s           *sim
	number      int
	up          bool
	frozenUntil time.Duration // end of a freeze of the process
	incarnation uint64
	caps        *quota.Caps
	cap         *quota.Cap
	knownCap    int // index in sim.caps of the cap that the entry knows, -1 for none
	lastPoll    time.Duration
	registered  bool          // registered in the directory
	clockOffset time.Duration // how far its time of day has been set forward
	waiting     []*simRequest
}

// simRequest is a request at an entry.
type simRequest struct {
	sent     time.Duration
	deadline time.Duration
	units    uint64
	done     bool
}

type simControl struct {
	s           *sim
	number      int
	up          bool
	frozenUntil time.Duration
	incarnation int
	ledger      *quota.Ledger
	releaser    *quota.Releaser
	saved       []byte // latest saved usage record
}

// simLink is the link between an entry and a control instance.
type simLink struct {
	cutUntil time.Duration // end of the partition
	oneWay   bool          // only messages to the entry are dropped
	last     [2]time.Duration
	epoch    int // incremented with each connection
}

func newSim(plan simPlan) *sim {
	s := &sim{plan: plan, rng: rand.New(rand.NewPCG(plan.seed, 1))}
	s.caps = []capChange{{0, simCapRate, simCapBurst}}
	s.state, s.leader = state.New(), -1
	s.putDesired()
	for i := range plan.controls {
		c := &simControl{s: s, number: i}
		s.controls = append(s.controls, c)
		c.start()
	}
	for i := range plan.entries {
		e := &simEntry{s: s, number: i}
		s.entries = append(s.entries, e)
		var row []*simLink
		for range plan.controls {
			row = append(row, &simLink{})
		}
		s.links = append(s.links, row)
	}
	for _, e := range s.entries {
		e.start()
	}
	s.after(0, s.runLeader)
	for _, f := range plan.faults {
		s.at(f.at, func() { s.injectFault(f) })
	}
	return s
}

func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: max(t, s.now), seq: s.seq, do: do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Float64()*float64(high-low))
}

func (s *sim) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(s.now) }

func (s *sim) run() {
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if e.at > simLength {
			return
		}
		s.now = e.at
		e.do()
	}
}
