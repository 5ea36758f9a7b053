package state

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	outcomeBegun     = wire.BeginOutcome_BEGIN_OUTCOME_BEGUN
	outcomeTakenOver = wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER
	outcomeOpen      = wire.BeginOutcome_BEGIN_OUTCOME_OPEN
	outcomeDone      = wire.BeginOutcome_BEGIN_OUTCOME_DONE
	outcomeUnknown   = wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN
)

// firstEpoch is the epoch of the first begin command after newLogWithEntries: its log index.
const firstEpoch = 3

// newLogWithEntries returns a log with two registered entries, e and f.
func newLogWithEntries(t require.TestingT) *log {
	l := newLog(t)
	l.accept(entry("e", 1))
	l.accept(entry("f", 1))
	return l
}

// begin applies a begin command, requires the given outcome and returns the record.
func (l *log) begin(want wire.BeginOutcome, cmd *wire.Command) *wire.Operation {
	res := l.accept(cmd)
	require.Equal(l.t, want.String(), res.GetBegin().String())
	return res.GetOperation()
}

// Each begin command must get the outcome that matches the record of its key: of the owner, of other callers, after
// completion, and with a different body.
func TestBeginOutcomes(t *testing.T) {
	l := newLogWithEntries(t)
	op := l.begin(outcomeBegun, begin("k", "e", 1, "r1"))
	require.Equal(t, uint64(firstEpoch), op.GetEpoch())
	require.Equal(t, op.String(), l.begin(outcomeBegun, begin("k", "e", 1, "r1")).String(), "repeated after a lost answer")
	l.begin(outcomeOpen, begin("k", "e", 1, "r2"))
	l.begin(outcomeOpen, begin("k", "f", 1, "r3"))
	l.refuse(result.KeyReusedWithOtherBody, begin("k", "f", 1, "r3", differentBody))
	l.accept(complete("k", "r1", firstEpoch, "pass 7"))
	require.Equal(t, "pass 7", string(l.begin(outcomeDone, begin("k", "f", 1, "r4")).GetAnswer().GetBody()))
	l.refuse(result.KeyReusedWithOtherBody, begin("k", "f", 1, "r4", differentBody))
	other := begin("k", "e", 1, "r5")
	other.GetBeginOperation().Organisation = "rival"
	l.begin(outcomeBegun, other)
}

// An entry dies with its begin command in flight, and the command is committed after the entry's successor has
// registered. It must be refused, or the key would have a record without an owner and stay unknown although nothing
// was dispatched.
func TestBeginOfUnregisteredEntryIsRefused(t *testing.T) {
	l := newLogWithEntries(t)
	l.accept(entry("e", 2))
	l.refuse(result.CutOffFromControl, begin("k", "e", 1, "r1"))
	l.refuse(result.CutOffFromControl, begin("k", "nobody", 1, "r1"))
	l.begin(outcomeBegun, begin("k", "e", 2, "r2"))
}

// Begin commands with missing or too long fields must be refused and leave no record.
func TestInvalidBeginIsRefused(t *testing.T) {
	l := newLogWithEntries(t)
	long := string(make([]byte, maxKey+1))
	for _, invalidate := range []func(*wire.BeginOperation){
		func(b *wire.BeginOperation) { b.Organisation = "" },
		func(b *wire.BeginOperation) { b.Key = "" },
		func(b *wire.BeginOperation) { b.Key = long },
		func(b *wire.BeginOperation) { b.Digest = nil },
		func(b *wire.BeginOperation) { b.Request = "" },
		func(b *wire.BeginOperation) { b.Class = long },
	} {
		l.refuse(result.BadMessage, begin("k", "e", 1, "r1", invalidate))
	}
	require.Zero(t, l.state.Counts().Operations)
}

// The owner dies and another entry takes the record over. The new owner must be given the servers of all earlier
// epochs, also after a second takeover. Otherwise it dispatches while an earlier attempt runs, and two engines work
// on one request.
func TestTakeoverListsEarlierServers(t *testing.T) {
	l := newLogWithEntries(t)
	l.begin(outcomeBegun, begin("k", "e", 1, "r1", repeatable))
	l.accept(widen("k", "e", 1, firstEpoch, "s2"))
	l.accept(endEntry("e", 1))
	op := l.begin(outcomeTakenOver, begin("k", "f", 1, "r2", repeatable))
	require.Equal(t, l.index, op.GetEpoch())
	require.Equal(t, []string{"s2", "server-e"}, op.GetEarlier())
	require.Equal(t, []string{"server-f"}, op.GetCandidates())
	l.begin(outcomeTakenOver, begin("k", "f", 1, "r2", repeatable))
	l.accept(entry("f", 2))
	op = l.begin(outcomeTakenOver, begin("k", "f", 2, "r3", repeatable))
	require.Equal(t, []string{"s2", "server-e", "server-f"}, op.GetEarlier())
	require.Equal(t, l.index, op.GetEpoch())
}

// The owner of non-repeatable work dies after a dispatch, and the caller sends the key again. The work may have run,
// so it must not be taken over, or it could run twice.
func TestNonRepeatableOperationIsNotTakenOver(t *testing.T) {
	l := newLogWithEntries(t)
	l.begin(outcomeBegun, begin("k", "e", 1, "r1"))
	l.accept(endEntry("e", 1))
	l.begin(outcomeUnknown, begin("k", "f", 1, "r2"))
	l.accept(entry("e", 2))
	l.begin(outcomeUnknown, begin("k", "e", 2, "r3"))
	l.refuse(result.AttemptSuperseded, release("k", "e", 1, firstEpoch))
	l.refuse(result.AttemptSuperseded, widen("k", "e", 1, firstEpoch, "s2"))
	l.begin(outcomeUnknown, begin("k", "f", 1, "r4"))

	l.accept(complete("k", "r1", firstEpoch, "pass 7"))
	require.Equal(t, "pass 7", string(l.begin(outcomeDone, begin("k", "f", 1, "r5")).GetAnswer().GetBody()),
		"the agent that ran it may still report the outcome")
}

// The owner dies before it lists a server, and another entry takes the record over and repeats its begin command.
// Both must get the outcome "begun", since there are no servers that have to prove anything. Otherwise the entry gets
// different outcomes for the same command, or holds a key whose work never ran.
func TestTakeoverOfUndispatchedOperation(t *testing.T) {
	l := newLogWithEntries(t)
	old := l.begin(outcomeBegun, begin("k", "e", 1, "r1", undispatched))
	l.accept(endEntry("e", 1))
	op := l.begin(outcomeBegun, begin("k", "f", 1, "r2"))
	require.Empty(t, op.GetEarlier())
	require.Equal(t, "f", op.GetOwner())
	require.Greater(t, op.GetEpoch(), old.GetEpoch())
	require.Equal(t, op.String(), l.begin(outcomeBegun, begin("k", "f", 1, "r2")).String(), "repeated after a lost answer")
	l.accept(entry("f", 2))
	l.begin(outcomeUnknown, begin("k", "f", 2, "r3"))
}

// Several completions arrive for one record, from the current and earlier epochs, before and after a takeover. The
// first valid outcome is final; otherwise callers with the same key get different answers.
func TestCompletions(t *testing.T) {
	cases := []struct {
		name  string
		setup func(l *log)
		cmd   *wire.Command
		code  result.Code
		body  string // of the stored answer
	}{
		{"owner", func(*log) {}, complete("k", "r1", firstEpoch, "a"), 0, "a"},
		{"other request", func(*log) {}, complete("k", "r9", firstEpoch, "a"), result.AttemptSuperseded, ""},
		{"future epoch", func(*log) {}, complete("k", "r1", firstEpoch+1, "a"), result.AttemptSuperseded, ""},
		{"epoch 0", func(*log) {}, complete("k", "r1", 0, "a"), result.AttemptSuperseded, ""},
		{"repeated", func(l *log) { l.accept(complete("k", "r1", firstEpoch, "a")) }, complete("k", "r1", firstEpoch, "a"), 0, "a"},
		{"another outcome", func(l *log) { l.accept(complete("k", "r1", firstEpoch, "a")) }, complete("k", "r1", firstEpoch, "b"), result.AttemptSuperseded, "a"},
		{"owner unregistered, not taken over", func(l *log) { l.accept(endEntry("e", 1)) }, complete("k", "r1", firstEpoch, "a"), 0, "a"},
		{"earlier epoch", takeOver, complete("k", "r1", firstEpoch, "a"), result.AttemptSuperseded, ""},
		{"new owner", takeOver, complete("k", "r2", secondEpoch, "a"), 0, "a"},
		{"no record", func(*log) {}, complete("other", "r1", firstEpoch, "a"), result.NotFound, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			l := newLogWithEntries(t)
			l.begin(outcomeBegun, begin("k", "e", 1, "r1", repeatable))
			test.setup(l)
			res := l.apply(test.cmd)
			require.Equal(t, test.code, result.Code(res.GetCode()), res.GetMessage())
			require.Equal(t, test.body, string(l.state.Operation("union", "k").GetAnswer().GetBody()))
		})
	}
}

// secondEpoch is the epoch after takeOver.
const secondEpoch = firstEpoch + 2

// takeOver ends entry e and lets entry f take its record over.
func takeOver(l *log) {
	l.accept(endEntry("e", 1))
	l.begin(outcomeTakenOver, begin("k", "f", 1, "r2", repeatable))
}

// Non-repeatable work ran at most once, so a report from an earlier epoch must be stored, and later outcomes refused.
func TestEarlierEpochMayCompleteNonRepeatableOperation(t *testing.T) {
	l := newLogWithEntries(t)
	l.begin(outcomeBegun, begin("k", "e", 1, "r1", undispatched))
	l.accept(endEntry("e", 1))
	op := l.begin(outcomeBegun, begin("k", "f", 1, "r2"))
	l.accept(complete("k", "r1", firstEpoch, "a"))
	l.refuse(result.AttemptSuperseded, complete("k", "r2", op.GetEpoch(), "b"))
	l.begin(outcomeDone, begin("k", "f", 1, "r3"))
}

// The owner proposes a release, is considered dead, and the record is taken over before the release commits. A
// release must be valid for its epoch only, or it would free a key whose work is running.
func TestReleases(t *testing.T) {
	l := newLogWithEntries(t)
	l.begin(outcomeBegun, begin("k", "e", 1, "r1", repeatable))
	l.refuse(result.AttemptSuperseded, release("k", "f", 1, firstEpoch))
	l.refuse(result.AttemptSuperseded, release("k", "e", 2, firstEpoch))
	takenOver := l.index + 2
	takeOver(l)
	l.refuse(result.AttemptSuperseded, release("k", "e", 1, firstEpoch))
	l.refuse(result.AttemptSuperseded, widen("k", "e", 1, firstEpoch, "s"))
	l.refuse(result.AttemptSuperseded, release("k", "f", 1, firstEpoch))
	l.accept(release("k", "f", 1, takenOver))
	l.accept(release("k", "f", 1, takenOver))
	l.refuse(result.NotFound, widen("k", "f", 1, takenOver, "s"))
	newRecord := l.begin(outcomeBegun, begin("k", "f", 1, "r3", differentBody))
	require.Greater(t, newRecord.GetEpoch(), takenOver, "attempt numbers of the released record are reused")
	l.refuse(result.AttemptSuperseded, release("k", "f", 1, takenOver))
	l.accept(complete("k", "r3", newRecord.GetEpoch(), "a"))
	l.refuse(result.AttemptSuperseded, release("k", "f", 1, newRecord.GetEpoch()))
}

// An entry takes a record over, ends its call without the proofs, and gives the record back; another entry begins.
// The record must be taken over at once, or callers wait until their deadlines. The earlier servers must stay listed,
// or two engines work on one request.
func TestGiveBack(t *testing.T) {
	l := newLogWithEntries(t)
	giveBack := func(epoch uint64) *wire.Command {
		cmd := release("k", "f", 1, epoch)
		cmd.GetReleaseOperation().GiveBack = true
		return cmd
	}
	l.begin(outcomeBegun, begin("k", "e", 1, "r1", repeatable))
	takeOver(l)
	l.refuse(result.AttemptSuperseded, giveBack(firstEpoch))
	l.accept(giveBack(secondEpoch))
	l.refuse(result.AttemptSuperseded, giveBack(secondEpoch))
	l.refuse(result.AttemptSuperseded, widen("k", "f", 1, secondEpoch, "s"))
	l.restart()
	op := l.begin(outcomeTakenOver, begin("k", "f", 1, "r3", repeatable))
	require.Equal(t, []string{"server-e"}, op.GetEarlier(), "nothing was dispatched in the epoch given back")
	require.Greater(t, op.GetEpoch(), uint64(secondEpoch))
}

// The limits on records, stored answers and listed servers must hold, and an answer beyond them must lose only its
// body.
func TestOperationLimits(t *testing.T) {
	limits := DefaultLimits
	limits.Operations, limits.AnswerBytes, limits.TotalAnswerBytes, limits.Servers = 4, 10, 15, 2
	l := newLog(t)
	l.state = newState(limits)
	l.accept(entry("e", 1))
	l.accept(entry("f", 1))
	for i := range 4 {
		l.begin(outcomeBegun, begin(fmt.Sprint(i), "e", 1, "r"))
	}
	l.refuse(result.QueueFull, begin("4", "e", 1, "r"))
	l.begin(outcomeOpen, begin("0", "e", 1, "other"))
	epochOf := func(key string) uint64 { return l.state.Operation("union", key).GetEpoch() }
	storedAnswer := func(key, body string) *wire.Answer {
		return l.accept(complete(key, "r", epochOf(key), body)).GetOperation().GetAnswer()
	}
	require.True(t, storedAnswer("0", "12345678901").GetDropped())
	l.accept(complete("0", "r", epochOf("0"), "12345678901"))
	require.False(t, storedAnswer("1", "1234567890").GetDropped())
	require.True(t, storedAnswer("2", "123456").GetDropped(), "the stored bodies would exceed TotalAnswerBytes")
	require.Equal(t, 10, l.state.Counts().AnswerBytes)
	l.refuse(result.QueueFull, widen("3", "e", 1, epochOf("3"), "s", "t"))
	l.accept(widen("3", "e", 1, epochOf("3"), "s"))
	tooMany := begin("3", "e", 1, "r", func(b *wire.BeginOperation) { b.Candidates = []string{"t"} })
	l.refuse(result.BadMessage, tooMany)
}

// uuidv7 returns a version 7 UUID with the given time, in milliseconds since 1970.
func uuidv7(ms uint64) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: 1}
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// The record of a key expires, and the caller sends the key again, possibly months later. The key must not be
// accepted as new if its work must not run a second time.
func TestExpiredKeys(t *testing.T) {
	done := func(l *log, key string) { l.accept(complete(key, "r1", firstEpoch, "a")) }
	ownerEnded := func(l *log, _ string) { l.accept(endEntry("e", 1)) }
	unknown := func(l *log, key string) {
		l.accept(endEntry("e", 1))
		l.begin(outcomeUnknown, begin(key, "f", 1, "r2"))
	}
	ownerRegistered := func(*log, string) {}
	plain := "order 7"
	cases := []struct {
		name      string
		key       string
		options   []func(*wire.BeginOperation)
		end       func(*log, string)
		isKept    bool
		digests   int
		isRefused bool
	}{
		{"not repeatable, done", plain, nil, done, false, 1, true},
		{"not repeatable, unknown", plain, nil, unknown, false, 1, true},
		{"not repeatable, owner unregistered", plain, nil, ownerEnded, false, 1, true},
		{"repeatable, done", plain, []func(*wire.BeginOperation){repeatable}, done, false, 0, false},
		{"repeatable, owner unregistered", plain, []func(*wire.BeginOperation){repeatable}, ownerEnded, false, 1, true},
		{"owner registered", plain, nil, ownerRegistered, true, 0, false},
		{"UUIDv7, done", uuidv7(999_000), nil, done, false, 0, true},
		{"UUIDv7 of a clock ahead, done", uuidv7(9_000_000), nil, done, false, 1, true},
		{"UUIDv7, repeatable, done", uuidv7(999_000), []func(*wire.BeginOperation){repeatable}, done, false, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			l := newLogWithEntries(t)
			l.begin(outcomeBegun, begin(test.key, "e", 1, "r1", test.options...))
			test.end(l, test.key)
			l.now += 5000
			l.accept(expire(l.now))
			require.Equal(t, test.isKept, l.state.Operation("union", test.key) != nil)
			require.Equal(t, test.digests, l.state.Counts().ExpiredKeys)
			l.state = Restore(l.state.Snapshot())
			if test.isKept {
				return
			}
			again := begin(test.key, "f", 1, "r9", test.options...)
			if test.isRefused {
				l.refuse(result.KeyTooOld, again)
			} else {
				l.begin(outcomeBegun, again)
			}
		})
	}
}

// Expiry must stay within its batch size and the limit of digests; records without room for a digest are kept.
func TestExpiryIsBounded(t *testing.T) {
	limits := DefaultLimits
	limits.ExpiredKeys = 2
	l := newLog(t)
	l.state = newState(limits)
	l.accept(entry("e", 1))
	for i := range 4 {
		l.begin(outcomeBegun, begin(fmt.Sprint(i), "e", 1, "r"))
		l.accept(complete(fmt.Sprint(i), "r", 1, "a"))
	}
	l.now += 10
	limited := expire(l.now)
	limited.GetExpireOperations().Limit = 1
	l.accept(limited)
	require.Equal(t, 3, l.state.Counts().Operations)
	l.accept(expire(l.now + 1_000_000))
	require.Equal(t, 2, l.state.Counts().Operations, "records without room for a digest are kept")
	require.Equal(t, 2, l.state.Counts().ExpiredKeys)
	require.Equal(t, l.now, l.state.operations.expiredBeforeUnixMS, "the expiry cutoff is not after the clock")
	l.begin(outcomeDone, begin("3", "e", 1, "r2"))
	l.refuse(result.KeyTooOld, begin("0", "e", 1, "r2"))
}

// Above 7/8 of the limit on operations, the oldest records must expire early, or new requests would be refused.
func TestCapacityExpiryCutoff(t *testing.T) {
	limits := DefaultLimits
	limits.Operations = 8
	l := newLog(t)
	l.state = newState(limits)
	l.accept(entry("e", 1))
	for i := range 8 {
		require.Zero(t, l.state.CapacityExpiryCutoff())
		l.now += 10
		l.begin(outcomeBegun, begin(fmt.Sprint(i), "e", 1, "r"))
	}
	require.Equal(t, l.state.operations.first.begunUnixMS+1, l.state.CapacityExpiryCutoff())
}

// Only the text form of a version 7 UUID may be read as a key with a timestamp.
func TestKeyTimestamp(t *testing.T) {
	ms, ok := keyTimestamp("0190a5b4-3c2d-7abc-8def-0123456789ab")
	require.True(t, ok)
	require.Equal(t, uint64(0x0190a5b43c2d), ms)
	for _, key := range []string{
		"", "order 7",
		"0190a5b4-3c2d-4abc-8def-0123456789ab", // version 4
		"0190a5b4-3c2d-7abc-cdef-0123456789ab", // another variant
		"0190a5b4-3c2d-7abc-8def-0123456789ag",
		"0190a5b4_3c2d-7abc-8def-0123456789ab",
		"0190a5b-43c2d-7abc-8def-0123456789ab",
	} {
		_, ok := keyTimestamp(key)
		require.False(t, ok, key)
	}
}
