package chart_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/chart"
)

// eachBranch calls f for each branch of an embedded chart: list[i] of the event in the state from.
func eachBranch(t *testing.T, name string, f func(from chart.State, event string, list []chart.Branch, i int)) {
	t.Helper()
	c, err := chart.LoadEmbedded(name)
	require.NoError(t, err)
	for _, state := range c.States {
		for event, list := range state.On {
			for i := range list {
				f(state, event, list, i)
			}
		}
	}
}

// excludes reports whether list[i] is taken only if the named boolean is false: because its own guards say so, or because
// an earlier branch is taken whenever the boolean is true and the guards of list[i] hold.
func excludes(list []chart.Branch, i int, name string) bool {
	holds, negated := chart.Guard{Name: name}, chart.Guard{Name: name, Not: true}
	if slices.Contains(list[i].Guards, negated) {
		return true
	}
	return slices.ContainsFunc(list[:i], func(earlier chart.Branch) bool {
		return slices.Contains(earlier.Guards, holds) && !slices.ContainsFunc(earlier.Guards, func(g chart.Guard) bool {
			return g != holds && !slices.Contains(list[i].Guards, g)
		})
	})
}

// Guards against a request that runs on two engines at a time: its agent doesn't answer, and the entry dispatches the
// request again without proof that the attempt is over, or sends the body to a second agent that takes an old
// reservation.
func TestRequestIsDispatchedAgainOnlyAfterAProof(t *testing.T) {
	waiting := []string{"queued", "reserved"}
	proofEvents := []string{"never_started", "cancel_confirmed", "attempt_failed", "proved_over", "earlier_over"}
	eachBranch(t, "request", func(from chart.State, event string, list []chart.Branch, i int) {
		at := from.Name + " " + event
		sends := slices.Contains(list[i].Actions, "send_body")
		require.Equal(t, sends, slices.Contains(waiting, from.Name) && list[i].To == "dispatched", at)
		if sends {
			require.Contains(t, waiting, from.Name, at)
		}
		if !slices.Contains(waiting, from.Name) && slices.Contains(waiting, list[i].To) {
			require.Contains(t, proofEvents, event, at)
		}
		if event == "take" && from.Name != "reserved" {
			require.Equal(t, []string{"decline_take"}, list[i].Actions, at)
		}
	})
}

// Guards against telling a caller "ran: no" for work that an engine began: an attempt runs and is cancelled, the request
// is queued again, and is then refused for lack of capacity by a check of its present state only.
func TestRequestIsRefusedOnlyIfNoAttemptBegan(t *testing.T) {
	eachBranch(t, "request", func(from chart.State, event string, list []chart.Branch, i int) {
		if list[i].To == "refused" && from.Name != "refused" {
			waits := from.Name == "queued" || from.Name == "reserved"
			require.True(t, waits || event == "never_started", "%s %s", from.Name, event)
			require.True(t, excludes(list, i, "began"), "%s %s", from.Name, event)
		}
	})
}

// Guards against an agent that reports "never started" for an attempt that runs or ran, or that starts it later: after an
// attempt was sent to the engine and cancelled, its dispatch arrives a second time, or the engine's answer to the
// cancellation proves nothing. The report is allowed only before the engine may know the attempt, and needs a tombstone.
func TestAgentReportsNeverStartedOnlyWithProof(t *testing.T) {
	beforeEngineCall := []string{"absent", "reserved", "offered", "admitted"}
	// An engine that has stopped a run, or doesn't hold it any more, runs it again only if it is resumed.
	suspensionReports := []string{"suspension_confirmed", "suspension_lost", "resume_unsent"}
	terminalReports := append([]string{"finish", "engine_failed", "engine_cancelled", "never_sent"}, suspensionReports...)
	eachBranch(t, "attempt", func(from chart.State, event string, list []chart.Branch, i int) {
		b, at := list[i], from.Name+" "+event
		if slices.Contains(b.Actions, "reply_never_started") {
			require.True(t, slices.Contains(beforeEngineCall, from.Name) || event == "never_sent", at)
			require.Equal(t, "tombstoned", b.To, at)
		}
		if b.To == "tombstoned" && !from.Final {
			require.Contains(t, b.Actions, "keep_tombstone", at)
		}
		if slices.Contains(b.Actions, "start_engine") {
			require.Equal(t, "admitted", from.Name, at)
			for _, name := range []string{"engine_cleared", "lease_valid", "only_one"} {
				require.Contains(t, b.Guards, chart.Guard{Name: name}, at)
			}
		}
		if from.Name == "cancelling" && b.To == "tombstoned" {
			hasProof := len(b.Guards) == 1 && (b.Guards[0].Name == "engine_knows" || b.Guards[0].Name == "run_over")
			require.True(t, slices.Contains(terminalReports, event) || hasProof, at)
		}
	})
}

// Guards against two owners of a run that was suspended: it goes on although its attempt was reported as over, or it is
// resumed while the call that it was stopped in is still open, so that events of both calls are mixed.
func TestSuspendedRunIsResumedOnlyByItsAttempt(t *testing.T) {
	eachBranch(t, "attempt", func(from chart.State, event string, list []chart.Branch, i int) {
		b, at := list[i], from.Name+" "+event
		if slices.Contains(b.Actions, "resume_engine") {
			require.Equal(t, "suspended resume", at)
			require.Contains(t, b.Guards, chart.Guard{Name: "call_over"}, at)
			require.Contains(t, b.Guards, chart.Guard{Name: "lease_valid"}, at)
		}
		if from.Name == "suspended" && b.To == "tombstoned" {
			require.Contains(t, b.Actions, "discard_suspended", at)
		}
		if b.To == "suspended" && from.Name != "suspended" {
			require.Contains(t, []string{"suspension_confirmed", "resume_unsent"}, event, at)
			require.Equal(t, []string{"release_slot"}, b.Actions, at)
		}
		if slices.Contains(b.Actions, "suspend_engine") {
			require.Equal(t, "running suspend", at)
		}
	})
}

// Guards against new work for a backend server that is leaving: it announces itself each second, also while it drains,
// and an announcement must not cancel the leave.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	leaving := []string{"leaving", "draining", "drained"}
	eachBranch(t, "server", func(from chart.State, event string, list []chart.Branch, i int) {
		if slices.Contains(leaving, from.Name) {
			require.Contains(t, leaving, list[i].To, "%s %s", from.Name, event)
		}
		if slices.Contains(list[i].Actions, "allow_new_work") {
			require.Equal(t, "ready", list[i].To, "%s %s", from.Name, event)
		}
	})
}

// Guards against two leaders in one term, and against a leader that never had the log: a learner or a removed replica
// without contact to the leader must not start an election. Only a voter that won the vote becomes leader.
func TestOnlyElectedVoterBecomesLeader(t *testing.T) {
	eachBranch(t, "replica", func(from chart.State, event string, list []chart.Branch, i int) {
		b, at := list[i], from.Name+" "+event
		if b.To == "leader" {
			require.Equal(t, "candidate vote_won", at)
		}
		if b.To == "candidate" {
			require.Equal(t, "pre_candidate pre_vote_won", at)
			require.Contains(t, b.Guards, chart.Guard{Name: "voter"})
		}
		if from.Name == "leader" && b.To != "leader" {
			require.Contains(t, b.Actions, "step_down", at)
		}
	})
}

// Guards against unloading the last ready copy of a model that is in demand: an order to unload is sent, the other copy
// disappears, and a new leader sends the order again without repeating the check.
func TestOrderIsCheckedAtEachSending(t *testing.T) {
	eachBranch(t, "order", func(from chart.State, event string, list []chart.Branch, i int) {
		if slices.Contains(list[i].Actions, "send_order") {
			for _, name := range []string{"leader", "other_ready_copy"} {
				require.Contains(t, list[i].Guards, chart.Guard{Name: name}, from.Name)
			}
		}
	})
}
