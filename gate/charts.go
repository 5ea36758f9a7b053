package gate

import (
	"github.com/carawaypitch/carawaypitch/chart"
	"github.com/carawaypitch/carawaypitch/wire"
)

// attemptState is a state of charts/attempt.jsonc.
type attemptState uint8

const (
	absent attemptState = iota
	reserved
	offered
	admitted
	running
	suspending
	suspended
	cancelling
	tombstoned
)

var attemptStates = []string{
	"absent", "reserved", "offered", "admitted", "running", "suspending", "suspended", "cancelling", "tombstoned",
}

// attemptEvent is an event of charts/attempt.jsonc.
type attemptEvent uint8

const (
	onReserve attemptEvent = iota
	onWithdraw
	onOffer
	onLapse
	onDecline
	onDispatch
	onStart
	onRefuse
	onProgress
	onFinish
	onEngineFailed
	onEngineCancelled
	onEngineGone
	onNeverSent
	onConfirm
	onNoAnswer
	onCancel
	onPreempt
	onExpire
	onSuspend
	onSuspensionConfirmed
	onSuspensionRefused
	onSuspensionLost
	onResume
	onResumeUnsent
)

var attemptEvents = []string{
	"reserve", "withdraw", "offer", "lapse", "decline", "dispatch", "start", "refuse", "progress", "finish",
	"engine_failed", "engine_cancelled", "engine_gone", "never_sent", "confirm", "no_answer", "cancel", "preempt",
	"expire", "suspend", "suspension_confirmed", "suspension_refused", "suspension_lost", "resume", "resume_unsent",
}

// serverState is a state of charts/server.jsonc.
type serverState uint8

const (
	serverAnnounced serverState = iota
	serverLeaving
	serverReady
	serverSuspect
	serverDraining
	serverDrained
	serverGone
)

var serverStates = []string{"announced", "leaving", "ready", "suspect", "draining", "drained", "gone"}

// serverEvent is an event of charts/server.jsonc.
type serverEvent uint8

const (
	onAnnounce serverEvent = iota
	onCleared
	onSilent
	onProbeFailed
	onProbeSucceeded
	onSlow
	onRecovered
	onLeave
	onEmptied
	onGone
)

var serverEvents = []string{
	"announce", "cleared", "silent", "probe_failed", "probe_succeeded", "slow", "recovered", "leave", "emptied",
	"expire",
}

var (
	attemptTable = mustOpen[attemptState, attemptEvent]("attempt", attemptStates, attemptEvents)
	serverTable  = mustOpen[serverState, serverEvent]("server", serverStates, serverEvents)
)

// mustOpen panics if the embedded chart doesn't match the code: a program with such a chart must not start.
func mustOpen[S, E ~uint8](name string, states, events []string) *chart.Table[S, E] {
	table, err := chart.BindEmbedded[S, E](name, states, events)
	if err != nil {
		panic(err)
	}
	return table
}

// eventDetails holds the data of an event that guards and actions of a chart use.
type eventDetails struct {
	refusal  refusal
	unsent   bool   // no connection to the server could be made
	cause    string // cause of wasted work, one of the Cause constants
	inquirer inquirer
	work     *wire.Work // of a repeated reservation
	end      *EngineEnded
	events   [][]byte
	tokens   uint32
	// eventTokens is the number of tokens in each of events, empty if the engine doesn't report them.
	eventTokens   []uint32
	engineKnew    bool // the engine knew the attempt
	askedAfterRun bool // the engine was asked after the run's end
}

// fire applies an event to an attempt and reports whether the chart allows it. An event that the chart doesn't
// allow is counted, because it means that the gate and its agent or an entry disagree about what happened.
func (g *Gate) fire(a *attempt, e attemptEvent, o eventDetails) bool {
	guard := func(name string) bool { return g.attemptGuard(a, name, &o) }
	next, err := attemptTable.NextGuarded(a.state, e, guard)
	if err != nil {
		g.chartError("attempt " + attemptTable.StateName(a.state) + " " + attemptTable.EventName(e))
		return false
	}
	a.state = next.To
	for _, name := range next.Actions {
		g.attemptAction(a, name, &o)
	}
	return true
}

func (g *Gate) attemptGuard(a *attempt, name string, o *eventDetails) bool {
	switch name {
	case "engine_cleared":
		return g.cleared()
	case "lease_valid":
		return a.owner.leaseValid()
	case "only_one":
		return a.record.current == a
	case "run_over":
		return o.askedAfterRun
	case "repeatable":
		return a.work.GetRepeatable()
	case "engine_knows":
		return o.engineKnew
	case "call_open":
		return a.run.callOpen
	case "call_over":
		return !a.run.callOpen
	}
	g.chartError("guard " + name)
	return false
}

func (g *Gate) attemptAction(a *attempt, name string, o *eventDetails) {
	switch name {
	case "queue":
		g.enqueue(a)
	case "renew":
		g.renewWork(a, o.work)
	case "unqueue":
		g.dequeue(a)
	case "hold_room":
		g.holdRoom(a)
	case "release_room":
		g.releaseRoom(a, o)
	case "send_offer":
		g.sendOffer(a)
	case "start_engine":
		g.startEngine(a)
	case "forward":
		g.forward(a, o.events, o.eventTokens)
	case "cancel_engine":
		g.beginCancel(a, o)
	case "back_off":
		g.backOff(a)
	case "suspend_engine":
		g.askToSuspend(a)
	case "release_slot":
		g.releaseSuspended(a)
	case "resume_engine":
		g.resumeEngine(a)
	case "discard_suspended":
		g.discardSuspended(a, o)
	case "keep_tombstone":
		g.keepTombstone(a, o)
	case "reply_never_started":
		g.replyNeverStarted(a, o)
	case "reply_cancelled":
		g.replyCancelled(a, o)
	case "reply_outcome":
		g.replyOutcome(a, o)
	case "reply_unproven":
		g.replyUnproven(a, o)
	default:
		g.chartError("action " + name)
	}
}

// fireServer applies an event to the server, as fire does for an attempt.
func (g *Gate) fireServer(e serverEvent) bool {
	next, err := serverTable.NextGuarded(g.server.state, e, g.serverGuard)
	if err != nil {
		g.chartError("server " + serverTable.StateName(g.server.state) + " " + serverTable.EventName(e))
		return false
	}
	g.server.state = next.To
	for _, name := range next.Actions {
		g.serverAction(name)
	}
	return true
}

func (g *Gate) serverGuard(name string) bool {
	switch name {
	case "healthy":
		return g.server.suspectReasons == 0
	case "none_in_flight":
		return g.inFlight() == 0
	}
	g.chartError("guard " + name)
	return false
}

func (g *Gate) serverAction(name string) {
	switch name {
	case "stop_new_work":
		g.refuseAllWaiting(refuseLeaving)
	case "allow_new_work":
		g.room.dirty = true
	case "lapse_offers":
		g.lapseAllOffers()
	case "clear_engine":
		g.clearing.restart()
	case "tell":
		g.publishCondition()
	default:
		g.chartError("action " + name)
	}
}

func (g *Gate) chartError(what string) {
	g.chartErrors++
	g.emit(Count{Counter: ChartErrors, Label: what, Add: 1})
}
