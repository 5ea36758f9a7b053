package entry

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// A simulation of streams that callers resume at any entry, on streamOrigins, origin.Table, origin.History and
// session.Freshness. Entries, control instances and servers crash, links to control are cut, and versions come and go. A ledger
// outside of them holds which version began each stream. Placement is simple: a server of the entry's view, of the version that
// the stream is bound to.

// simEvent is something that happens at a time.
type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simServer is a backend server of the simulation.
type simServer struct {
	id      int
	version string
	alive   bool
}

// simControl is a control instance: what it keeps in memory, and what it has applied of the committed directory.
type simControl struct {
	up      bool
	table   *origin.Table
	history *origin.History
	applied int // directories of simWorld.log
}

// simAgent is what the agents beside the servers keep together. They tell control what they keep as agent.streamOrigins does: over
// new links while versions may be several.
type simAgent struct{ table *origin.Table }

// simEntry is one start of an entry, with its view of the directory.
type simEntry struct {
	world     *simWorld
	dead      bool
	view      []*simServer
	linked    []bool // to each control instance
	freshness *session.Freshness
	origins   *streamOrigins
	calls     []*call
	versions  session.VersionAnswers
	since     map[string]time.Time // when each version came into the view
	inTouch   time.Time            // since when it is linked to a majority of running instances
}

// simStream is a stream of the ledger.
type simStream struct {
	attempt string
	version string // of the server that sent the first event
	began   time.Time
	tries   int
}

// simResult counts what a schedule saw.
type simResult struct {
	streams, mixed   int // streams, and those with events of two versions
	owed, goneOnWith int // tries to go on at entries in touch whose version has two servers, and those that went on
	// The same soon after all entries and all control instances were lost at once, from a second on after an entry returned.
	owedAfterLoss, goneOnAfterLoss int
}

type simWorld struct {
	random    *rand.Rand
	now       time.Time
	queue     simQueue
	order     int
	controls  []*simControl
	entries   []*simEntry
	committed []*simServer
	log       [][]*simServer // directories in the order of their commits
	agents    simAgent
	nextID    int
	lastFault time.Time // of control
	lostAll   time.Time // when all entries and all control instances were lost at once
	unbound   bool      // streams go on anywhere, as before versions were compared
	result    simResult
}

const (
	simControls = 3
	simEntries  = 4
	simLength   = 100 * time.Second
	// simVersionWait is that of the scheduler.
	simVersionWait = 2500 * time.Millisecond
)

func (w *simWorld) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, simEvent{w.now.Add(d), w.order, do})
}

func (w *simWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func newSimWorld(seed uint64, unbound bool) *simWorld {
	w := &simWorld{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), unbound: unbound}
	for range simControls {
		w.controls = append(w.controls, &simControl{up: true, table: origin.NewTable(10_000), history: origin.NewHistory()})
	}
	for range 3 + w.random.IntN(4) {
		w.committed = append(w.committed, w.newServer("v1"))
	}
	w.log = [][]*simServer{w.committed}
	w.agents.table = origin.NewTable(10_000)
	w.applyAtControls()
	for range simEntries {
		w.entries = append(w.entries, w.newEntry())
	}
	return w
}

func (w *simWorld) newServer(version string) *simServer {
	w.nextID++
	return &simServer{id: w.nextID, version: version, alive: true}
}

func announcementsOf(servers []*simServer) []*wire.Announcement {
	var all []*wire.Announcement
	for _, v := range servers {
		all = append(all, &wire.Announcement{Server: fmt.Sprint(v.id), Pool: "m", Version: v.version})
	}
	return all
}

func (w *simWorld) hasQuorum() bool {
	up := 0
	for _, c := range w.controls {
		if c.up {
			up++
		}
	}
	return up > simControls/2
}

// commit changes the directory, later if control has no quorum now.
func (w *simWorld) commit(change func()) {
	if !w.hasQuorum() {
		w.after(w.between(100*time.Millisecond, time.Second), func() { w.commit(change) })
		return
	}
	change()
	w.log = append(w.log, w.committed)
	w.applyAtControls()
	for _, e := range w.entries {
		w.after(w.between(0, 60*time.Millisecond), e.updateView)
	}
}

func (w *simWorld) applyAtControls() {
	for _, c := range w.controls {
		if c.up && w.hasQuorum() {
			c.replay(w)
		}
	}
}

// replay applies what the instance hasn't applied of the log.
func (c *simControl) replay(w *simWorld) {
	for ; c.applied < len(w.log); c.applied++ {
		c.history.Observe(w.now, slices.Values(announcementsOf(w.log[c.applied])))
	}
}

func (w *simWorld) newEntry() *simEntry {
	e := &simEntry{
		world: w, linked: make([]bool, simControls), freshness: session.NewFreshness(simControls, 3*time.Second, w.now),
		inTouch: w.now,
	}
	e.origins = newStreamOrigins(func() time.Time { return w.now }, e, func() []*call { return e.calls })
	e.origins.after = w.after
	for i := range e.linked {
		e.link(i)
	}
	e.updateView()
	w.after(w.between(0, time.Second), e.poll)
	return e
}

// reaches reports whether the entry has a link to a control instance that runs.
func (e *simEntry) reaches(i int) bool { return !e.dead && e.linked[i] && e.world.controls[i].up }

func (e *simEntry) reachesMajority() bool {
	n := 0
	for i := range e.linked {
		if e.reaches(i) {
			n++
		}
	}
	return n > simControls/2
}

// link opens a link, over which the entry tells what it keeps.
func (e *simEntry) link(i int) {
	e.linked[i] = true
	if message := e.origins.all(); message != nil && e.reaches(i) {
		e.world.controls[i].table.Record(e.world.now, message)
	}
	e.updateView()
}

func (e *simEntry) updateView() {
	for i, c := range e.world.controls {
		if e.reaches(i) && c.applied > 0 {
			directory := e.world.log[c.applied-1]
			e.noteVersions(directory)
			e.view = slices.Clone(directory)
			e.origins.viewChanged(&session.View{Announcements: announcementMap(e.view)})
			return
		}
	}
}

// noteVersions does what the scheduler does: streams don't begin at a version that has just come, see sched.newVersionWait.
func (e *simEntry) noteVersions(servers []*simServer) {
	since := map[string]time.Time{}
	for _, v := range servers {
		at, known := e.since[v.version]
		if !known && e.since != nil {
			at = e.world.now
		}
		since[v.version] = at
	}
	e.since = since
}

func announcementMap(servers []*simServer) map[string]*wire.Announcement {
	all := map[string]*wire.Announcement{}
	for _, a := range announcementsOf(servers) {
		all[a.GetServer()] = a
	}
	return all
}

// poll asks all linked instances, as each second.
func (e *simEntry) poll() {
	if e.dead {
		return
	}
	e.world.after(time.Second, e.poll)
	e.ask()
}

// ask polls all linked instances at once, and brings the directory up to date.
func (e *simEntry) ask() {
	w := e.world
	for i, c := range w.controls {
		if !e.reaches(i) {
			continue
		}
		e.freshness.RecordAnswer(i, w.now, w.now)
		answer := c.history.Versions(w.now)
		if w.hasQuorum() {
			e.freshness.RecordConfirmation(w.now, w.now)
		}
		e.versions.Note(fmt.Sprint(i), w.now, w.hasQuorum(), answer)
	}
	e.origins.versionsChanged(e.versions.Merged(w.now))
}

// HeardAt implements originContact.
func (e *simEntry) HeardAt() time.Time { return e.freshness.HeardAt() }

// ConfirmSince implements originContact. The poll takes no time.
func (e *simEntry) ConfirmSince(_ context.Context, since time.Time) bool {
	if e.HeardAt().Before(since) {
		e.ask()
	}
	return !e.HeardAt().Before(since)
}

// ReportStreamOrigins implements originContact.
func (e *simEntry) ReportStreamOrigins(m *wire.StreamOrigins) {
	for i := range e.linked {
		e.world.after(e.world.between(0, 5*time.Millisecond), func() {
			if e.reaches(i) {
				e.world.controls[i].table.Record(e.world.now, m)
			}
		})
	}
}

// LookUpStreamOrigin implements originContact.
func (e *simEntry) LookUpStreamOrigin(_ context.Context, key origin.Key) *wire.StreamOriginReply {
	for i, c := range e.world.controls {
		if !e.reaches(i) {
			continue
		}
		if found, _, ok := c.table.Get(e.world.now, key); ok {
			return &wire.StreamOriginReply{Known: true, Pool: found.Pool, Version: found.Version}
		}
	}
	return nil
}

// place returns a running server of the entry's view, nil if there is none. A nil version means any.
func (e *simEntry) place(version *string) *simServer {
	var suitable, fresh []*simServer
	for _, v := range e.view {
		switch {
		case !v.alive || version != nil && v.version != *version:
		case version == nil && !e.world.unbound && e.world.now.Sub(e.since[v.version]) < simVersionWait:
			fresh = append(fresh, v)
		default:
			suitable = append(suitable, v)
		}
	}
	if len(suitable) == 0 {
		suitable = fresh
	}
	if len(suitable) == 0 {
		return nil
	}
	return suitable[e.world.random.IntN(len(suitable))]
}

func (w *simWorld) livingEntry() *simEntry {
	for range 100 {
		if e := w.entries[w.random.IntN(len(w.entries))]; !e.dead {
			return e
		}
	}
	return nil
}

// run sends the rest of a stream from a server through an entry until something breaks it off.
func (w *simWorld) run(e *simEntry, c *call, s *simStream, v *simServer) {
	w.after(w.between(10*time.Millisecond, 100*time.Millisecond), func() {
		if e.dead || !v.alive {
			w.breakOff(e, c, s)
			return
		}
		if s.version == "" {
			s.version, s.began = v.version, w.now
			w.result.streams++
		} else if s.version != v.version {
			w.result.mixed++
		}
		if !c.stream.inferred {
			w.agents.table.Put(w.now, c.stream.key, origin.Origin{Pool: "m", Version: v.version})
		}
		e.origins.began(c, sched.StreamBegan{Pool: "m", Version: v.version})
		w.after(w.between(20*time.Millisecond, 6*time.Second), func() { w.breakOff(e, c, s) })
	})
}

// breakOff ends an attempt early. Its caller resumes the stream, now and then twice at once.
func (w *simWorld) breakOff(e *simEntry, c *call, s *simStream) {
	e.calls = slices.DeleteFunc(e.calls, func(other *call) bool { return other == c })
	if !e.dead {
		e.origins.endedEarly(c)
	}
	if s.version == "" || s.tries >= 3 || w.now.Sub(s.began) > 30*time.Second {
		return
	}
	s.tries++
	for range 1 + w.random.IntN(8)/7 {
		w.after(w.between(3*time.Millisecond, 400*time.Millisecond), func() { w.resume(s) })
	}
}

func (w *simWorld) resume(s *simStream) {
	e := w.livingEntry()
	if e == nil {
		return
	}
	key := origin.KeyOf("", s.attempt)
	found := e.origins.find(context.Background(), key, func() string { return "m" })
	version := &found.from.Version
	if w.unbound {
		version = nil
	}
	var v *simServer
	if w.unbound || found.source != originUnknown {
		v = e.place(version)
	}
	if w.isOwed(e, s) {
		w.result.owed++
		if v != nil {
			w.result.goneOnWith++
		}
	}
	if w.isOwedAfterLoss(e, s) {
		w.result.owedAfterLoss++
		if v != nil {
			w.result.goneOnAfterLoss++
		}
	}
	if v != nil {
		c := &call{stream: streamOrigin{key: key, inferred: found.source == originSoleVersion}}
		e.calls = append(e.calls, c)
		w.run(e, c, s, v)
	}
}

// serversFor returns how many running servers of the stream's version the entry's view has.
func (e *simEntry) serversFor(s *simStream) int {
	servers := 0
	for _, v := range e.view {
		if v.alive && v.version == s.version {
			servers++
		}
	}
	return servers
}

// isOwedAfterLoss reports whether a try counts as one after the loss of all entries and control instances: the stream began before
// it, and the entry has been back, and in touch with control, for a second.
func (w *simWorld) isOwedAfterLoss(e *simEntry, s *simStream) bool {
	const back, soon = time.Second, 10 * time.Second
	return s.began.Before(w.lostAll) && w.now.Sub(w.lostAll) <= soon && w.now.Sub(e.inTouch) >= back && w.now.Sub(w.lastFault) >= back &&
		e.reachesMajority() && e.serversFor(s) >= 1
}

// isOwed reports whether a try counts: the entry has been in touch for 3 s, control as well, and the version has two servers.
func (w *simWorld) isOwed(e *simEntry, s *simStream) bool {
	return e.serversFor(s) >= 2 && e.reachesMajority() && w.now.Sub(e.inTouch) >= 3*time.Second && w.now.Sub(w.lastFault) >= 3*time.Second
}

func (w *simWorld) begin() {
	w.after(w.between(20*time.Millisecond, 150*time.Millisecond), w.begin)
	e := w.livingEntry()
	if e == nil {
		return
	}
	v := e.place(nil)
	if v == nil {
		return
	}
	s := &simStream{attempt: fmt.Sprint("a", w.random.Uint64())}
	c := &call{stream: streamOrigin{key: origin.KeyOf("", s.attempt)}}
	e.calls = append(e.calls, c)
	w.run(e, c, s, v)
}

// fault draws what happens next.
func (w *simWorld) fault() {
	w.after(w.between(100*time.Millisecond, 2500*time.Millisecond), w.fault)
	switch w.random.IntN(11) {
	case 0:
		w.crashEntry(w.random.IntN(simEntries))
	case 1:
		w.crashControl(w.controls[w.random.IntN(simControls)])
	case 2:
		w.cut(w.entries[w.random.IntN(simEntries)])
	case 3, 4:
		versions := []string{"v1", "v2", "v3"}
		added := w.newServer(versions[w.random.IntN(len(versions))])
		w.commit(func() { w.committed = append(slices.Clone(w.committed), added) })
	case 5, 6:
		if len(w.committed) < 3 {
			return
		}
		left := w.committed[w.random.IntN(len(w.committed))]
		w.commit(func() {
			w.committed = slices.DeleteFunc(slices.Clone(w.committed), func(v *simServer) bool { return v == left })
		})
		w.after(w.between(0, 3*time.Second), func() { left.alive = false })
	case 8:
		w.crashAllEntries()
	case 9:
		for _, c := range w.controls {
			w.crashControl(c)
		}
		if w.random.IntN(2) == 0 {
			w.lostAll = w.now
			w.crashAllEntries()
		}
	case 10:
		w.release()
	case 7:
		for _, v := range w.committed {
			if w.random.IntN(4) == 0 {
				crashed := v
				crashed.alive = false
				w.after(w.between(200*time.Millisecond, 2*time.Second), func() {
					again := w.newServer(crashed.version)
					w.commit(func() {
						w.committed = slices.DeleteFunc(slices.Clone(w.committed), func(v *simServer) bool { return v == crashed })
						w.committed = append(w.committed, again)
					})
				})
			}
		}
	}
}

// release replaces all servers by those of one version, which may be the one that serves, within a second and a half.
func (w *simWorld) release() {
	version := fmt.Sprint("v", 1+w.random.IntN(3))
	old := w.committed
	for range 3 {
		added := w.newServer(version)
		w.commit(func() { w.committed = append(slices.Clone(w.committed), added) })
	}
	w.after(w.between(50*time.Millisecond, 1500*time.Millisecond), func() {
		for _, v := range old {
			v.alive = false
		}
		w.commit(func() {
			w.committed = slices.DeleteFunc(slices.Clone(w.committed), func(v *simServer) bool { return slices.Contains(old, v) })
		})
	})
}

func (w *simWorld) crashEntry(i int) {
	if w.entries[i].dead {
		return
	}
	w.entries[i].dead = true
	w.after(w.between(200*time.Millisecond, 2*time.Second), func() { w.entries[i] = w.newEntry() })
}

func (w *simWorld) crashAllEntries() {
	for i := range w.entries {
		w.crashEntry(i)
	}
}

func (w *simWorld) crashControl(c *simControl) {
	if !c.up {
		return
	}
	c.up, w.lastFault = false, w.now
	w.after(w.between(200*time.Millisecond, 4*time.Second), func() {
		c.up, w.lastFault = true, w.now
		c.table, c.history, c.applied = origin.NewTable(10_000), origin.NewHistory(), 0
		if w.random.IntN(2) == 0 {
			// A snapshot of some time ago, and the log since then.
			c.applied = w.random.IntN(len(w.log)) + 1
			c.history.Restart(w.now, slices.Values(announcementsOf(w.log[c.applied-1])))
		}
		w.applyAtControls()
		w.after(w.between(0, 500*time.Millisecond), func() {
			if message := w.agents.table.All(w.now); message != nil && c.up {
				c.table.Record(w.now, message)
			}
		})
		for _, e := range w.entries {
			for i := range e.linked {
				if w.controls[i] == c && e.linked[i] {
					e.link(i)
				}
			}
		}
	})
}

// cut cuts an entry off from some or all control instances for a while.
func (w *simWorld) cut(e *simEntry) {
	for i := range e.linked {
		if w.random.IntN(3) > 0 {
			e.linked[i] = false
			e.inTouch = w.now
			w.after(w.between(500*time.Millisecond, 8*time.Second), func() {
				e.inTouch = w.now
				e.link(i)
			})
		}
	}
}

func simulateStreams(seed uint64, unbound bool) simResult {
	w := newSimWorld(seed, unbound)
	end := w.now.Add(simLength)
	w.begin()
	w.after(5*time.Second, w.fault)
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(simEvent)
		if next.at.After(end) {
			break
		}
		w.now = next.at
		next.do()
	}
	return w.result
}

// Guards against streams of two versions, and against streams that aren't gone on with though two servers of their version serve,
// over drawn schedules of crashes, cuts and versions that come and go. STREAM_SCHEDULES sets their number.
func TestStreamsGoOnAtTheirVersionOverFaults(t *testing.T) {
	schedules := simSchedules(t, 60)
	total := simResult{}
	for seed := range schedules {
		r := simulateStreams(uint64(seed), false)
		require.Zero(t, r.mixed, "seed %d: %+v", seed, r)
		total.streams += r.streams
		total.owed += r.owed
		total.goneOnWith += r.goneOnWith
		total.owedAfterLoss += r.owedAfterLoss
		total.goneOnAfterLoss += r.goneOnAfterLoss
	}
	t.Logf("%d schedules: %+v", schedules, total)
	require.GreaterOrEqual(t, float64(total.goneOnWith), 0.9*float64(total.owed))
	require.Positive(t, total.owedAfterLoss)
	require.GreaterOrEqual(t, float64(total.goneOnAfterLoss), 0.9*float64(total.owedAfterLoss))
}

// Guards against a simulation that sees nothing: with streams that go on at any version it finds mixed ones.
func TestSimulationFindsStreamsOfTwoVersions(t *testing.T) {
	mixed := 0
	for seed := range uint64(5) {
		mixed += simulateStreams(seed, true).mixed
	}
	require.Positive(t, mixed)
}

// simSchedules returns the number of schedules: that of CI, or the one in STREAM_SCHEDULES.
func simSchedules(t *testing.T, ci int) int {
	t.Helper()
	n := ci
	if text := os.Getenv("STREAM_SCHEDULES"); text != "" {
		_, err := fmt.Sscan(text, &n)
		require.NoError(t, err)
	}
	return n
}
