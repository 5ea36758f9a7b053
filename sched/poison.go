package sched

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// ownCrashes and ownCrashLife bound the crashes that this entry has heard of itself. They count until control has
	// committed them, and longer where control can't be reached.
	ownCrashes   = 256
	ownCrashLife = time.Minute
	// wholeAnswers and wholeAnswerLife bound the requests that are remembered for having ended whole.
	wholeAnswers    = 2048
	wholeAnswerLife = 10 * time.Second
)

// poisonTable is what is known of requests under which servers have crashed: what control has committed, and what this entry has
// heard itself, which binds it at once.
type poisonTable struct {
	committed map[poison.Key]*wire.PoisonRecord
	own       *simplelru.LRU[poison.Key, ownRecord]
	whole     *simplelru.LRU[poison.Key, time.Time]
}

type ownRecord struct {
	record *wire.PoisonRecord
	at     time.Time // of the last crash
}

func newPoisonTable() *poisonTable {
	return &poisonTable{own: newLRU[ownRecord](ownCrashes), whole: newLRU[time.Time](wholeAnswers)}
}

// newLRU makes a table of a size that is a constant here and not 0, the only mistake that there is.
func newLRU[V any](size int) *simplelru.LRU[poison.Key, V] {
	table, err := simplelru.NewLRU[poison.Key, V](size, nil)
	if err != nil {
		panic(err)
	}
	return table
}

// record joins what is known of a request, nil for nothing.
func (t *poisonTable) record(key poison.Key, now time.Time) *wire.PoisonRecord {
	if len(t.committed) == 0 && t.own.Len() == 0 {
		return nil
	}
	committed := t.committed[key]
	own, ok := t.own.Peek(key)
	if !ok || now.Sub(own.at) > ownCrashLife || t.wasServed(key, now) {
		return committed
	}
	joined := key.NewRecord()
	if committed != nil {
		joined = proto.CloneOf(committed)
	}
	for _, crash := range own.record.GetCrashes() {
		poison.AddCrash(joined, crash, crash.GetUnixMs())
	}
	return joined
}

// crashed notes a crash that this entry has heard of, and tells whether that changes what it goes by.
func (t *poisonTable) crashed(key poison.Key, crash *wire.Crash, now time.Time) bool {
	own, ok := t.own.Get(key)
	if !ok || now.Sub(own.at) > ownCrashLife {
		own = ownRecord{record: key.NewRecord()}
	}
	changed := poison.AddCrash(own.record, crash, uint64(now.UnixMilli()))
	own.at = now
	t.own.Add(key, own)
	return changed
}

// endedWhole notes that a server ran a request to its end, and returns the committed record that this refutes, nil for none.
func (t *poisonTable) endedWhole(key poison.Key, now time.Time) *wire.PoisonRecord {
	t.whole.Add(key, now)
	t.own.Remove(key)
	refuted := t.committed[key]
	delete(t.committed, key)
	return refuted
}

// wasServed tells whether a request was answered within the last seconds. Then crashes say nothing against it.
//
// What many callers ask for may be on all servers of a rack that dies, and then three crashes come before the next answer. It was
// served just before, and no server that began to run a poison request ever served it.
func (t *poisonTable) wasServed(key poison.Key, now time.Time) bool {
	at, ok := t.whole.Peek(key)
	return ok && now.Sub(at) <= wholeAnswerLife
}

// commit takes what control has committed, whole, and returns the records that answers of the last seconds refute.
func (t *poisonTable) commit(records []*wire.PoisonRecord, now time.Time) (refuted []*wire.PoisonRecord) {
	t.committed = make(map[poison.Key]*wire.PoisonRecord, len(records))
	for _, record := range records {
		key := poison.KeyOf(record)
		if t.wasServed(key, now) {
			refuted = append(refuted, record)
			continue
		}
		t.committed[key] = record
	}
	return refuted
}

// poisonKey names a request over its repeats.
func (r *request) poisonKey() poison.Key {
	return poison.Key{Organisation: r.Organisation, Fingerprint: r.fingerprint}
}

// isWatched tells whether a request has to begin alone.
func (s *Scheduler) isWatched(r *request) bool {
	return poison.StandingOf(s.poison.record(r.poisonKey(), s.now)) != poison.Clear
}

// refusePoison says why a request may not run, since servers crashed under it; nil if it may.
//
// Its caller hears at once that it has not run, and that it won't be, rather than the end of one more server.
func (s *Scheduler) refusePoison(r *request) *result.Error {
	record := s.poison.record(r.poisonKey(), s.now)
	if poison.StandingOf(record) != poison.Quarantined {
		return nil
	}
	left := time.UnixMilli(int64(record.GetUntilUnixMs())).Sub(s.now).Round(time.Second)
	code := result.RequestQuarantined
	if r.ran() != result.RanNo {
		code = result.EngineLost
	}
	return result.New(code, "the same request was running at %s when they crashed; it is refused for %s",
		strings.Join(poison.CrashedServers(record), ", "), left).WithRetryAfter(max(left, 0))
}

// noteCrash notes that a server crashed while it ran an attempt of a request, and tells control, as the agent does that reported it.
func (s *Scheduler) noteCrash(r *request, crash *wire.Crash) {
	if s.poison.crashed(r.poisonKey(), crash, s.now) {
		s.act(ReportCrash{Note: &wire.NoteCrash{Crash: crash, Ran: []*wire.PoisonRecord{r.poisonKey().NewRecord()}}})
	}
}

// noteWhole notes that a request was answered, and has control forget the crashes that it was beside. A server may give an
// error to a request that it never began to run.
func (s *Scheduler) noteWhole(r *request, end *wire.AnswerEnd) {
	if end.GetStatus() >= http.StatusBadRequest {
		return
	}
	if refuted := s.poison.endedWhole(r.poisonKey(), s.now); refuted != nil {
		s.act(ClearPoison{Records: []*wire.PoisonRecord{refuted}})
	}
}

// setPoison puts what control has committed in force, also for requests that wait.
func (s *Scheduler) setPoison(records []*wire.PoisonRecord) {
	if refuted := s.poison.commit(records, s.now); len(refuted) > 0 {
		s.act(ClearPoison{Records: refuted})
	}
	if len(s.poison.committed) == 0 {
		return
	}
	for _, r := range s.waitingRequests() {
		if err := s.refusePoison(r); err != nil {
			s.refuse(r, err)
		}
	}
}

// waitingRequests are those that no server has, in order of arrival.
func (s *Scheduler) waitingRequests() []*request {
	var waiting []*request
	for _, r := range s.requests {
		if r.state == queued || r.state == reserved {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return waiting
}
