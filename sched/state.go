package sched

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/chart"
	"github.com/carawaypitch/carawaypitch/result"
)

// chartName names the state chart of a request.
const chartName = "request"

// state is a state of the chart.
type state uint8

const (
	queued state = iota
	reserved
	dispatched
	streaming
	awaitingProof
	awaitingEarlier
	answered
	refused
	failed
	unknown
)

var stateNames = []string{
	"queued", "reserved", "dispatched", "streaming", "awaiting_proof", "awaiting_earlier", "answered", "refused",
	"failed", "unknown",
}

// event is an event of the chart.
type event uint8

const (
	evReserve event = iota
	evReservationsGone
	evDispatch
	evTake
	evRefuse
	evNeverStarted
	evCancelConfirmed
	evAttemptFailed
	evProvedOver
	evFirstFrame
	evFrame
	evAnswerComplete
	evAgentLost
	evAgentResumed
	evCancelAsked
	evCallerLeft
	evDeadline
	evTakeOver
	evEarlierOver
)

var eventNames = []string{
	"reserve", "reservations_gone", "dispatch", "take", "refuse", "never_started", "cancel_confirmed",
	"attempt_failed", "proved_over", "first_frame", "frame", "answer_complete", "agent_lost", "agent_resumed",
	"cancel_asked", "caller_left", "deadline", "take_over", "earlier_over",
}

// runAction runs an action that the chart names. Some actions do nothing here: the code that raises the event
// performs them, since they need its message. It returns false for an unknown name.
func (s *Scheduler) runAction(r *request, action string) bool {
	switch action {
	case "place_reservations", "decline_take", "send_body", "keep_frame", "count_late":
	case "withdraw_reservations":
		s.withdrawAll(r)
	case "send_cancel":
		s.sendCancel(r)
	case "cancel_earlier":
		s.cancelEarlier(r)
	case "answer":
		s.answer(r)
	case "refuse_caller", "fail_caller", "unknown_caller":
		s.failCaller(r)
	default:
		return false
	}
	return true
}

// evalGuard evaluates a guard that the chart names. known is false for an unknown name.
func (s *Scheduler) evalGuard(r *request, guard string) (value, known bool) {
	switch guard {
	case "began":
		return r.ran() != result.RanNo, true
	case "frames_seen":
		return r.attempt != nil && r.attempt.framesSeen, true
	case "wanted":
		return r.wanted(), true
	case "keep_running":
		return r.keepRunning(), true
	case "may_retry":
		return s.mayRetry(r), true
	default:
		return false, false
	}
}

// chartActions and chartGuards are the names that runAction and evalGuard know.
var (
	chartActions = []string{
		"place_reservations", "decline_take", "send_body", "keep_frame", "count_late", "withdraw_reservations",
		"send_cancel", "cancel_earlier", "answer", "refuse_caller", "fail_caller", "unknown_caller",
	}
	chartGuards = []string{"began", "frames_seen", "wanted", "keep_running", "may_retry"}
)

func openChart() (*chart.Table[state, event], error) {
	table, err := chart.BindEmbedded[state, event](chartName, stateNames, eventNames)
	if err != nil {
		return nil, err
	}
	if err := requireImplemented("action", table.Chart().Actions, chartActions); err != nil {
		return nil, err
	}
	if err := requireImplemented("guard", table.Chart().Guards, chartGuards); err != nil {
		return nil, err
	}
	return table, nil
}

// requireImplemented checks that every declared name is implemented. An action that isn't would silently be
// skipped.
func requireImplemented(what string, declared []chart.Declaration, known []string) error {
	for _, item := range declared {
		if !slices.Contains(known, item.Name) {
			return result.New(result.ChartInvalid, "chart %s: no code for %s %s", chartName, what, item.Name)
		}
	}
	return nil
}

// errNotAllowed is returned by fire for an event that the chart doesn't allow; the event was counted.
var errNotAllowed = errors.New("event not allowed in this state")

// fire raises an event. Every change of a request's state goes through fire, so that a transition that the chart
// forbids can't happen, whatever the calling code does.
func (s *Scheduler) fire(r *request, e event) error {
	next, err := s.table.NextGuarded(r.state, e, func(name string) bool {
		value, _ := s.evalGuard(r, name)
		return value
	})
	if err != nil {
		s.emit(Count{Counter: ChartErrors, Code: result.ChartEventRefused, Label: s.table.EventName(e), Add: 1})
		return errNotAllowed
	}
	r.state = next.To
	for _, name := range next.Actions {
		s.runAction(r, name)
	}
	return nil
}
