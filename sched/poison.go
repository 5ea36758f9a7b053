package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// maxLocalCrashes and localCrashRetention bound the crashes that were reported to this entry. They count until
	// control has committed them, and longer while control is unreachable.
	maxLocalCrashes     = 1024
	localCrashRetention = time.Minute
	// maxRecentAnswers and answerRetention bound the requests and parts that are remembered as answered;
	// recentAnswerRetention is how long an answer speaks against crashes after it.
	maxRecentAnswers      = 16384
	recentAnswerRetention = 10 * time.Second
	answerRetention       = 10 * time.Minute
	// maxAnswersWithout is the number of answers of a model or service after which an earlier answer no longer outweighs
	// crashes. A part that was sound may become harmful: then others are answered, and it isn't. When many servers end at
	// once, nothing is answered for a while.
	maxAnswersWithout = 16
	// settleTime is how long a quarantined part makes requests wait at this entry before it refuses them. Entries that
	// have answers with the part clear it in that time.
	settleTime = 300 * time.Millisecond
	// clearSpread is the time, for each entry, over which entries spread their proposals to clear a record. Most of them
	// see it cleared before their turn.
	clearSpread = 2 * time.Millisecond
	// trialStep and retrialStep are the times in which the number of entries that may try a suspect doubles, from one
	// until all may; retrialStep after a quarantine. A trial that crashes a server keeps the others from theirs.
	trialStep   = 100 * time.Millisecond
	retrialStep = time.Second
)

// poisonTable holds the requests and parts during which servers crashed: the records committed by control, and the crashes
// reported to this entry, which take effect here at once.
type poisonTable struct {
	committed     map[poison.Key]committedPoison
	parts         []*wire.PoisonRecord // the committed ones of parts
	local         *simplelru.LRU[poison.Key, localRecord]
	recentAnswers *simplelru.LRU[poison.Key, *recentAnswer]
	// clears are the records that recent answers refute, until control has cleared them.
	clears map[poison.Key]pendingClear
	// answers counts the whole answers of each model and service.
	answers map[string]uint64
	// generation changes with anything that may change a standing.
	generation uint64
}

type committedPoison struct {
	record    *wire.PoisonRecord
	heldSince time.Time // when it was first seen here as quarantined, zero for not
	tryFrom   time.Time // when this entry may try it
}

type localRecord struct {
	record *wire.PoisonRecord
	at     time.Time // of the last crash
}

// recentAnswer is the last whole answer to a request or with a part.
type recentAnswer struct {
	at     time.Time
	target string
	// outweighsUntil is the number of the target's answers up to which it outweighs crashes, 0 while there was none.
	outweighsUntil uint64
}

// pendingClear is a refuted record and when to ask control to clear it; zero once it was asked.
type pendingClear struct {
	record *wire.PoisonRecord
	due    time.Time
}

func newPoisonTable() *poisonTable {
	return &poisonTable{
		local:         newLRU[localRecord](maxLocalCrashes),
		recentAnswers: newLRU[*recentAnswer](maxRecentAnswers),
		answers:       make(map[string]uint64),
	}
}

// newLRU returns an LRU table of a constant size above 0; any other size is a programming error and panics.
func newLRU[V any](size int) *simplelru.LRU[poison.Key, V] {
	table, err := simplelru.NewLRU[poison.Key, V](size, nil)
	if err != nil {
		panic(err)
	}
	return table
}

// isEmpty reports whether no crash is known.
func (t *poisonTable) isEmpty() bool { return len(t.committed) == 0 && t.local.Len() == 0 }

// lookup merges the committed record of a request or part with local crashes. It returns nil if there is neither. since is
// when the entry learnt of what makes it quarantined, zero if it isn't.
func (t *poisonTable) lookup(key poison.Key, now time.Time) (record *wire.PoisonRecord, since time.Time) {
	committed := t.committed[key]
	local, ok := t.local.Peek(key)
	if !ok || now.Sub(local.at) > localCrashRetention || t.isOutweighed(key, now) {
		return committed.record, committed.heldSince
	}
	joined := key.NewRecord()
	if committed.record != nil {
		joined = proto.CloneOf(committed.record)
	}
	for _, crash := range local.record.GetCrashes() {
		poison.AddCrash(joined, crash, crash.GetUnixMs())
	}
	since = committed.heldSince
	if since.IsZero() {
		since = local.at
	}
	return joined, since
}

// addCrash adds a crash reported to this entry, and reports whether that changed the local record.
func (t *poisonTable) addCrash(key poison.Key, crash *wire.Crash, now time.Time) bool {
	local, ok := t.local.Get(key)
	if !ok || now.Sub(local.at) > localCrashRetention {
		local = localRecord{record: key.NewRecord()}
	}
	changed := poison.AddCrash(local.record, crash, uint64(now.UnixMilli()))
	local.at = now
	t.local.Add(key, local)
	t.generation++
	return changed
}

// countAnswer counts a whole answer of a model or service.
func (t *poisonTable) countAnswer(target string) { t.answers[target]++ }

// answered records a whole answer to a request or with a part, and returns the committed record that this refutes, or nil.
func (t *poisonTable) answered(key poison.Key, target string, now time.Time) *wire.PoisonRecord {
	if answer, ok := t.recentAnswers.Get(key); ok {
		*answer = recentAnswer{at: now, target: target}
	} else {
		t.recentAnswers.Add(key, &recentAnswer{at: now, target: target})
	}
	if t.isEmpty() {
		return nil
	}
	t.generation++
	t.local.Remove(key)
	refuted := t.committed[key].record
	delete(t.committed, key)
	return refuted
}

// wasAnswered reports whether a request with a part was answered within answerRetention.
func (t *poisonTable) wasAnswered(key poison.Key, now time.Time) bool {
	answer, ok := t.recentAnswers.Peek(key)
	return ok && now.Sub(answer.at) <= answerRetention
}

// isOutweighed reports whether an answer within recentAnswerRetention outweighs crashes after it.
//
// A request that many callers send may run on all servers of a rack that fails, which gives three crashes before
// the next answer. It was answered just before, whereas a server that begins to run a poison request never answers
// it.
func (t *poisonTable) isOutweighed(key poison.Key, now time.Time) bool {
	answer, ok := t.recentAnswers.Peek(key)
	if !ok || now.Sub(answer.at) > recentAnswerRetention {
		return false
	}
	if answer.outweighsUntil == 0 {
		answer.outweighsUntil = t.answers[answer.target] + maxAnswersWithout
	}
	return t.answers[answer.target] <= answer.outweighsUntil
}

// setCommitted replaces the committed records. Those that recent answers refute are left out, and to be cleared at the
// time that due returns.
//
// tryFrom returns when this entry may try a suspect that it learns of now.
func (t *poisonTable) setCommitted(records []*wire.PoisonRecord, now time.Time, due func() time.Time, tryFrom func(*wire.PoisonRecord) time.Time) {
	before, clears := t.committed, t.clears
	t.committed = make(map[poison.Key]committedPoison, len(records))
	t.clears = make(map[poison.Key]pendingClear)
	t.parts = nil
	t.generation++
	for _, record := range records {
		key := poison.KeyOf(record)
		if t.isOutweighed(key, now) {
			if pending := clears[key]; pending.record.GetVersion() == record.GetVersion() {
				t.clears[key] = pending
			} else {
				t.clears[key] = pendingClear{record: record, due: due()}
			}
			continue
		}
		known, isKnown := before[key]
		next := committedPoison{record: record, tryFrom: known.tryFrom}
		hasNewQuarantine := record.GetQuarantines() != known.record.GetQuarantines()
		if !isKnown || hasNewQuarantine || !known.heldSince.IsZero() {
			next.tryFrom = tryFrom(record)
		}
		if poison.StandingOf(record) == poison.Quarantined {
			next.heldSince = known.heldSince
			if next.heldSince.IsZero() {
				next.heldSince = now
			}
		}
		if poison.IsPart(record) {
			t.parts = append(t.parts, record)
		}
		t.committed[key] = next
	}
}

// dueClears returns the refuted records whose time to be cleared has come, each once.
func (t *poisonTable) dueClears(now time.Time) []*wire.PoisonRecord {
	var due []*wire.PoisonRecord
	for key, pending := range t.clears {
		if !pending.due.IsZero() && !now.Before(pending.due) {
			due = append(due, pending.record)
			t.clears[key] = pendingClear{record: pending.record}
		}
	}
	slices.SortFunc(due, func(a, b *wire.PoisonRecord) int {
		return cmp.Compare(poison.KeyOf(a).String(), poison.KeyOf(b).String())
	})
	return due
}

// nextClear returns when the next record is to be cleared, zero for none.
func (t *poisonTable) nextClear() time.Time {
	var next time.Time
	for _, pending := range t.clears {
		if !pending.due.IsZero() && (next.IsZero() || pending.due.Before(next)) {
			next = pending.due
		}
	}
	return next
}

// isExplained reports whether a part that a request has may owe all its crashes to other suspects, which the request doesn't
// have.
func (t *poisonTable) isExplained(record *wire.PoisonRecord, r *request) bool {
	var others []*wire.PoisonRecord
	for _, other := range t.parts {
		key := poison.KeyOf(other)
		if key.Target == record.GetTarget() && !slices.Contains(r.subjects, key) {
			others = append(others, other)
		}
	}
	return poison.IsExplained(record, others)
}
