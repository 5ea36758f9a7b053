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
	// maxLocalCrashes and localCrashRetention bound the crashes that were reported to this entry. They count until
	// control has committed them, and longer while control is unreachable.
	maxLocalCrashes     = 256
	localCrashRetention = time.Minute
	// maxRecentAnswers and recentAnswerRetention bound the requests that are remembered as answered.
	maxRecentAnswers      = 2048
	recentAnswerRetention = 10 * time.Second
)

// poisonTable holds the requests during which servers crashed: the records committed by control, and the crashes
// reported to this entry, which take effect here at once.
type poisonTable struct {
	committed     map[poison.Key]*wire.PoisonRecord
	local         *simplelru.LRU[poison.Key, localRecord]
	recentAnswers *simplelru.LRU[poison.Key, time.Time]
}

type localRecord struct {
	record *wire.PoisonRecord
	at     time.Time // of the last crash
}

func newPoisonTable() *poisonTable {
	return &poisonTable{local: newLRU[localRecord](maxLocalCrashes), recentAnswers: newLRU[time.Time](maxRecentAnswers)}
}

// newLRU returns an LRU table of a constant size above 0; any other size is a programming error and panics.
func newLRU[V any](size int) *simplelru.LRU[poison.Key, V] {
	table, err := simplelru.NewLRU[poison.Key, V](size, nil)
	if err != nil {
		panic(err)
	}
	return table
}

// lookup merges the committed record of a request with local crashes. It returns nil if there is neither.
func (t *poisonTable) lookup(key poison.Key, now time.Time) *wire.PoisonRecord {
	if len(t.committed) == 0 && t.local.Len() == 0 {
		return nil
	}
	committed := t.committed[key]
	local, ok := t.local.Peek(key)
	if !ok || now.Sub(local.at) > localCrashRetention || t.answeredRecently(key, now) {
		return committed
	}
	joined := key.NewRecord()
	if committed != nil {
		joined = proto.CloneOf(committed)
	}
	for _, crash := range local.record.GetCrashes() {
		poison.AddCrash(joined, crash, crash.GetUnixMs())
	}
	return joined
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
	return changed
}

// answered records that a server ran a request to completion, and returns the committed record that this refutes,
// or nil.
func (t *poisonTable) answered(key poison.Key, now time.Time) *wire.PoisonRecord {
	t.recentAnswers.Add(key, now)
	t.local.Remove(key)
	refuted := t.committed[key]
	delete(t.committed, key)
	return refuted
}

// answeredRecently reports whether a request was answered within recentAnswerRetention. Crashes then don't count
// against it.
//
// A request that many callers send may run on all servers of a rack that fails, which gives three crashes before
// the next answer. It was answered just before, whereas a server that begins to run a poison request never answers
// it.
func (t *poisonTable) answeredRecently(key poison.Key, now time.Time) bool {
	at, ok := t.recentAnswers.Peek(key)
	return ok && now.Sub(at) <= recentAnswerRetention
}

// setCommitted replaces the committed records and returns those that recent answers refute.
func (t *poisonTable) setCommitted(records []*wire.PoisonRecord, now time.Time) (refuted []*wire.PoisonRecord) {
	t.committed = make(map[poison.Key]*wire.PoisonRecord, len(records))
	for _, record := range records {
		key := poison.KeyOf(record)
		if t.answeredRecently(key, now) {
			refuted = append(refuted, record)
			continue
		}
		t.committed[key] = record
	}
	return refuted
}

// poisonKey identifies the request across its repeats.
func (r *request) poisonKey() poison.Key {
	return poison.Key{Organisation: r.Organisation, Fingerprint: r.fingerprint}
}

// isWatched reports whether a request has to begin alone at its server.
func (s *Scheduler) isWatched(r *request) bool {
	return poison.StandingOf(s.poison.lookup(r.poisonKey(), s.now)) != poison.Clear
}

// refuseQuarantined returns why a quarantined request may not run, or nil if it may.
//
// The caller learns at once that the request was not run and won't be, instead of crashing one more server.
func (s *Scheduler) refuseQuarantined(r *request) *result.Error {
	record := s.poison.lookup(r.poisonKey(), s.now)
	if poison.StandingOf(record) != poison.Quarantined {
		return nil
	}
	remaining := time.UnixMilli(int64(record.GetUntilUnixMs())).Sub(s.now).Round(time.Second)
	code := result.RequestQuarantined
	if r.ran() != result.RanNo {
		code = result.EngineLost
	}
	return result.New(code, "the same request was running at %s when they crashed; it is refused for %s",
		strings.Join(poison.CrashedServers(record), ", "), remaining).WithRetryAfter(max(remaining, 0))
}

// noteCrash records that a server crashed while it ran an attempt of the request, and reports it to control. The
// agent that reported the crash does so as well.
func (s *Scheduler) noteCrash(r *request, crash *wire.Crash) {
	if s.poison.addCrash(r.poisonKey(), crash, s.now) {
		s.emit(ReportCrash{Note: &wire.NoteCrash{Crash: crash, Ran: []*wire.PoisonRecord{r.poisonKey().NewRecord()}}})
	}
}

// noteAnswered records that a request was answered, and asks control to clear its crashes. An error answer doesn't
// count, since a server may give one without having begun to run the request.
func (s *Scheduler) noteAnswered(r *request, end *wire.AnswerEnd) {
	if end.GetStatus() >= http.StatusBadRequest {
		return
	}
	if refuted := s.poison.answered(r.poisonKey(), s.now); refuted != nil {
		s.emit(ClearPoison{Records: []*wire.PoisonRecord{refuted}})
	}
}

// setPoison applies the records committed by control, also to queued requests.
func (s *Scheduler) setPoison(records []*wire.PoisonRecord) {
	if refuted := s.poison.setCommitted(records, s.now); len(refuted) > 0 {
		s.emit(ClearPoison{Records: refuted})
	}
	if len(s.poison.committed) == 0 {
		return
	}
	for _, r := range s.queuedRequests() {
		if err := s.refuseQuarantined(r); err != nil {
			s.refuse(r, err)
		}
	}
}

// queuedRequests returns the requests that no server has, in order of arrival.
func (s *Scheduler) queuedRequests() []*request {
	var waiting []*request
	for _, r := range s.requests {
		if r.state == queued || r.state == reserved {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return waiting
}
