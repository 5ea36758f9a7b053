package spec

// Guard is a rule that the protocols rely on. A model without it has to violate an invariant.
type Guard uint8

// The guards.
const (
	// GuardTombstone: an agent remembers every attempt that it refused, cancelled or ended, and refuses its dispatch.
	GuardTombstone Guard = iota
	// GuardKnownAttempt: a message about an attempt under way is never answered with "never started", whoever sent it.
	GuardKnownAttempt
	// GuardProofBeforeRetry: a lost link is no proof that an attempt is over.
	GuardProofBeforeRetry
	// GuardFirstTaker: a reserved request's body goes to the first offer only.
	GuardFirstTaker
	// GuardCancelAllAtStart: a new incarnation of an agent cancels all that its engine runs before it shows itself.
	GuardCancelAllAtStart
	// GuardSettledCalls: what a dead agent or a closed connection left on its way to the engine is waited for before an
	// engine that doesn't know an attempt counts as free of it.
	GuardSettledCalls
	// GuardSameIncarnation: a message to one incarnation of an agent never reaches the next.
	GuardSameIncarnation
	// GuardPredecessor: an agent doesn't say "never started" of what an earlier incarnation may have run.
	GuardPredecessor
	// GuardBeganIsProved: a proof that an attempt is over isn't taken for a proof that it began.
	GuardBeganIsProved
	// GuardIgnoranceProvesNothing: an engine that doesn't know an attempt may have run it before it started again.
	GuardIgnoranceProvesNothing
	// GuardCommitBeforeDispatch: the operation record is committed before the first dispatch.
	GuardCommitBeforeDispatch
	// GuardOwnerGone: a record is taken over only once control has ended its owner's incarnation.
	GuardOwnerGone
	// GuardEpochTakeover: a takeover raises the epoch, so that the new owner's attempt numbers are above the old one's.
	GuardEpochTakeover
	// GuardEarlierProofs: after a takeover every server that the old owner may have sent to proves its attempts over.
	GuardEarlierProofs
	// GuardUnknownForever: work that may not be repeated is never run again once it may have run.
	GuardUnknownForever
	// GuardSpentRequest: an entry doesn't begin a request of its own again whose attempts aren't proved over.
	GuardSpentRequest
	// GuardEndedAtRestart: a restarted agent refuses entry incarnations that were ended before it started.
	GuardEndedAtRestart
	// GuardEndedStaysEnded: control never registers an ended incarnation again.
	GuardEndedStaysEnded
	// GuardWholeAnswer: an answer is given only with all its frames.
	GuardWholeAnswer
	// GuardPresentFrames: only frames of the present attempt count.
	GuardPresentFrames
	// GuardNoneInFlight: a server is drained only with nothing in flight.
	GuardNoneInFlight

	// GuardPersistVote: a vote is on disk before it is sent.
	GuardPersistVote
	// GuardSyncBeforeAcknowledge: entries are on disk before they are acknowledged.
	GuardSyncBeforeAcknowledge
	// GuardUpToDateVote: a vote goes only to a log that holds all that the voter's does.
	GuardUpToDateVote
	// GuardOwnTermCommit: a leader counts replicas only for entries of its own term.
	GuardOwnTermCommit
	// GuardOneVote: a replica votes once in a term.
	GuardOneVote
	// GuardNewIdentityForWipedDisk: an instance with a wiped disk comes back as another replica.
	GuardNewIdentityForWipedDisk
	// GuardOneChangeAtATime: a change of replicas begins only after the one before is committed.
	GuardOneChangeAtATime
	// GuardLearnerCaughtUp: a learner gets its vote, and its predecessor loses its own, only once it holds the log.
	GuardLearnerCaughtUp
	// GuardHighestVersion: who knows a version of the configuration takes no lower one.
	GuardHighestVersion

	// GuardFence: an agent refuses orders with a lower fence number than the highest it knows.
	GuardFence
	// GuardFenceAtStart: a restarted agent takes no order before it knows the committed fence number.
	GuardFenceAtStart
	// GuardFenceAtCall: the fence is looked at before each call to the engine, not only when an order comes.
	GuardFenceAtCall
	// GuardSettledOrders: a call for an order that was given up is waited for before the next order's call.
	GuardSettledOrders

	// GuardCommitBeforeAcknowledge: an order of a roll-out is acknowledged once it is committed.
	GuardCommitBeforeAcknowledge
	// GuardSameVersion: an order of the version that the pool's last roll-out is for changes nothing, also after its end.
	GuardSameVersion
	// GuardOneRollout: an order of another version is refused while a roll-out is in progress.
	GuardOneRollout
	// GuardFirstVerdict: a verdict changes only a roll-out in progress.
	GuardFirstVerdict
	// GuardVerdictID: a verdict names the roll-out that it was given for.
	GuardVerdictID
	// GuardCommittedVerdict: entries hear of a verdict only once it is committed.
	GuardCommittedVerdict
	// GuardEvidenceFromLog: a leader counts the evidence of the log besides what it has heard itself.
	GuardEvidenceFromLog
	// GuardAppliedBeforeComplete: a new leader completes nothing before it has applied what was committed before its term.
	GuardAppliedBeforeComplete
	// GuardKnownVerdict: an entry that knows a verdict takes no earlier state of that roll-out, nor an earlier roll-out.
	GuardKnownVerdict

	guardCount
)

var guardNames = [guardCount]string{
	"tombstone", "known_attempt", "proof_before_retry", "first_taker", "cancel_all_at_start", "settled_calls", "same_incarnation",
	"predecessor", "began_is_proved", "ignorance_proves_nothing",
	"commit_before_dispatch", "owner_gone", "epoch_takeover", "earlier_proofs",
	"unknown_forever", "spent_request", "ended_at_restart", "ended_stays_ended", "whole_answer", "present_frames",
	"none_in_flight",
	"persist_vote", "sync_before_acknowledge", "up_to_date_vote", "own_term_commit", "one_vote",
	"new_identity_for_wiped_disk", "one_change_at_a_time", "learner_caught_up", "highest_version",
	"fence", "fence_at_start", "fence_at_call", "settled_orders",
	"commit_before_acknowledge", "same_version", "one_rollout", "first_verdict", "verdict_id", "committed_verdict",
	"evidence_from_log", "applied_before_complete", "known_verdict",
}

// String returns the guard's name in snake case.
func (g Guard) String() string {
	if g >= guardCount {
		return "unknown"
	}
	return guardNames[g]
}

// Guards is a set of guards.
type Guards uint64

// AllGuards holds every guard.
const AllGuards = Guards(1)<<guardCount - 1

// Without returns the set without a guard.
func (g Guards) Without(guard Guard) Guards {
	return g &^ (1 << guard)
}

func (g Guards) has(guard Guard) bool {
	return g&(1<<guard) != 0
}
