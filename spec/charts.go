package spec

import (
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/chart"
)

// requestState is a state of charts/request.jsonc.
type requestState uint8

const (
	requestQueued requestState = iota
	requestReserved
	requestDispatched
	requestStreaming
	requestAwaitingProof
	requestAwaitingEarlier
	requestAnswered
	requestRefused
	requestFailed
	requestUnknown
)

var requestStates = []string{
	"queued", "reserved", "dispatched", "streaming", "awaiting_proof", "awaiting_earlier", "answered", "refused",
	"failed", "unknown",
}

// requestEvent is an event of charts/request.jsonc.
type requestEvent uint8

const (
	requestReserve requestEvent = iota
	requestReservationsGone
	requestDispatch
	requestTake
	requestRefuse
	requestNeverStarted
	requestCancelConfirmed
	requestAttemptFailed
	requestProvedOver
	requestFirstFrame
	requestFrame
	requestAnswerComplete
	requestAgentLost
	requestAgentResumed
	requestCancelAsked
	requestCallerLeft
	requestDeadline
	requestTakeOver
	requestEarlierOver
)

var requestEvents = []string{
	"reserve", "reservations_gone", "dispatch", "take", "refuse", "never_started", "cancel_confirmed",
	"attempt_failed", "proved_over", "first_frame", "frame", "answer_complete", "agent_lost", "agent_resumed",
	"cancel_asked", "caller_left", "deadline", "take_over", "earlier_over",
}

// attemptState is a state of charts/attempt.jsonc.
type attemptState uint8

const (
	attemptAbsent attemptState = iota
	attemptReserved
	attemptOffered
	attemptAdmitted
	attemptRunning
	attemptSuspending
	attemptSuspended
	attemptCancelling
	attemptTombstoned
)

var attemptStates = []string{
	"absent", "reserved", "offered", "admitted", "running", "suspending", "suspended", "cancelling", "tombstoned",
}

// attemptEvent is an event of charts/attempt.jsonc.
type attemptEvent uint8

const (
	attemptReserve attemptEvent = iota
	attemptWithdraw
	attemptOffer
	attemptLapse
	attemptDecline
	attemptDispatch
	attemptStart
	attemptRefuse
	attemptProgress
	attemptFinish
	attemptEngineFailed
	attemptEngineCancelled
	attemptEngineGone
	attemptNeverSent
	attemptConfirm
	attemptNoAnswer
	attemptCancel
	attemptPreempt
	attemptExpire
	attemptSuspend
	attemptSuspensionConfirmed
	attemptSuspensionRefused
	attemptSuspensionLost
	attemptResume
	attemptResumeUnsent
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
	serverAnnounce serverEvent = iota
	serverCleared
	serverSilent
	serverProbeFailed
	serverProbeSucceeded
	serverSlow
	serverRecovered
	serverLeave
	serverEmptied
	serverExpire
)

var serverEvents = []string{
	"announce", "cleared", "silent", "probe_failed", "probe_succeeded", "slow", "recovered", "leave", "emptied",
	"expire",
}

// orderState is a state of charts/order.jsonc.
type orderState uint8

const (
	orderProposed orderState = iota
	orderCommitted
	orderSent
	orderDone
	orderRefused
	orderFailed
)

var orderStates = []string{"proposed", "committed", "sent", "done", "refused", "failed"}

// orderEvent is an event of charts/order.jsonc.
type orderEvent uint8

const (
	orderCommit orderEvent = iota
	orderProposalLost
	orderSend
	orderAcknowledgeDone
	orderAcknowledgeRefused
	orderAcknowledgeFailed
	orderWithdraw
	orderServerGone
	orderExpire
)

var orderEvents = []string{
	"commit", "proposal_lost", "send", "acknowledge_done", "acknowledge_refused", "acknowledge_failed", "withdraw",
	"server_gone", "expire",
}

// charts are the tables that the models follow.
type charts struct {
	request *chart.Table[requestState, requestEvent]
	attempt *chart.Table[attemptState, attemptEvent]
	server  *chart.Table[serverState, serverEvent]
	order   *chart.Table[orderState, orderEvent]
}

// openCharts opens the charts that the code runs.
func openCharts() (*charts, error) {
	c := &charts{}
	var err error
	if c.request, err = chart.BindEmbedded[requestState, requestEvent]("request", requestStates, requestEvents); err != nil {
		return nil, errors.Wrap(err, "spec")
	}
	if c.attempt, err = chart.BindEmbedded[attemptState, attemptEvent]("attempt", attemptStates, attemptEvents); err != nil {
		return nil, errors.Wrap(err, "spec")
	}
	if c.server, err = chart.BindEmbedded[serverState, serverEvent]("server", serverStates, serverEvents); err != nil {
		return nil, errors.Wrap(err, "spec")
	}
	if c.order, err = chart.BindEmbedded[orderState, orderEvent]("order", orderStates, orderEvents); err != nil {
		return nil, errors.Wrap(err, "spec")
	}
	return c, nil
}

// take returns what an event does in a state by the chart; ok is false if the chart doesn't allow it there. Asking
// for the branches first spares an error that nobody reads.
func take[S, E ~uint8](t *chart.Table[S, E], s S, e E, guard func(string) bool) (next chart.Transition[S], ok bool) {
	if len(t.Branches(s, e)) == 0 {
		return next, false
	}
	next, err := t.NextGuarded(s, e, guard)
	return next, err == nil
}
