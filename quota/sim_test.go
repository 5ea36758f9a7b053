package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/state"
)

// This file plays entries and control instances against each other: the product's own caps, ledgers, releases and replicated
// state, joined by links that delay, lose and cut, in processes that are frozen, killed and started anew. Time is simulated,
// and a seed repeats a play. The log of the state is taken as one that loses nothing and needs a majority.

// Figures of the simulated deployment.
const (
	simWindow     = 8 * time.Second
	simOverrun    = 0.1
	simPoll       = time.Second // between an entry's polls of each control instance
	simReadBound  = 500 * time.Millisecond
	simSilence    = 2 * time.Second // after which a silent link is closed and opened anew
	simCapRate    = 10_000.0        // units a second
	simCapBurst   = 20_000.0        // units in a window beyond that
	simLength     = 45 * time.Second
	simOrg        = "org"
	simPropose    = quota.MoveTimeout // after which an entry takes the outcome of a proposal for lost
	simSilent     = 10 * time.Second  // after which control ends an entry
	simMaxHeld    = quota.MaxShareWait
	simMaxService = 2 * time.Second // the longest time from admission to the begin at a server
)

// simFault is one fault of a play.
type simFault struct {
	kind  string
	at    time.Duration
	span  time.Duration
	which int
}

func (f simFault) String() string {
	return fmt.Sprintf("%s(%d) at %s for %s", f.kind, f.which, f.at, f.span)
}

// simPlan is all that makes a play.
type simPlan struct {
	seed     uint64
	entries  int
	controls int
	// demand is what the organisation asks for as a multiple of its cap's rate, by phase of simPhase.
	demand []float64
	// skew is how unevenly callers spread over the entries: the share of each falls by this factor from one to the next.
	skew   float64
	units  float64 // of a request, on average
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
	caps     []capChange  // in order
	state    *state.State
	index    uint64 // of the log
	leader   int    // control instance, -1 for none
	releases *quota.Releaser
	commits  int
	runs     []simRun
	asked    float64
	refused  float64
}

// capChange is a cap that operators have set.
type capChange struct {
	at          time.Duration
	rate, burst float64
}

type simEntry struct {
	s       *sim
	number  int
	up      bool
	frozen  time.Duration // until then
	started uint64
	caps    *quota.Caps
	cap     *quota.Cap
	known   int // of sim.caps, -1 before the first
	heard   time.Duration
	listed  bool          // registered in the directory
	stepped time.Duration // by which its time of day was set
	waiting []*simRequest
}

type simRequest struct {
	sent     time.Duration
	deadline time.Duration
	units    uint64
	done     bool
}

type simControl struct {
	s      *sim
	number int
	up     bool
	frozen time.Duration
	start  int
	ledger *quota.Ledger
	// releasesFor are the releases of this start of the process.
	releasesFor *quota.Releaser
	disk        []byte // what was saved last
}

// simLink joins an entry and a control instance.
type simLink struct {
	cut    time.Duration // until then nothing passes
	oneWay bool          // only what goes to the entry is cut
	last   [2]time.Duration
	epoch  int // rises with each connection
}

func newSim(plan simPlan) *sim {
	s := &sim{plan: plan, rng: rand.New(rand.NewPCG(plan.seed, 1))}
	s.caps = []capChange{{0, simCapRate, simCapBurst}}
	s.state, s.leader = state.New(), -1
	s.putDesired()
	for i := range plan.controls {
		c := &simControl{s: s, number: i}
		s.controls = append(s.controls, c)
		c.begin()
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
		e.begin()
	}
	s.after(0, s.lead)
	for _, f := range plan.faults {
		s.at(f.at, func() { s.strike(f) })
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

func (s *sim) play() {
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if e.at > simLength {
			return
		}
		s.now = e.at
		e.do()
	}
}
