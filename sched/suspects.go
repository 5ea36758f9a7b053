package sched

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// treatment is how a request is treated because of crashes. Later ones go before earlier ones.
type treatment uint8

const (
	// runFreely is for requests without suspicion.
	runFreely treatment = iota
	// runAlone is for requests that begin alone at their server, one of those with the same suspect after the other.
	runAlone
	// waitToSettle is for requests with a part that was quarantined a moment ago, see settleTime.
	waitToSettle
	// refuseQuarantine is for requests that are refused.
	refuseQuarantine
)

// suspicion is what crashes say about a request.
type suspicion struct {
	treatment treatment
	record    *wire.PoisonRecord // that the treatment follows from, nil for runFreely
	suspects  []poison.Key       // why it runs alone

	generation uint64 // of the poison table
	at         time.Time
}

// subjectsOf returns what crashes during a request count for: the request first, then the parts of its prompt that other
// requests may share.
func subjectsOf(r *Request) []poison.Key {
	parts := r.sharedParts()
	subjects := make([]poison.Key, 0, 1+len(parts))
	subjects = append(subjects, poison.Key{Organisation: r.Organisation, Fingerprint: r.fingerprint()})
	for _, id := range parts {
		subjects = append(subjects, poison.PartKey(r.Target, id))
	}
	return subjects
}

// poisonKey identifies the request across its repeats.
func (r *request) poisonKey() poison.Key { return r.subjects[0] }

// suspicionOf returns what crashes say about a request. It is evaluated once for a Step, unless more becomes known.
func (s *Scheduler) suspicionOf(r *request) *suspicion {
	known := &r.suspicion
	if known.generation != s.poison.generation || !known.at.Equal(s.now) {
		*known = s.suspect(r)
		known.generation, known.at = s.poison.generation, s.now
	}
	return known
}

func (s *Scheduler) suspect(r *request) suspicion {
	var found suspicion
	if s.poison.isEmpty() {
		return found
	}
	for _, key := range r.subjects {
		record, since := s.poison.lookup(key, s.now)
		treated := s.treat(r, record, since)
		if treated == runAlone {
			found.suspects = append(found.suspects, key)
		}
		if treated > found.treatment {
			found.treatment, found.record = treated, record
		}
	}
	return found
}

// minAloneOfAnswered is the number of crashes alone that quarantine a part which was answered before. The server of a trial may
// end for another reason.
const minAloneOfAnswered = 2

// treat returns the treatment of a request that follows from one record.
func (s *Scheduler) treat(r *request, record *wire.PoisonRecord, since time.Time) treatment {
	switch poison.StandingFor(record, r.Organisation) {
	case poison.Watched:
		return runAlone
	case poison.Quarantined:
		switch {
		case !poison.IsPart(record):
			return refuseQuarantine
		case s.poison.isExplained(record, r), poison.AloneCrashes(record) < minAloneOfAnswered && s.poison.wasAnswered(poison.KeyOf(record), s.now):
			return runAlone
		case s.now.Sub(since) < settleTime:
			return waitToSettle
		}
		return refuseQuarantine
	}
	return runFreely
}

// isWatched reports whether a request has to begin alone at its server.
func (s *Scheduler) isWatched(r *request) bool { return s.suspicionOf(r).treatment != runFreely }

// mayTry reports whether a request may be sent to a server now as far as crashes are concerned. Of the requests with a
// suspect one at a time is tried: it is answered, or it is the last one that the suspect reaches a server with.
func (s *Scheduler) mayTry(r *request) bool {
	found := s.suspicionOf(r)
	if found.treatment != runAlone {
		return found.treatment == runFreely
	}
	for _, key := range found.suspects {
		if s.now.Before(s.poison.committed[key].tryFrom) {
			return false
		}
		if other := s.trials[key]; other != nil && other != r && other.isOnTrial() {
			return false
		}
	}
	return true
}

// isOnTrial reports whether a request that was chosen to be tried hasn't shown yet whether servers survive it.
func (r *request) isOnTrial() bool {
	return len(r.reservations) > 0 || r.attempt != nil && r.firstEventAt.IsZero()
}

// noteTrial records that a request is sent to a server, or reserves there, on trial.
func (s *Scheduler) noteTrial(r *request) {
	found := s.suspicionOf(r)
	r.reservedAlone = found.treatment != runFreely
	for _, key := range found.suspects {
		s.trials[key] = r
		r.onTrial = true
	}
}

// trialAdvanced lets other requests with the same suspects be tried once one has been.
func (s *Scheduler) trialAdvanced(r *request) {
	if r.onTrial {
		s.markDirty(r.pool)
	}
}

// forgetTrial removes a request that has ended.
func (s *Scheduler) forgetTrial(r *request) {
	if !r.onTrial {
		return
	}
	for _, key := range r.subjects {
		if s.trials[key] == r {
			delete(s.trials, key)
		}
	}
	s.markDirty(r.pool)
}

// refuseQuarantined returns why a request may not run, or nil if it may.
//
// The caller learns at once that the request was not run and won't be, instead of crashing one more server.
func (s *Scheduler) refuseQuarantined(r *request) *result.Error {
	found := s.suspicionOf(r)
	if found.treatment != refuseQuarantine {
		return nil
	}
	record := found.record
	remaining := time.UnixMilli(int64(record.GetUntilUnixMs())).Sub(s.now).Round(time.Second)
	code, what := result.RequestQuarantined, "the same request was"
	if poison.IsPart(record) {
		code, what = result.PartQuarantined, fmt.Sprintf("requests with part %x of the prompt were", record.GetFingerprint())
	}
	if r.ran() != result.RanNo {
		code = result.EngineLost
	}
	return result.New(code, "%s running at %s when they crashed, as %s reported; it is refused for %s",
		what, strings.Join(poison.CrashedServers(record), ", "), strings.Join(reporters(record), ", "), remaining).WithRetryAfter(max(remaining, 0))
}

// reporters returns who reported the crashes in a record, each once.
func reporters(record *wire.PoisonRecord) []string {
	var names []string
	for _, crash := range record.GetCrashes() {
		if !slices.Contains(names, crash.GetReporter()) {
			names = append(names, crash.GetReporter())
		}
	}
	return names
}

// noteCrash records that a server crashed while it ran an attempt of the request, and reports it to control. The
// agent that reported the crash does so as well.
func (s *Scheduler) noteCrash(r *request, crash *wire.Crash) {
	note := &wire.NoteCrash{Crash: crash}
	for _, key := range r.subjects {
		record := key.NewRecord()
		if key.Target == "" {
			if s.poison.addCrash(key, crash, s.now) {
				note.Ran = append(note.Ran, record)
			}
			continue
		}
		of := proto.CloneOf(crash)
		of.Organisations = []string{r.Organisation}
		if s.poison.addCrash(key, of, s.now) {
			record.Organisation = r.Organisation
			note.Parts = append(note.Parts, record)
		}
	}
	if len(note.Ran)+len(note.Parts) > 0 {
		s.emit(ReportCrash{Note: note})
		s.reconsiderQueued()
	}
}

// noteAnswered records that a request was answered, and asks control to clear the crashes of the request and of its
// parts. An error answer doesn't count, since a server may give one without having begun to run the request.
func (s *Scheduler) noteAnswered(r *request, end *wire.AnswerEnd) {
	if end.GetStatus() >= http.StatusBadRequest {
		return
	}
	s.poison.countAnswer(r.Target)
	var refuted []*wire.PoisonRecord
	for _, key := range r.subjects {
		if record := s.poison.answered(key, r.Target, s.now); record != nil {
			refuted = append(refuted, record)
		}
	}
	if len(refuted) > 0 {
		s.emit(ClearPoison{Records: refuted})
		s.reconsiderQueued()
	}
}

// setPoison applies the records committed by control, also to queued requests.
func (s *Scheduler) setPoison(records []*wire.PoisonRecord) {
	s.poison.setCommitted(records, s.now, s.clearTime, s.tryTime)
	s.clearRefuted()
	s.reconsiderQueued()
}

// clearTime returns when to ask control to clear a record that this entry's answers refute.
func (s *Scheduler) clearTime() time.Time {
	if s.entryCount <= 1 {
		return s.now
	}
	return s.now.Add(time.Duration(s.random.Int64N(int64(s.entryCount) * int64(clearSpread))))
}

// tryTime returns when this entry may try a suspect that it learns of now. Of n entries, one on average may at once, two
// after a step, four after two steps.
func (s *Scheduler) tryTime(record *wire.PoisonRecord) time.Time {
	step := trialStep
	if record.GetQuarantines() > 0 {
		step = retrialStep
	}
	if s.entryCount <= 1 {
		return s.now
	}
	steps := math.Log2(s.random.Float64() * float64(s.entryCount))
	return s.now.Add(time.Duration(max(steps, 0) * float64(step)))
}

// clearRefuted asks control to clear the refuted records whose time has come.
func (s *Scheduler) clearRefuted() {
	if due := s.poison.dueClears(s.now); len(due) > 0 {
		s.emit(ClearPoison{Records: due})
	}
}

// reconsiderInterval is how often requests that wait because of crashes are looked at again.
const reconsiderInterval = 100 * time.Millisecond

// reconsiderQueued applies what is known about crashes to requests that no server has: quarantined ones are refused, and
// reservations that were made under another treatment are withdrawn.
func (s *Scheduler) reconsiderQueued() {
	s.reconsiderAt = time.Time{}
	for _, r := range s.queuedRequests() {
		found := s.suspicionOf(r)
		switch {
		case found.treatment == refuseQuarantine:
			s.refuse(r, s.refuseQuarantined(r))
			continue
		case found.treatment == waitToSettle, found.treatment == runAlone && !s.mayTry(r):
			s.reconsiderAt = s.now.Add(reconsiderInterval)
		}
		if len(r.reservations) > 0 && (r.reservedAlone != (found.treatment != runFreely) || found.treatment == waitToSettle) {
			s.withdrawAll(r)
			s.reservationLost(r)
		}
		s.markDirty(r.pool)
	}
}

// advancePoison does what is due because time has passed.
func (s *Scheduler) advancePoison() {
	s.clearRefuted()
	if !s.reconsiderAt.IsZero() && !s.now.Before(s.reconsiderAt) {
		s.reconsiderQueued()
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
