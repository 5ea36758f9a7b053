package simtest

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// linkDelay is the time of a message between an entry and a server. It is the same for all, so that links keep the order.
	linkDelay = 2 * time.Millisecond
	// roomInterval is the time between reports of a server to all entries. It also reports when an attempt ends.
	roomInterval = time.Second
	// offerTimeout is how long an offered slot is kept.
	offerTimeout = 200 * time.Millisecond
)

// server is a backend server with a gate: slots, the attempts that wait for one, and the reservations of entries.
type server struct {
	world   *world
	record  *wire.AgentRecord
	version string
	speed   float64
	waiting []*attempt
	running []*attempt
	offers  []*reservation
	reserve []*reservation
}

type attempt struct {
	id     *wire.AttemptID
	entry  *entry
	life   uint64
	work   *wire.Work
	isOver bool
}

type reservation struct {
	id    *wire.AttemptID
	entry *entry
	life  uint64
}

func (v *server) name() string { return v.record.GetServers()[0].GetServer() }

func (v *server) free() int {
	return max(v.world.schedule.slots-len(v.running)-len(v.waiting)-len(v.offers), 0)
}

// tell sends a message to one life of an entry.
func (v *server) tell(e *entry, life uint64, m *wire.AgentMessage) {
	v.world.after(linkDelay, func() {
		if e.life == life && e.isUp {
			e.step(sched.MessageReceived{Agent: v.record.GetAgent(), Incarnation: 1, Message: m})
		}
	})
}

func (v *server) reportRoom() {
	for _, e := range v.world.entries {
		if e.isUp && e.linked[v] {
			v.reportTo(e)
		}
	}
}

func (v *server) reportTo(e *entry) {
	free := v.free()
	if len(v.reserve) > 0 {
		free = 0
	}
	v.tell(e, e.life, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: &wire.Room{
		Server: v.name(), AddressKind: v.world.schedule.kind, Targets: []string{pool}, Free: uint32(free), Running: uint32(len(v.running)),
		Waiting: uint32(len(v.reserve)), Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		PrefillTokensPerS: 20_000, DecodeTokensPerS: 100,
	}}})
}

// receive takes a message of an entry.
func (v *server) receive(e *entry, life uint64, m *wire.EntryMessage) {
	switch m := m.GetKind().(type) {
	case *wire.EntryMessage_Reserve:
		v.withdraw(m.Reserve.GetAttempt())
		v.reserve = append(v.reserve, &reservation{m.Reserve.GetAttempt(), e, life})
	case *wire.EntryMessage_Withdraw:
		v.withdraw(m.Withdraw.GetAttempt())
	case *wire.EntryMessage_Decline:
		v.endOffer(m.Decline.GetAttempt())
	case *wire.EntryMessage_Dispatch:
		v.endOffer(m.Dispatch.GetAttempt())
		v.withdraw(m.Dispatch.GetAttempt())
		v.waiting = append(v.waiting, &attempt{id: m.Dispatch.GetAttempt(), entry: e, life: life, work: m.Dispatch.GetWork()})
	case *wire.EntryMessage_Cancel:
		v.cancel(e, life, m.Cancel.GetAttempt())
	}
	v.startNext()
}

func sameAttempt(a, b *wire.AttemptID) bool {
	return a.GetRequest() == b.GetRequest() && a.GetNumber() == b.GetNumber()
}

func (v *server) withdraw(id *wire.AttemptID) {
	v.reserve = slices.DeleteFunc(v.reserve, func(r *reservation) bool { return sameAttempt(r.id, id) })
}

func (v *server) endOffer(id *wire.AttemptID) {
	v.offers = slices.DeleteFunc(v.offers, func(r *reservation) bool { return sameAttempt(r.id, id) })
}

func (v *server) cancel(e *entry, life uint64, id *wire.AttemptID) {
	over := &wire.Over{Attempt: id, Server: v.name(), Proof: wire.Proof_PROOF_CANCELLED}
	find := func(a *attempt) bool { return sameAttempt(a.id, id) }
	if i := slices.IndexFunc(v.running, find); i >= 0 {
		over.Began = true
		v.running[i].isOver = true
		v.running = slices.Delete(v.running, i, i+1)
	}
	v.waiting = slices.DeleteFunc(v.waiting, find)
	v.tell(e, life, overMessage(over))
}

func overMessage(o *wire.Over) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}}
}

// startNext starts what waits, and offers free slots to reservations.
func (v *server) startNext() {
	for len(v.waiting) > 0 && len(v.running) < v.world.schedule.slots {
		a := v.waiting[0]
		v.waiting = v.waiting[1:]
		v.start(a)
	}
	for len(v.reserve) > 0 && v.free() > 0 {
		r := v.reserve[0]
		v.reserve = v.reserve[1:]
		v.offers = append(v.offers, r)
		v.tell(r.entry, r.life, &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{Offer: &wire.Offer{Attempt: r.id, Server: v.name()}}})
		v.world.after(offerTimeout, func() {
			if slices.Contains(v.offers, r) {
				v.endOffer(r.id)
				v.startNext()
			}
		})
	}
}

func (v *server) start(a *attempt) {
	w, s := v.world, v.world.schedule
	v.running = append(v.running, a)
	v.tell(a.entry, a.life, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: a.id, Server: v.name()}}})
	size := w.sizes[a.id.GetRequest()]
	ms := s.unitMS * size.work * math.Exp(0.3*w.random.NormFloat64()-0.045) / v.speed
	fails := w.random.Float64() < s.baseFailures
	spoiled := v.version == newVersion && s.isBad(a.work.GetClass(), w.sinceOrder()) && w.random.Float64() < s.spoiled
	switch {
	case spoiled && s.way == slow:
		ms *= s.slowBy
	case spoiled:
		fails = true
	}
	if fails {
		ms *= w.random.Float64()
	}
	w.after(time.Duration(ms*float64(time.Millisecond)), func() { v.finish(a, size, fails, spoiled) })
}

func (v *server) finish(a *attempt, size requestSize, fails, spoiled bool) {
	if a.isOver {
		return
	}
	w := v.world
	v.running = slices.DeleteFunc(v.running, func(other *attempt) bool { return other == a })
	if spoiled && a.entry.isUp && a.entry.life == a.life {
		w.ledger.badAnswer()
	}
	over := &wire.Over{Attempt: a.id, Server: v.name(), Proof: wire.Proof_PROOF_COMPLETED, Answer: &wire.AnswerEnd{
		Digest: xxhash.New().Sum64(), Status: 200, PromptTokens: size.prompt, OutputTokens: size.output,
	}}
	switch {
	case fails && w.schedule.kind == "service":
		over.Answer.Status = 500
	case fails:
		over.Proof, over.Answer = wire.Proof_PROOF_FAILED, nil
	}
	v.tell(a.entry, a.life, overMessage(over))
	v.startNext()
	v.reportRoom()
}
