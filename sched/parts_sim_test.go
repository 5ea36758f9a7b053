package sched

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	replicated "github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	partsStep    = 10 * time.Millisecond
	partsContact = 3 * time.Second // within which processes in touch know of a crash, by the service's rule
	partsSlots   = 4
	partsDown    = 3 * time.Second // until a crashed server is back
	rareParts    = 100             // IDs from here on are of parts that one request in forty has, below of popular ones
)

// partsSchedule is a drawn course of harmful parts and faults.
type partsSchedule struct {
	seed            uint64
	entries, gates  int
	harmful         []harmfulPart
	innocentCrashes []innocentCrash
	cuts, freezes   []outage // of entries
	restarts        []outage
	controlLost     []outage
	lateEvidence    time.Duration // longest delay of agents' reports
	soundPerSecond  float64
}

type harmfulPart struct {
	id            uint64
	position      int // among the three shared parts
	from, until   time.Duration
	perSecond     float64
	organisations int // whose requests have it
}

type innocentCrash struct {
	at    time.Duration
	gates int // that end at the same time
}

type outage struct {
	entry     int
	from, end time.Duration
}

func drawPartsSchedule(seed uint64) partsSchedule {
	random := rand.New(rand.NewPCG(seed, 54))
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*random.Float64()) * float64(time.Second)).Round(partsStep)
	}
	p := partsSchedule{
		seed: seed, entries: 2 + random.IntN(6), gates: 8 + random.IntN(13), soundPerSecond: 10 + 20*random.Float64(),
		lateEvidence: seconds(0, 0.1),
	}
	if random.IntN(4) == 0 {
		p.lateEvidence = seconds(0, 4)
	}
	for range random.IntN(3) { // none in a third of the schedules
		from := seconds(3, 6)
		p.harmful = append(p.harmful, harmfulPart{
			id: 0x1000 + uint64(len(p.harmful)), position: random.IntN(3), from: from, until: from + seconds(6, 10),
			perSecond: 0.5 + 4*random.Float64(), organisations: []int{1, 1, 1, 2, 4}[random.IntN(5)],
		})
	}
	for range random.IntN(4) {
		p.innocentCrashes = append(p.innocentCrashes, innocentCrash{seconds(3, 14), []int{1, 1, 2, p.gates / 3}[random.IntN(4)]})
	}
	draw := func(all *[]outage, most int, longest float64) {
		for range random.IntN(most + 1) {
			from := seconds(2, 12)
			*all = append(*all, outage{random.IntN(p.entries), from, from + seconds(0.1, longest)})
		}
	}
	if random.IntN(2) == 0 {
		draw(&p.cuts, 2, 5)
		draw(&p.freezes, 1, 2)
		draw(&p.restarts, 1, 0.5)
		draw(&p.controlLost, 1, 3)
	}
	return p
}

// partsRequest is a request in the ledger.
type partsRequest struct {
	request *Request
	entry   int
	harmful uint64 // ID of the harmful part, 0 for none
	arrived time.Time
	refused bool // because of crashes
	served  bool

	heldPart uint64 // that it was refused for
}

type partsRun struct {
	of      *partsRequest
	owner   *Scheduler
	id      *wire.AttemptID
	watched bool
	begins  time.Time
	ends    time.Time
	begun   bool
}

// partsGate stands in for a server and the gate beside it: it runs watched requests alone.
type partsGate struct {
	name      string
	boot      int
	downUntil time.Time
	waiting   []*partsWaiting
	running   []*partsRun
}

type partsWaiting struct {
	entry int
	owner *Scheduler
	id    *wire.AttemptID
	work  *wire.Work
}

// partsSim runs schedulers and the replicated state against an exact ledger, in virtual time.
type partsSim struct {
	t        *testing.T
	schedule partsSchedule
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   map[time.Time][]func()
	control  *replicated.State
	index    uint64
	entries  []*Scheduler
	held     [][]Event // of frozen entries
	gates    []*partsGate
	requests map[string]*partsRequest
	all      []*partsRequest
	sequence int
	crashes  map[uint64][]time.Time // by harmful part
	reached  map[uint64][]time.Time // sends to servers by entries in touch
	last     time.Time              // crash of a harmful part
	records  []*wire.AgentRecord
}

func runParts(t *testing.T, p partsSchedule) *partsSim {
	m := &partsSim{
		t: t, schedule: p, random: rand.New(rand.NewPCG(p.seed, 55)), start: time.Unix(1_700_000_000, 0), events: map[time.Time][]func(){},
		control: replicated.New(), requests: map[string]*partsRequest{}, crashes: map[uint64][]time.Time{}, reached: map[uint64][]time.Time{},
		held: make([][]Event, p.entries),
	}
	m.now = m.start
	for i := range p.gates {
		name := fmt.Sprint("g", i)
		m.gates = append(m.gates, &partsGate{name: name})
		m.records = append(m.records, &wire.AgentRecord{Agent: agentOf(name), Incarnation: 1, Servers: []*wire.ServerRecord{
			{Server: name, Kind: kindModel, Address: name, Models: []string{testModel}, Condition: wire.ServerCondition_SERVER_CONDITION_READY},
		}})
	}
	m.entries = make([]*Scheduler, p.entries)
	for i := range m.entries {
		m.startEntry(i)
	}
	for _, one := range p.innocentCrashes {
		m.after(one.at, func() {
			for _, i := range m.random.Perm(len(m.gates))[:min(one.gates, len(m.gates))] {
				m.crash(m.gates[i])
			}
		})
	}
	for _, one := range p.restarts {
		m.after(one.from, func() { m.startEntry(one.entry) })
	}
	for _, one := range p.freezes {
		m.after(one.end, func() {
			held := m.held[one.entry]
			m.held[one.entry] = nil
			for _, e := range held {
				m.send(one.entry, e)
			}
		})
	}
	const length = 18 * time.Second
	for m.now.Before(m.start.Add(length)) {
		m.now = m.now.Add(partsStep)
		for _, run := range m.events[m.now] {
			run()
		}
		delete(m.events, m.now)
		m.arrivals()
		for _, g := range m.gates {
			m.stepGate(g)
		}
		for i := range m.entries {
			m.send(i, Tick{})
		}
	}
	return m
}

func (m *partsSim) after(d time.Duration, run func()) {
	at := m.now.Add(max(d.Round(partsStep), partsStep))
	m.events[at] = append(m.events[at], run)
}

func (m *partsSim) within(all []outage, entry int, margin time.Duration) bool {
	since := m.now.Sub(m.start)
	return slices.ContainsFunc(all, func(o outage) bool {
		return (entry < 0 || o.entry == entry) && since >= o.from && since < o.end+margin
	})
}

// inTouch reports whether an entry was in contact with a stable control all the time that the rule gives.
func (m *partsSim) inTouch(entry int) bool {
	p := m.schedule
	return !m.within(p.cuts, entry, partsContact) && !m.within(p.freezes, entry, partsContact) &&
		!m.within(p.restarts, entry, partsContact) && !m.within(p.controlLost, -1, partsContact)
}

func (m *partsSim) startEntry(i int) {
	s, err := New(Options{Seed: m.schedule.seed + uint64(i)})
	require.NoError(m.t, err)
	m.entries[i] = s
	m.send(i, Directory{Agents: m.records, Entries: len(m.entries)})
	for _, g := range m.gates {
		m.send(i, AgentUp{Hello: &wire.AgentHello{Agent: agentOf(g.name), Incarnation: 1}})
		m.report(g, i)
	}
	m.push(i)
}

// propose commits a command once its proposer and control are in contact. entry is -1 for an agent.
func (m *partsSim) propose(entry int, cmd *wire.Command) {
	if m.within(m.schedule.controlLost, -1, 0) || entry >= 0 && m.within(m.schedule.cuts, entry, 0) {
		m.after(50*time.Millisecond, func() { m.propose(entry, cmd) })
		return
	}
	m.after(time.Duration(20+m.random.IntN(40))*time.Millisecond, func() {
		m.index++
		cmd.UnixMs = uint64(m.now.UnixMilli())
		before := m.control.DirectoryVersion()
		m.control.Apply(m.index, cmd)
		if m.control.DirectoryVersion() != before {
			for i := range m.entries {
				m.push(i)
			}
		}
	})
}

// push sends the published records to an entry, once it is in contact.
func (m *partsSim) push(i int) {
	m.after(time.Duration(10+m.random.IntN(90))*time.Millisecond, func() {
		if m.within(m.schedule.cuts, i, 0) || m.within(m.schedule.controlLost, -1, 0) {
			m.push(i)
			return
		}
		m.send(i, PoisonRecords{Records: m.control.PublishedPoisonRecords()})
	})
}

func (m *partsSim) arrivals() {
	if m.random.Float64() < m.schedule.soundPerSecond*partsStep.Seconds() {
		m.call(m.random.IntN(4), []uint64{1, 2 + uint64(m.random.IntN(3)), rareParts + uint64(m.random.IntN(40))}, 0)
	}
	since := m.now.Sub(m.start)
	for _, h := range m.schedule.harmful {
		if since >= h.from && since < h.until && m.random.Float64() < h.perSecond*partsStep.Seconds() {
			ids := []uint64{1, 2 + uint64(m.random.IntN(3)), rareParts + uint64(m.random.IntN(40))}
			ids[h.position] = h.id
			m.call(m.random.IntN(h.organisations), ids, h.id)
		}
	}
}

func (m *partsSim) call(organisation int, ids []uint64, harmful uint64) {
	m.sequence++
	r := &Request{
		ID: fmt.Sprint("r", m.sequence), Organisation: fmt.Sprint("org", organisation), Target: testModel, Method: "POST", Path: "/v1/completions",
		Class:        &wire.Class{Name: "c", Tier: 2, DeadlineMs: 6000, Kind: kindModel, Repeatable: m.random.IntN(2) == 0},
		Body:         fmt.Append(nil, m.sequence),
		BodyDigest:   uint64(m.sequence), // no two requests are alike
		PromptTokens: 100, OutputTokens: 20, Arrived: m.now, Deadline: m.now.Add(6 * time.Second), Stream: true, MaxAttempts: 2,
	}
	for _, id := range append(ids, uint64(m.sequence)<<32) {
		r.Parts = append(r.Parts, Part{ID: id, Tokens: 10})
	}
	of := &partsRequest{request: r, entry: m.random.IntN(len(m.entries)), harmful: harmful, arrived: m.now}
	m.requests[r.ID] = of
	m.all = append(m.all, of)
	m.send(of.entry, Arrive{Request: r})
}

// send gives an event to an entry and carries out its actions. A frozen entry gets it when it wakes.
func (m *partsSim) send(i int, e Event) {
	if m.within(m.schedule.freezes, i, 0) {
		if _, isTick := e.(Tick); !isTick {
			m.held[i] = append(m.held[i], e)
		}
		return
	}
	s := m.entries[i]
	for _, a := range slices.Clone(s.Step(m.now, e)) {
		switch a := a.(type) {
		case Send:
			m.gateReceives(i, s, a)
		case Answer:
			m.requests[a.Request].served = true
		case Fail:
			r := m.requests[a.Request]
			r.refused = a.Err.Code == result.PartQuarantined || a.Err.Code == result.RequestQuarantined
			if a.Err.Code == result.PartQuarantined {
				_, err := fmt.Sscanf(a.Err.Message, "requests with part %x", &r.heldPart)
				require.NoError(m.t, err)
			}
		case ReportCrash:
			m.propose(i, &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: a.Note}})
		case ClearPoison:
			m.propose(i, &wire.Command{Kind: &wire.Command_ClearPoison{ClearPoison: &wire.ClearPoison{Cleared: a.Records}}})
		}
	}
}

// reply sends a message of a gate to the process that it is meant for.
func (m *partsSim) reply(g *partsGate, entry int, owner *Scheduler, message *wire.AgentMessage) {
	m.after(partsStep, func() {
		if m.entries[entry] == owner {
			m.send(entry, MessageReceived{Agent: agentOf(g.name), Incarnation: 1, Message: message})
		}
	})
}

func (m *partsSim) over(g *partsGate, entry int, owner *Scheduler, o *wire.Over) {
	o.Server = g.name
	m.reply(g, entry, owner, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}})
}

func (m *partsSim) gateReceives(entry int, owner *Scheduler, a Send) {
	g := m.gates[slices.IndexFunc(m.gates, func(g *partsGate) bool { return agentOf(g.name) == a.Agent })]
	isSame := func(id *wire.AttemptID) func(*partsWaiting) bool {
		return func(w *partsWaiting) bool { return w.owner == owner && w.id.GetRequest() == id.GetRequest() }
	}
	switch k := a.Message.GetKind().(type) {
	case *wire.EntryMessage_Reserve:
		if m.now.Before(g.downUntil) {
			m.over(g, entry, owner, &wire.Over{Attempt: k.Reserve.GetAttempt(), Proof: wire.Proof_PROOF_NEVER_STARTED})
			return
		}
		if i := slices.IndexFunc(g.waiting, isSame(k.Reserve.GetAttempt())); i >= 0 {
			g.waiting[i].work, g.waiting[i].id = k.Reserve.GetWork(), k.Reserve.GetAttempt()
			return
		}
		g.waiting = append(g.waiting, &partsWaiting{entry, owner, k.Reserve.GetAttempt(), k.Reserve.GetWork()})
	case *wire.EntryMessage_Withdraw:
		g.waiting = slices.DeleteFunc(g.waiting, isSame(k.Withdraw.GetAttempt()))
	case *wire.EntryMessage_Decline:
		g.waiting = slices.DeleteFunc(g.waiting, isSame(k.Decline.GetAttempt()))
	case *wire.EntryMessage_Dispatch:
		m.dispatched(g, entry, owner, k.Dispatch)
	case *wire.EntryMessage_Cancel:
		id := k.Cancel.GetAttempt()
		g.running = slices.DeleteFunc(g.running, func(run *partsRun) bool { return run.owner == owner && run.id.GetRequest() == id.GetRequest() })
		m.over(g, entry, owner, &wire.Over{Attempt: id, Proof: wire.Proof_PROOF_CANCELLED})
	}
}

func (m *partsSim) dispatched(g *partsGate, entry int, owner *Scheduler, d *wire.Dispatch) {
	g.waiting = slices.DeleteFunc(g.waiting, func(w *partsWaiting) bool {
		return w.owner == owner && w.id.GetRequest() == d.GetAttempt().GetRequest()
	})
	watched := d.GetWork().GetWatched()
	if m.now.Before(g.downUntil) || len(g.running) >= partsSlots || g.isExclusive(m.now) || watched && len(g.running) > 0 {
		m.over(g, entry, owner, &wire.Over{Attempt: d.GetAttempt(), Proof: wire.Proof_PROOF_NEVER_STARTED})
		return
	}
	of := m.requests[d.GetAttempt().GetRequest()]
	if of.harmful != 0 && m.inTouch(entry) {
		m.reached[of.harmful] = append(m.reached[of.harmful], m.now)
	}
	begins := m.now.Add(time.Duration(40+m.random.IntN(100)) * time.Millisecond)
	g.running = append(g.running, &partsRun{
		of: of, owner: owner, id: d.GetAttempt(), watched: watched, begins: begins,
		ends: begins.Add(time.Duration(m.random.ExpFloat64() * float64(800*time.Millisecond))),
	})
	m.reply(g, entry, owner, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: d.GetAttempt(), Server: g.name}}})
}

// isExclusive reports whether a watched run has the server to itself.
func (g *partsGate) isExclusive(now time.Time) bool {
	return slices.ContainsFunc(g.running, func(run *partsRun) bool { return run.watched && now.Sub(run.begins) < 500*time.Millisecond })
}

func (m *partsSim) stepGate(g *partsGate) {
	if m.now.Before(g.downUntil) {
		return
	}
	for _, run := range slices.Clone(g.running) {
		if !run.begun && !m.now.Before(run.begins) {
			run.begun = true
			if run.of.harmful != 0 {
				m.crash(g)
				return
			}
			m.reply(g, run.of.entry, run.owner, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frameOf(run.id, 0, "x")}})
		}
		if run.begun && !m.now.Before(run.ends) {
			g.running = slices.DeleteFunc(g.running, func(other *partsRun) bool { return other == run })
			m.over(g, run.of.entry, run.owner, &wire.Over{Attempt: run.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(0, "x")})
		}
	}
	for len(g.waiting) > 0 && len(g.running) < partsSlots && !g.isExclusive(m.now) {
		w := g.waiting[0]
		if w.work.GetWatched() && len(g.running) > 0 {
			break
		}
		g.waiting = g.waiting[1:]
		m.send(w.entry, MessageReceived{Agent: agentOf(g.name), Incarnation: 1, Message: &wire.AgentMessage{
			Kind: &wire.AgentMessage_Offer{Offer: &wire.Offer{Attempt: w.id, Server: g.name}},
		}})
	}
	if m.now.Sub(m.start)%(50*time.Millisecond) == 0 {
		for i := range m.entries {
			m.report(g, i)
		}
	}
}

func (m *partsSim) report(g *partsGate, entry int) {
	room := readyRoom(g.name, kindModel, testModel, 0)
	if len(g.waiting) == 0 && !m.now.Before(g.downUntil) && !g.isExclusive(m.now) {
		room.Free = uint32(max(partsSlots-len(g.running), 0))
	}
	room.Running, room.Waiting, room.PrefillTokensPerS = uint32(len(g.running)), uint32(len(g.waiting)), 90_000
	m.send(entry, MessageReceived{Agent: agentOf(g.name), Incarnation: 1, Message: &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}}})
}

// crash ends a server with all that it runs. Entries hear of it at once, control from the agent later.
func (m *partsSim) crash(g *partsGate) {
	if m.now.Before(g.downUntil) {
		return
	}
	g.boot++
	crash := &wire.Crash{Id: fmt.Sprint(g.name, "@", g.boot), Server: fmt.Sprint(g.name, "-", g.boot), Reporter: agentOf(g.name), Once: true}
	crash.Alone = len(g.running) == 1 && g.running[0].watched
	note := &wire.NoteCrash{Crash: crash}
	for _, run := range g.running {
		if run.begun && run.of.harmful != 0 {
			m.crashes[run.of.harmful] = append(m.crashes[run.of.harmful], m.now)
			m.last = m.now
		}
		for _, key := range subjectsOf(run.of.request) {
			record := key.NewRecord()
			record.Organisation = run.of.request.Organisation
			if key.Target == "" {
				note.Ran = append(note.Ran, record)
			} else {
				note.Parts = append(note.Parts, record)
			}
		}
		m.over(g, run.of.entry, run.owner, &wire.Over{Attempt: run.id, Proof: wire.Proof_PROOF_CANCELLED, Began: true, Crash: crash})
	}
	for _, w := range g.waiting {
		m.over(g, w.entry, w.owner, &wire.Over{Attempt: w.id, Proof: wire.Proof_PROOF_NEVER_STARTED})
	}
	g.running, g.waiting, g.downUntil = nil, nil, m.now.Add(partsDown)
	if len(note.Ran) > 0 {
		m.after(time.Duration(m.random.Float64()*float64(m.schedule.lateEvidence)), func() {
			m.propose(-1, &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: note}})
		})
	}
}

// lateReaches returns how many requests with a part were sent to servers by entries in touch later than contact after the
// nth crash.
func (m *partsSim) lateReaches(part uint64, n int, contact time.Duration) int {
	crashes := m.crashes[part]
	if len(crashes) < n {
		return 0
	}
	late := 0
	for _, at := range m.reached[part] {
		if at.After(crashes[n-1].Add(contact)) {
			late++
		}
	}
	return late
}

// Guards against a harmful part that goes on to reach servers, and against sound requests that are refused for it or for crashes
// of other causes: over drawn schedules of harmful parts, crashes that no request causes, cuts, freezes, restarts, a control
// without a leader and late reports. CARAWAYPITCH_PARTS_SCHEDULES sets their number.
func TestPartsOverDrawnSchedules(t *testing.T) {
	schedules, first := 60, 1
	if text := os.Getenv("CARAWAYPITCH_PARTS_SCHEDULES"); text != "" {
		var err error
		schedules, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	if text := os.Getenv("CARAWAYPITCH_PARTS_FIRST"); text != "" {
		var err error
		first, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	var sound, refused, served, sent, harmful, afterThird, most int
	for seed := first; seed < first+schedules; seed++ {
		m := runParts(t, drawPartsSchedule(uint64(seed)))
		for _, h := range m.schedule.harmful {
			harmful++
			require.LessOrEqual(t, m.lateReaches(h.id, 5, partsContact), 3, "seed %d: part %x, crashes at %v", seed, h.id, m.crashes[h.id])
			afterThird += m.lateReaches(h.id, 3, time.Second)
			most = max(most, len(m.crashes[h.id]))
		}
		popularRefused := 0
		for _, r := range m.all {
			if r.harmful != 0 {
				continue
			}
			sound++
			if r.refused {
				refused++
			}
			if r.refused && r.heldPart < rareParts {
				popularRefused++
			}
			if !m.last.IsZero() && r.arrived.After(m.last.Add(2*time.Second)) && r.arrived.Before(m.now.Add(-4*time.Second)) {
				sent++
				if r.served {
					served++
				}
			}
		}
		if len(m.schedule.harmful) == 0 {
			require.Zero(t, popularRefused, "seed %d: no part is harmful", seed)
		}
	}
	t.Logf("%d schedules, %d harmful parts, most crashes of one %d, %d sends later than 1 s after the third crash; sound: %d, refused %d; "+
		"from 2 s after the last crash on %d, served %d", schedules, harmful, most, afterThird, sound, refused, sent, served)
	require.Less(t, 1000*refused, max(sound, 1), "%d of %d sound requests were refused", refused, sound)
	require.GreaterOrEqual(t, 10*served, 9*sent, "%d of %d", served, sent)
}
