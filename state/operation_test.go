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
	isBegun     = wire.BeginOutcome_BEGIN_OUTCOME_BEGUN
	isTakenOver = wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER
	isOpen      = wire.BeginOutcome_BEGIN_OUTCOME_OPEN
	isDone      = wire.BeginOutcome_BEGIN_OUTCOME_DONE
	isUnknown   = wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN
)

// firstEpoch is the epoch of the first begin after operations, at this index of the log.
const firstEpoch = 3

// operations returns a log with two registered entries, e and f.
func operations(t require.TestingT) *log {
	l := newLog(t)
	l.accept(entry("e", 1))
	l.accept(entry("f", 1))
	return l
}

// begin expects an outcome and returns the record.
func (l *log) begin(want wire.BeginOutcome, cmd *wire.Command) *wire.Operation {
	res := l.accept(cmd)
	require.Equal(l.t, want.String(), res.GetBegin().String())
	return res.GetOperation()
}

func TestBeginOutcomes(t *testing.T) {
	l := operations(t)
	op := l.begin(isBegun, begin("k", "e", 1, "r1"))
	require.Equal(t, uint64(firstEpoch), op.GetEpoch())
	require.Equal(t, op.String(), l.begin(isBegun, begin("k", "e", 1, "r1")).String(), "sent again after a lost answer")
	l.begin(isOpen, begin("k", "e", 1, "r2"))
	l.begin(isOpen, begin("k", "f", 1, "r3"))
	l.refuse(result.KeyReusedWithOtherBody, begin("k", "f", 1, "r3", otherBody))
	l.accept(complete("k", "r1", firstEpoch, "pass 7"))
	require.Equal(t, "pass 7", string(l.begin(isDone, begin("k", "f", 1, "r4")).GetAnswer().GetBody()))
	l.refuse(result.KeyReusedWithOtherBody, begin("k", "f", 1, "r4", otherBody))
	other := begin("k", "e", 1, "r5")
	other.GetBeginOperation().Organisation = "rival"
	l.begin(isBegun, other)
}

// Symptom: a key is unknown for good though nothing was dispatched for it.
// Sequence: an entry dies with its begin on the way; the begin is committed after its successor has registered.
// Cause: a record that nobody serves.
func TestBeginOfADeadEntry(t *testing.T) {
	l := operations(t)
	l.accept(entry("e", 2))
	l.refuse(result.CutOffFromControl, begin("k", "e", 1, "r1"))
	l.refuse(result.CutOffFromControl, begin("k", "nobody", 1, "r1"))
	l.begin(isBegun, begin("k", "e", 2, "r2"))
}

func TestBadBegin(t *testing.T) {
	l := operations(t)
	long := string(make([]byte, maxKey+1))
	for _, spoil := range []func(*wire.BeginOperation){
		func(b *wire.BeginOperation) { b.Organisation = "" },
		func(b *wire.BeginOperation) { b.Key = "" },
		func(b *wire.BeginOperation) { b.Key = long },
		func(b *wire.BeginOperation) { b.Digest = nil },
		func(b *wire.BeginOperation) { b.Request = "" },
		func(b *wire.BeginOperation) { b.Class = long },
	} {
		l.refuse(result.BadMessage, begin("k", "e", 1, "r1", spoil))
	}
	require.Zero(t, l.state.Counts().Operations)
}

// Symptom: two engines work on one request.
// Sequence: the owner dies; another entry takes the record over and dispatches at once.
// Cause: the servers of the first epoch aren't named to the new owner, or not kept over a second takeover.
func TestTakeoverNamesEarlierServers(t *testing.T) {
	l := operations(t)
	l.begin(isBegun, begin("k", "e", 1, "r1", repeatable))
	l.accept(widen("k", "e", 1, firstEpoch, "s2"))
	l.accept(endEntry("e", 1))
	op := l.begin(isTakenOver, begin("k", "f", 1, "r2", repeatable))
	require.Equal(t, l.index, op.GetEpoch())
	require.Equal(t, []string{"s2", "server-e"}, op.GetEarlier())
	require.Equal(t, []string{"server-f"}, op.GetCandidates())
	l.begin(isTakenOver, begin("k", "f", 1, "r2", repeatable))
	l.accept(entry("f", 2))
	op = l.begin(isTakenOver, begin("k", "f", 2, "r3", repeatable))
	require.Equal(t, []string{"s2", "server-e", "server-f"}, op.GetEarlier())
	require.Equal(t, l.index, op.GetEpoch())
}

// Symptom: a pass is issued twice.
// Sequence: the owner of work that may not be repeated dies after a dispatch; the caller sends the key again.
// Cause: a takeover of work that may have run.
func TestNotRepeatableIsNeverTakenOver(t *testing.T) {
	l := operations(t)
	l.begin(isBegun, begin("k", "e", 1, "r1"))
	l.accept(endEntry("e", 1))
	l.begin(isUnknown, begin("k", "f", 1, "r2"))
	l.accept(entry("e", 2))
	l.begin(isUnknown, begin("k", "e", 2, "r3"))
	l.refuse(result.AttemptSuperseded, release("k", "e", 1, firstEpoch))
	l.refuse(result.AttemptSuperseded, widen("k", "e", 1, firstEpoch, "s2"))
	l.begin(isUnknown, begin("k", "f", 1, "r4"))

	l.accept(complete("k", "r1", firstEpoch, "pass 7"))
	require.Equal(t, "pass 7", string(l.begin(isDone, begin("k", "f", 1, "r5")).GetAnswer().GetBody()),
		"the agent that ran it can still say how it ended")
}

// Symptom: an entry hears "taken over" and later, for the same begin, "begun", or holds a key whose work never ran.
// Sequence: the owner dies before it names a server; another entry takes the record over, and sends its begin again.
// Cause: a takeover is told by its epoch, or without servers to prove.
func TestUndispatchedIsTakenOver(t *testing.T) {
	l := operations(t)
	old := l.begin(isBegun, begin("k", "e", 1, "r1", undispatched))
	l.accept(endEntry("e", 1))
	op := l.begin(isBegun, begin("k", "f", 1, "r2"))
	require.Empty(t, op.GetEarlier())
	require.Equal(t, "f", op.GetOwner())
	require.Greater(t, op.GetEpoch(), old.GetEpoch())
	require.Equal(t, op.String(), l.begin(isBegun, begin("k", "f", 1, "r2")).String(), "sent again after a lost answer")
	l.accept(entry("f", 2))
	l.begin(isUnknown, begin("k", "f", 2, "r3"))
}

// Symptom: a caller gets one answer, and the next caller with the same key another.
// Sequence: several completions for one record, from the present and from earlier epochs, before and after a takeover.
// Cause: an outcome that is replaced, or one that another epoch's attempt made while the present one goes on.
func TestCompletions(t *testing.T) {
	cases := []struct {
		name  string
		setup func(l *log)
		cmd   *wire.Command
		code  result.Code
		body  string // kept afterwards
	}{
		{"owner", func(*log) {}, complete("k", "r1", firstEpoch, "a"), 0, "a"},
		{"other request", func(*log) {}, complete("k", "r9", firstEpoch, "a"), result.AttemptSuperseded, ""},
		{"epoch to come", func(*log) {}, complete("k", "r1", firstEpoch+1, "a"), result.AttemptSuperseded, ""},
		{"epoch 0", func(*log) {}, complete("k", "r1", 0, "a"), result.AttemptSuperseded, ""},
		{"sent again", func(l *log) { l.accept(complete("k", "r1", firstEpoch, "a")) }, complete("k", "r1", firstEpoch, "a"), 0, "a"},
		{"another outcome", func(l *log) { l.accept(complete("k", "r1", firstEpoch, "a")) }, complete("k", "r1", firstEpoch, "b"), result.AttemptSuperseded, "a"},
		{"owner is gone, not taken over", func(l *log) { l.accept(endEntry("e", 1)) }, complete("k", "r1", firstEpoch, "a"), 0, "a"},
		{"earlier epoch", takeOver, complete("k", "r1", firstEpoch, "a"), result.AttemptSuperseded, ""},
		{"new owner", takeOver, complete("k", "r2", secondEpoch, "a"), 0, "a"},
		{"no record", func(*log) {}, complete("other", "r1", firstEpoch, "a"), result.NotFound, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			l := operations(t)
			l.begin(isBegun, begin("k", "e", 1, "r1", repeatable))
			test.setup(l)
			res := l.apply(test.cmd)
			require.Equal(t, test.code, result.Code(res.GetCode()), res.GetMessage())
			require.Equal(t, test.body, string(l.state.Operation("union", "k").GetAnswer().GetBody()))
		})
	}
}

// secondEpoch is the epoch after takeOver.
const secondEpoch = firstEpoch + 2

func takeOver(l *log) {
	l.accept(endEntry("e", 1))
	l.begin(isTakenOver, begin("k", "f", 1, "r2", repeatable))
}

func TestEarlierEpochOfNotRepeatableWorkMayComplete(t *testing.T) {
	l := operations(t)
	l.begin(isBegun, begin("k", "e", 1, "r1", undispatched))
	l.accept(endEntry("e", 1))
	op := l.begin(isBegun, begin("k", "f", 1, "r2"))
	l.accept(complete("k", "r1", firstEpoch, "a"))
	l.refuse(result.AttemptSuperseded, complete("k", "r2", op.GetEpoch(), "b"))
	l.begin(isDone, begin("k", "f", 1, "r3"))
}

// Symptom: a key is free while its work runs.
// Sequence: the owner proposes a release, is taken for dead, and the record is taken over before the release commits.
// Cause: a release that isn't tied to the epoch.
func TestReleases(t *testing.T) {
	l := operations(t)
	l.begin(isBegun, begin("k", "e", 1, "r1", repeatable))
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
	anew := l.begin(isBegun, begin("k", "f", 1, "r3", otherBody))
	require.Greater(t, anew.GetEpoch(), takenOver, "attempt numbers of the released record are used again")
	l.refuse(result.AttemptSuperseded, release("k", "f", 1, takenOver))
	l.accept(complete("k", "r3", anew.GetEpoch(), "a"))
	l.refuse(result.AttemptSuperseded, release("k", "f", 1, anew.GetEpoch()))
}

// Symptom: callers wait for a key until their deadlines though nobody works on it, or two engines work on one request.
// Sequence: an entry takes a record over and ends its call without the proofs; it gives the record back; another entry
// begins. Cause: the record stays with an owner that lives, or its earlier servers are forgotten with the owner.
func TestGiveBack(t *testing.T) {
	l := operations(t)
	giveBack := func(epoch uint64) *wire.Command {
		cmd := release("k", "f", 1, epoch)
		cmd.GetReleaseOperation().GiveBack = true
		return cmd
	}
	l.begin(isBegun, begin("k", "e", 1, "r1", repeatable))
	takeOver(l)
	l.refuse(result.AttemptSuperseded, giveBack(firstEpoch))
	l.accept(giveBack(secondEpoch))
	l.refuse(result.AttemptSuperseded, giveBack(secondEpoch))
	l.refuse(result.AttemptSuperseded, widen("k", "f", 1, secondEpoch, "s"))
	l.restart()
	op := l.begin(isTakenOver, begin("k", "f", 1, "r3", repeatable))
	require.Equal(t, []string{"server-e"}, op.GetEarlier(), "nothing was dispatched in the epoch given back")
	require.Greater(t, op.GetEpoch(), uint64(secondEpoch))
}

func TestBoundsOfOperations(t *testing.T) {
	limits := DefaultLimits
	limits.Operations, limits.AnswerBytes, limits.TotalAnswerBytes, limits.Servers = 4, 10, 15, 2
	l := newLog(t)
	l.state = newState(limits)
	l.accept(entry("e", 1))
	l.accept(entry("f", 1))
	for i := range 4 {
		l.begin(isBegun, begin(fmt.Sprint(i), "e", 1, "r"))
	}
	l.refuse(result.QueueFull, begin("4", "e", 1, "r"))
	l.begin(isOpen, begin("0", "e", 1, "other"))
	epochOf := func(key string) uint64 { return l.state.Operation("union", key).GetEpoch() }
	kept := func(key, body string) *wire.Answer {
		return l.accept(complete(key, "r", epochOf(key), body)).GetOperation().GetAnswer()
	}
	require.True(t, kept("0", "12345678901").GetDropped())
	l.accept(complete("0", "r", epochOf("0"), "12345678901"))
	require.False(t, kept("1", "1234567890").GetDropped())
	require.True(t, kept("2", "123456").GetDropped(), "too much is kept already")
	require.Equal(t, 10, l.state.Counts().AnswerBytes)
	l.refuse(result.QueueFull, widen("3", "e", 1, epochOf("3"), "s", "t"))
	l.accept(widen("3", "e", 1, epochOf("3"), "s"))
	tooMany := begin("3", "e", 1, "r", func(b *wire.BeginOperation) { b.Candidates = []string{"t"} })
	l.refuse(result.BadMessage, tooMany)
}

func uuidv7(ms uint64) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: 1}
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// Symptom: a key whose record has expired runs its work a second time.
// Sequence: the work ran; its record was forgotten by age; the caller sends the key again, perhaps months later.
// Cause: a forgotten key that looks like a new one.
func TestExpiredKeys(t *testing.T) {
	ended := func(l *log, key string) { l.accept(complete(key, "r1", firstEpoch, "a")) }
	gone := func(l *log, _ string) { l.accept(endEntry("e", 1)) }
	unknown := func(l *log, key string) {
		l.accept(endEntry("e", 1))
		l.begin(isUnknown, begin(key, "f", 1, "r2"))
	}
	nothing := func(*log, string) {}
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
		{"not repeatable, done", plain, nil, ended, false, 1, true},
		{"not repeatable, unknown", plain, nil, unknown, false, 1, true},
		{"not repeatable, owner gone", plain, nil, gone, false, 1, true},
		{"repeatable, done", plain, []func(*wire.BeginOperation){repeatable}, ended, false, 0, false},
		{"repeatable, owner gone", plain, []func(*wire.BeginOperation){repeatable}, gone, false, 1, true},
		{"owner lives", plain, nil, nothing, true, 0, false},
		{"UUIDv7, done", uuidv7(999_000), nil, ended, false, 0, true},
		{"UUIDv7 of a clock ahead, done", uuidv7(9_000_000), nil, ended, false, 1, true},
		{"UUIDv7, repeatable, done", uuidv7(999_000), []func(*wire.BeginOperation){repeatable}, ended, false, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			l := operations(t)
			l.begin(isBegun, begin(test.key, "e", 1, "r1", test.options...))
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
				l.begin(isBegun, again)
			}
		})
	}
}

func TestExpiryIsBounded(t *testing.T) {
	limits := DefaultLimits
	limits.ExpiredKeys = 2
	l := newLog(t)
	l.state = newState(limits)
	l.accept(entry("e", 1))
	for i := range 4 {
		l.begin(isBegun, begin(fmt.Sprint(i), "e", 1, "r"))
		l.accept(complete(fmt.Sprint(i), "r", 1, "a"))
	}
	l.now += 10
	one := expire(l.now)
	one.GetExpireOperations().Limit = 1
	l.accept(one)
	require.Equal(t, 3, l.state.Counts().Operations)
	l.accept(expire(l.now + 1_000_000))
	require.Equal(t, 2, l.state.Counts().Operations, "without room for a digest a record stays")
	require.Equal(t, 2, l.state.Counts().ExpiredKeys)
	require.Equal(t, l.now, l.state.operations.expiredBefore, "the horizon isn't after the clock")
	l.begin(isDone, begin("3", "e", 1, "r2"))
	l.refuse(result.KeyTooOld, begin("0", "e", 1, "r2"))
}

func TestCrowdedBefore(t *testing.T) {
	limits := DefaultLimits
	limits.Operations = 8
	l := newLog(t)
	l.state = newState(limits)
	l.accept(entry("e", 1))
	for i := range 8 {
		require.Zero(t, l.state.CapacityExpiryCutoff())
		l.now += 10
		l.begin(isBegun, begin(fmt.Sprint(i), "e", 1, "r"))
	}
	require.Equal(t, l.state.operations.first.begunMS+1, l.state.CapacityExpiryCutoff())
}

func TestKeyTime(t *testing.T) {
	ms, ok := keyTime("0190a5b4-3c2d-7abc-8def-0123456789ab")
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
		_, ok := keyTime(key)
		require.False(t, ok, key)
	}
}
