package simtest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// warmUp is the time before the order, settle the time after the verdict in which sends are still checked.
	warmUp = 3 * time.Second
	settle = 8 * time.Second
	// watchInterval is how often contact with control and the group's faults are looked at.
	watchInterval = 50 * time.Millisecond
)

// world is one schedule being played.
type world struct {
	clock
	schedule  *schedule
	servers   []*server
	byAgent   map[string]*server
	entries   []*entry
	group     *group
	ledger    *ledger
	orderedAt time.Time // commit of the order
	verdictAt time.Time // commit of the verdict, as the log says
	// endedUnstable reports whether a fault of the group may have delayed the verdict beyond the time limit.
	endedUnstable bool
	requests      int
	sizes         map[string]requestSize
	// problems are the invariants of the state that were broken.
	problems []string
}

// requestSize is the work of a request relative to the mean, and its tokens.
type requestSize struct {
	work           float64
	prompt, output uint32
}

func (w *world) drawSize(k class) requestSize {
	work := k.work * math.Exp(0.6*w.random.NormFloat64()-0.18)
	if w.schedule.kind == "service" {
		return requestSize{work: work}
	}
	return requestSize{work, uint32(100 + 1000*work), uint32(1 + 20*work)}
}

// play runs a schedule to its end.
func play(s *schedule) *world {
	w := &world{
		clock:    clock{now: start, random: rand.New(rand.NewPCG(s.seed, 12))},
		schedule: s, byAgent: map[string]*server{}, sizes: map[string]requestSize{},
	}
	w.ledger = &ledger{world: w, requests: map[string]bool{}}
	w.group = newGroup(w)
	for i := range s.servers {
		w.addServer(fmt.Sprint("old-", i), oldVersion, s.speeds[i])
	}
	for i := range s.entries {
		e := &entry{world: w, name: fmt.Sprint("entry-", i), cut: map[*instance]bool{}}
		w.entries = append(w.entries, e)
		e.start()
		w.every(sampleInterval, e.sample)
		w.every(leaderInterval, e.pollLeader)
		w.every(pollInterval, func() {
			if e.isUp {
				e.pollAll()
			}
		})
	}
	w.every(watchInterval, w.watch)
	w.after(time.Second, w.nextRequest)
	w.after(warmUp, w.order)
	w.runUntil(w.isOver)
	return w
}

// isOver reports whether the last send that a rule concerns is past.
func (w *world) isOver() bool {
	switch {
	case w.orderedAt.IsZero():
		return w.since(start) > time.Minute
	case w.verdictAt.IsZero():
		return w.since(w.orderedAt) > w.schedule.duration+2*settle
	}
	return w.since(w.verdictAt) > settle
}

func (w *world) sinceOrder() time.Duration {
	if w.orderedAt.IsZero() {
		return 0
	}
	return w.since(w.orderedAt)
}

func (w *world) addServer(name, version string, speed float64) {
	record := &wire.AgentRecord{Agent: "agent-" + name, Incarnation: 1, Servers: []*wire.ServerRecord{{
		Server: name, Kind: w.schedule.kind, Address: name, Models: []string{pool}, Version: version,
		Condition: wire.ServerCondition_SERVER_CONDITION_READY,
	}}}
	v := &server{world: w, record: record, version: version, speed: speed}
	w.servers = append(w.servers, v)
	w.byAgent[record.GetAgent()] = v
	w.every(roomInterval, v.reportRoom)
	w.submit(&wire.Command{Kind: &wire.Command_RegisterAgent{RegisterAgent: &wire.RegisterAgent{Agent: record}}}, func() {})
}

// submit sends a command to one instance after another until it is acknowledged.
func (w *world) submit(cmd *wire.Command, acknowledged func()) {
	in := w.group.instances[w.random.IntN(len(w.group.instances))]
	retry := func() { w.after(w.between(100*time.Millisecond, time.Second), func() { w.submit(cmd, acknowledged) }) }
	if !in.isUp {
		retry()
		return
	}
	in.forward(cmd, func(committed bool) {
		if !committed {
			retry()
			return
		}
		acknowledged()
	})
}

func rolloutOrder(d time.Duration) *wire.Command {
	return &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: &wire.StartRollout{Pool: pool, To: newVersion, DurationMs: uint64(d.Milliseconds())}}}
}

// order starts the servers of the new version and orders the roll-out. Copies of the order come at any time.
func (w *world) order() {
	s := w.schedule
	for i := range s.servers {
		w.after(w.upTo(4*time.Second), func() { w.addServer(fmt.Sprint("new-", i), newVersion, s.speeds[s.servers+i]) })
	}
	w.submit(rolloutOrder(s.duration), func() {
		if !w.orderedAt.IsZero() {
			return
		}
		w.noteRecord()
		for _, f := range s.faults {
			w.after(f.at, func() { w.fail(f) })
		}
		for range 3 {
			w.after(w.upTo(s.duration+settle), func() { w.submit(rolloutOrder(s.duration), w.noteRecord) })
		}
	})
}

// record returns the roll-out as applied by the instance that has applied most.
func (w *world) record() *wire.Rollout {
	best := w.group.instances[0]
	for _, in := range w.group.instances {
		if in.applied > best.applied {
			best = in
		}
	}
	return best.state.Rollout(pool)
}

func (w *world) verdict() wire.RolloutState { return w.record().GetState() }

// noteRecord takes the times of order and verdict, and checks that neither changes.
func (w *world) noteRecord() {
	r := w.record()
	if r == nil {
		return
	}
	orderedAt := time.UnixMilli(int64(r.GetOrderedUnixMs()))
	if w.orderedAt.IsZero() {
		w.orderedAt = orderedAt
	}
	if !orderedAt.Equal(w.orderedAt) {
		w.problems = append(w.problems, "a second roll-out began")
	}
	switch endedAt := time.UnixMilli(int64(r.GetEndedUnixMs())); {
	case isInProgress(r):
		if !w.verdictAt.IsZero() {
			w.problems = append(w.problems, "a verdict was taken back")
		}
	case w.verdictAt.IsZero():
		w.verdictAt, w.endedUnstable = endedAt, w.group.isUnstable()
	case !endedAt.Equal(w.verdictAt):
		w.problems = append(w.problems, "a verdict changed")
	}
}

// watch looks at contact with control and at the group's faults.
func (w *world) watch() {
	g := w.group
	for _, in := range g.instances {
		if !in.inGroup() {
			g.lastFault = w.now
			w.ledger.groupUnstable()
		}
	}
	for _, e := range w.entries {
		isConnected := false
		for _, in := range g.instances {
			isConnected = isConnected || g.hasQuorum() && in.inGroup() && e.reaches(in)
		}
		switch {
		case !isConnected:
			e.connectedSince = time.Time{}
		case e.connectedSince.IsZero():
			e.connectedSince = w.now
		}
	}
	w.noteRecord()
}

// nextRequest lets a request arrive at an entry that serves, and plans the next one.
func (w *world) nextRequest() {
	s := w.schedule
	var serving []*entry
	for _, e := range w.entries {
		if e.isUp && e.ready {
			serving = append(serving, e)
		}
	}
	if len(serving) > 0 {
		serving[w.random.IntN(len(serving))].arrive()
	}
	gap := w.random.ExpFloat64() / (s.rate * s.load(w.sinceOrder()))
	w.after(time.Duration(gap*float64(time.Second)), w.nextRequest)
}

// fail causes a fault and plans its end.
func (w *world) fail(f fault) {
	g := w.group
	e := w.entries[w.random.IntN(len(w.entries))]
	in := g.instances[w.random.IntN(len(g.instances))]
	if f.kind == leaderDies && g.leader != nil {
		in = g.leader
	}
	switch f.kind {
	case entryDies:
		if e.isUp {
			e.die()
			w.after(f.took, e.start)
		}
	case entryCutOff:
		w.cutFrom(e, g.instances, f.took)
	case entryCutFromLeader:
		if g.leader != nil {
			w.cutFrom(e, []*instance{g.leader}, f.took)
		}
	case leaderDies, instanceDies:
		w.stop(in, f.took)
	case instanceCutOff:
		in.isCut = true
		w.after(f.took, func() {
			in.isCut = false
			if g.leader != nil && in.isUp {
				in.catchUp()
			}
			g.changed()
		})
		g.changed()
	case allRestart:
		for _, in := range g.instances {
			w.stop(in, min(f.took, 3*time.Second))
		}
	}
	w.watch()
}

func (w *world) cutFrom(e *entry, instances []*instance, took time.Duration) {
	for _, in := range instances {
		e.cut[in] = true
		w.after(took, func() { e.cut[in] = false })
	}
}

func (w *world) stop(in *instance, took time.Duration) {
	if !in.isUp {
		return
	}
	in.isUp, in.thinksTerm = false, 0
	w.after(took, func() {
		in.start()
		w.group.changed()
	})
	w.group.changed()
}
