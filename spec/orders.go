package spec

import "fmt"

// OrderBounds say how much may happen in the model of orders.
type OrderBounds struct {
	// Fences is how many leaders there are, one after the other, 3 at most. A replaced one may go on sending.
	Fences uint8
	// Crashes bounds restarts of the agent.
	Crashes uint8
	// EngineRefuses says that the engine itself refuses older fence numbers. Otherwise it carries out what comes.
	EngineRefuses bool
}

// Bounds of the model's arrays.
const (
	fenceCount = 4
	orderCount = 2
)

// ordersState is a state of the model of orders to one backend server.
type ordersState struct {
	fence  uint8 // highest committed
	order  uint8 // number of the newest order, 0 for none
	record orderState
	// sent[f] is the set of orders that the leader with fence f may have sent, at any time since.
	sent [fenceCount]uint8

	// The agent.
	up       bool
	known    bool  // it knows a committed fence
	highest  uint8 // that it knows
	running  uint8 // order under way, 0 for none
	under    uint8 // its fence
	called   bool  // the engine was asked
	crashes  uint8 // what is left of the bound
	reported [fenceCount]uint8

	// The engine: calls on their way by fence, the highest fence that it saw, and that it carried an order out for.
	calls   [fenceCount]uint8
	seen    uint8
	did     uint8
	violate orderViolation
}

type orderViolation uint8

const (
	ordersSound orderViolation = iota
	olderAfterNewer
	staleCall
)

// Invariants of the model of orders.
const (
	FenceHolds Invariant = "an engine carries out no order of an older fence after one of a newer fence"
	NoStale    Invariant = "an agent gives its engine no order older than the highest fence it knows"
	OrderEnds  Invariant = "every order can still end"
)

var orderViolations = map[orderViolation]Invariant{olderAfterNewer: FenceHolds, staleCall: NoStale}

// orders is the model of orders.
type orders struct {
	bounds OrderBounds
	guards Guards
	charts *charts
	want   Invariant // the only invariant looked at, "" for all
	// entered counts how often a state of the chart was entered.
	entered [orderFailed + 1]int
}

// Kinds of steps of the model of orders.
const (
	stepNewLeader uint8 = iota
	stepPlace
	stepSendOrder
	stepWithdraw
	stepExpireOrder
	stepLearnFence
	stepTakeOrder
	stepCallEngine
	stepCarryOut
	stepEngineRefuses
	stepOrderCallLost
	stepEndOrder
	stepGiveUpOrder
	stepReport
	stepOrderAgentCrash
	stepOrderAgentStart
	orderStepCount
)

var orderSteps = [orderStepCount]string{
	"new_leader", "place", "send", "withdraw", "expire", "learn_fence", "take", "call_engine", "carry_out",
	"engine_refuses", "call_lost", "end", "give_up", "report", "agent_crash", "agent_start",
}

// Initial has one leader and an agent that knows its fence.
func (m *orders) Initial() ordersState {
	return ordersState{fence: 1, up: true, known: true, highest: 1, crashes: m.bounds.Crashes}
}

// Broken returns the invariant that the way here broke.
func (m *orders) Broken(s *ordersState) Invariant { return orderViolations[s.violate] }

// Done tells whether the newest order has ended.
func (m *orders) Done(s *ordersState) bool {
	return s.order == 0 || m.charts.order.Final(s.record)
}

// Progress is that orders end.
func (m *orders) Progress() Invariant { return OrderEnds }

// Reached counts the states of the chart.
func (m *orders) Reached() map[string]int {
	names := map[string]int{}
	for s, n := range m.entered {
		names["order "+orderStates[s]] = n
	}
	return names
}

// Kinds returns the names of the kinds of steps.
func (m *orders) Kinds() []string { return orderSteps[:] }

// Describe names what happens, with the order and the fence.
func (m *orders) Describe(s Step) string {
	if s.A == 0 {
		return orderSteps[s.Kind]
	}
	return fmt.Sprintf("%s order %d, fence %d", orderSteps[s.Kind], s.A, s.B)
}

// orderTurn is one transition being made.
type orderTurn struct {
	*orders
	s ordersState
}

// orderAttempt makes a step if change reports that it is possible.
type orderAttempt func(step Step, change func(t *orderTurn) bool)

// Next yields every transition.
func (m *orders) Next(s *ordersState, yield func(Step, *ordersState)) {
	try := func(step Step, change func(t *orderTurn) bool) {
		t := orderTurn{orders: m, s: *s}
		if change(&t) {
			yield(step, &t.s)
		}
	}
	m.orderLeaderSteps(s, try)
	m.orderEngineSteps(s, try)
	if !s.up {
		try(Step{Kind: stepOrderAgentStart}, func(t *orderTurn) bool { return t.startAgent() })
		return
	}
	m.orderAgentSteps(s, try)
}

func (t *orderTurn) violated(v orderViolation) {
	if t.s.violate == ordersSound && (t.want == "" || t.want == orderViolations[v]) {
		t.s.violate = v
	}
}

// fire lets an event happen to the record of the newest order.
func (t *orderTurn) fire(event orderEvent) bool {
	next, ok := take(t.charts.order, t.s.record, event, func(string) bool { return true })
	if !ok {
		return false
	}
	t.s.record = next.To
	t.entered[next.To]++
	for _, action := range next.Actions {
		if action == "send_order" {
			t.s.sent[t.s.fence] |= 1 << t.s.order
		}
	}
	return true
}

// orderLeaderSteps: a leader commits an order before it sends it; the next leader raises the fence and sends it again.
func (m *orders) orderLeaderSteps(s *ordersState, try orderAttempt) {
	if s.fence < m.bounds.Fences {
		try(Step{Kind: stepNewLeader}, func(t *orderTurn) bool {
			t.s.fence++
			return true
		})
	}
	if s.order < orderCount && m.Done(s) {
		try(Step{Kind: stepPlace, A: s.order + 1, B: s.fence}, func(t *orderTurn) bool {
			t.s.order++
			t.s.record = t.charts.order.Initial()
			return t.fire(orderCommit)
		})
	}
	if s.order == 0 {
		return
	}
	try(Step{Kind: stepSendOrder, A: s.order, B: s.fence}, func(t *orderTurn) bool { return t.changes(orderSend) })
	try(Step{Kind: stepWithdraw, A: s.order, B: s.fence}, func(t *orderTurn) bool { return t.changes(orderWithdraw) })
	try(Step{Kind: stepExpireOrder, A: s.order, B: s.fence}, func(t *orderTurn) bool { return t.changes(orderExpire) })
}

// changes fires an event that is worth a step only if something is another.
func (t *orderTurn) changes(event orderEvent) bool {
	before := t.s
	return t.fire(event) && t.s != before
}

// orderAgentSteps: the agent takes orders in any order, late and more than once, one at a time.
func (m *orders) orderAgentSteps(s *ordersState, try orderAttempt) {
	if s.crashes > 0 {
		try(Step{Kind: stepOrderAgentCrash}, func(t *orderTurn) bool { return t.crashAgent() })
	}
	if s.highest < s.fence || !s.known {
		try(Step{Kind: stepLearnFence}, func(t *orderTurn) bool {
			t.s.known = true
			t.s.highest = max(t.s.highest, t.s.fence)
			return true
		})
	}
	if s.running != 0 {
		m.runningSteps(s, try)
		return
	}
	for fence := uint8(1); fence < fenceCount; fence++ {
		for order := uint8(1); order <= orderCount; order++ {
			if s.sent[fence]&(1<<order) != 0 {
				step := Step{Kind: stepTakeOrder, A: order, B: fence}
				try(step, func(t *orderTurn) bool { return t.take(order, fence) })
			}
		}
	}
}

// take begins an order unless its fence is too old.
func (t *orderTurn) take(order, fence uint8) bool {
	s := &t.s
	if !s.known && t.guards.has(GuardFenceAtStart) || !t.settled() {
		return false
	}
	if fence < s.highest && t.guards.has(GuardFence) {
		return false // refused
	}
	s.highest = max(s.highest, fence)
	s.running, s.under, s.called = order, fence, false
	return true
}

// settled tells whether no earlier call can still reach the engine.
func (t *orderTurn) settled() bool {
	return t.s.calls == [fenceCount]uint8{} || !t.guards.has(GuardSettledOrders)
}

func (m *orders) runningSteps(s *ordersState, try orderAttempt) {
	order, fence := s.running, s.under
	if !s.called {
		try(Step{Kind: stepCallEngine, A: order, B: fence}, func(t *orderTurn) bool { return t.callEngine() })
		return
	}
	if s.calls[fence]&(1<<order) == 0 {
		// The engine has answered, or the call was lost: then the agent asks again.
		try(Step{Kind: stepEndOrder, A: order, B: fence}, func(t *orderTurn) bool { return t.end(true) })
		try(Step{Kind: stepCallEngine, A: order, B: fence}, func(t *orderTurn) bool { return t.callEngine() })
	}
	try(Step{Kind: stepGiveUpOrder, A: order, B: fence}, func(t *orderTurn) bool { return t.end(false) })
}

// callEngine looks at the fence again, since a newer leader may have come meanwhile.
func (t *orderTurn) callEngine() bool {
	s := &t.s
	if s.under < s.highest {
		if t.guards.has(GuardFenceAtCall) && t.guards.has(GuardFence) {
			return t.end(false)
		}
		t.violated(staleCall)
	}
	s.called = true
	s.calls[s.under] |= 1 << s.running
	return true
}

// end closes the order under way and reports its outcome. The report may arrive at any time.
func (t *orderTurn) end(answered bool) bool {
	s := &t.s
	if answered {
		s.reported[s.under] |= 1 << s.running
	}
	s.running, s.under, s.called = 0, 0, false
	return true
}

func (t *orderTurn) crashAgent() bool {
	s := &t.s
	s.crashes--
	s.up, s.known, s.highest = false, false, 0
	return t.end(false)
}

func (t *orderTurn) startAgent() bool {
	t.s.up = true
	if t.s.order != 0 {
		t.fire(orderServerGone)
	}
	return true
}

// orderEngineSteps: calls arrive at the engine in any order, or never, and reports at the leader.
func (m *orders) orderEngineSteps(s *ordersState, try orderAttempt) {
	for fence := uint8(1); fence < fenceCount; fence++ {
		for order := uint8(1); order <= orderCount; order++ {
			if s.calls[fence]&(1<<order) != 0 {
				m.callSteps(order, fence, try)
			}
		}
		if s.order != 0 && s.reported[fence]&(1<<s.order) != 0 {
			for i, event := range []orderEvent{orderAcknowledgeDone, orderAcknowledgeRefused, orderAcknowledgeFailed} {
				step := Step{Kind: stepReport, A: s.order, B: fence, C: uint8(i)}
				try(step, func(t *orderTurn) bool { return t.changes(event) })
			}
		}
	}
}

func (m *orders) callSteps(order, fence uint8, try orderAttempt) {
	try(Step{Kind: stepCarryOut, A: order, B: fence}, func(t *orderTurn) bool {
		t.s.calls[fence] &^= 1 << order
		return t.carryOut(fence)
	})
	try(Step{Kind: stepEngineRefuses, A: order, B: fence}, func(t *orderTurn) bool {
		t.s.calls[fence] &^= 1 << order
		return t.bounds.EngineRefuses && fence < t.s.seen
	})
	try(Step{Kind: stepOrderCallLost, A: order, B: fence}, func(t *orderTurn) bool {
		t.s.calls[fence] &^= 1 << order
		return true
	})
}

func (t *orderTurn) carryOut(fence uint8) bool {
	s := &t.s
	if t.bounds.EngineRefuses && fence < s.seen {
		return false
	}
	s.seen = max(s.seen, fence)
	if fence < s.did {
		t.violated(olderAfterNewer)
	}
	s.did = max(s.did, fence)
	return true
}

// Encode appends all fields.
func (m *orders) Encode(s *ordersState, b []byte) []byte {
	b = append(b, s.fence, s.order, byte(s.record), flag(s.up), flag(s.known), s.highest, s.running, s.under)
	b = append(b, flag(s.called), s.crashes, s.seen, s.did, byte(s.violate))
	b = append(b, s.sent[:]...)
	b = append(b, s.reported[:]...)
	return append(b, s.calls[:]...)
}
