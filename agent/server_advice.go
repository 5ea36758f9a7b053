package agent

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/wire"
)

// adviceLogInterval is the least time between two log lines on the advice of one server. The next line has the number
// of lines that were skipped.
const adviceLogInterval = time.Second

// adviceProposeTimeout bounds the wait for a commit.
const adviceProposeTimeout = 2 * time.Second

// adviceState is the state of a server's advice (rate limit, backoff, draining) outside of its gate. All fields but
// observeEmpty are used by the event loop only.
type adviceState struct {
	// observeEmpty is set while the gate needs answers without advice too.
	observeEmpty atomic.Bool

	adviceLog, throttleLog logLimiter

	rateLimit     backpressure.Rate // the rate limit that the gate applies
	directorySync backpressure.DirectorySync
}

// subscribeToObservations passes what the client's answers say about the server to the event loop.
func (s *server) subscribeToObservations(ctx context.Context, client engine.Client) {
	observable, ok := client.(engine.Observable)
	if !ok {
		return
	}
	observable.Observe(func(o backpressure.Observation) {
		if o.IsEmpty() && !s.adviceState.observeEmpty.Load() {
			return
		}
		_ = s.push(ctx, observationInput{client: client, observation: o})
	})
}

// observationInput carries the advice of one answer.
type observationInput struct {
	client      engine.Client
	observation backpressure.Observation
}

func (in observationInput) apply(s *server, now time.Time) {
	if in.client != s.client {
		return
	}
	s.logMalformed(now, in.observation)
	s.step(now, gate.ServerObserved{Observation: in.observation})
	s.handleDraining(now, in.observation)
	s.adviceState.directorySync.Observe(s.forDirectory(in.observation), s.adviceState.rateLimit)
	s.proposeAdvice(now)
}

// handleDraining starts a graceful leave when an answer says that the server is draining. The server's announcements
// may say so late or not at all.
func (s *server) handleDraining(now time.Time, o backpressure.Observation) {
	if !o.Draining {
		return
	}
	s.leaving.reportedByServer = true
	if s.leaving.requested {
		return
	}
	s.log.WithField("route", string(o.Route)).WithField("request", o.Request).Info("server_says_draining")
	leaveRequested{reason: "answer"}.apply(s, now)
}

// forDirectory returns the part of an answer's advice that belongs in the directory. Draining is recorded only where
// each start of a server has another name, since the record holds for as long as the name is used.
func (s *server) forDirectory(o backpressure.Observation) backpressure.Observation {
	o.Draining = o.Draining && s.uniqueNamePerStart
	return o
}

// directoryAdvice carries the directory's advice on the server, nil if there is none.
type directoryAdvice struct{ record *wire.ServerAdvice }

func (in directoryAdvice) apply(s *server, now time.Time) { s.applyDirectoryAdvice(now, in.record) }

// applyDirectoryAdvice applies advice that another sender, or an earlier incarnation of the agent, got from the
// server.
func (s *server) applyDirectoryAdvice(now time.Time, record *wire.ServerAdvice) {
	observation, isNew := s.adviceState.directorySync.ApplyRecord(now, backpressure.Record{
		Rate:     backpressure.Rate{Limited: record.GetRateLimited(), PerSecond: record.GetRatePerS()},
		Draining: record.GetDraining(),
		Version:  record.GetVersion(),
	})
	if isNew {
		s.step(now, gate.ServerObserved{Observation: observation})
		s.handleDraining(now, observation)
	}
}

// proposeAdvice proposes the server's advice to control if the directory doesn't have it. It is proposed again until
// it is committed.
func (s *server) proposeAdvice(now time.Time) {
	record, isDue := s.adviceState.directorySync.NextProposal(now)
	if !isDue {
		return
	}
	note := &wire.NoteServerAdvice{Advice: &wire.ServerAdvice{
		Server:      s.name,
		RateLimited: record.Rate.Limited,
		RatePerS:    record.Rate.PerSecond,
		Draining:    record.Draining,
		Version:     record.Version,
	}}
	s.spawn(func(ctx context.Context) {
		callCtx, stop := context.WithTimeout(ctx, adviceProposeTimeout)
		defer stop()
		_, err := s.propose(callCtx, &wire.Command{Kind: &wire.Command_NoteServerAdvice{NoteServerAdvice: note}})
		_ = s.push(ctx, adviceProposed{err: err})
	})
}

// adviceProposed is the input after the end of a proposal. A nil err means that it was committed.
type adviceProposed struct{ err error }

func (in adviceProposed) apply(s *server, _ time.Time) {
	s.adviceState.directorySync.ProposalEnded()
	if in.err != nil {
		s.meter.retried(retryAdvice)
		s.log.WithError(in.err).Warn("server_advice_not_committed")
	}
}

// logAdvice counts and logs a change of the server's advice.
func (s *server) logAdvice(now time.Time, a gate.ThrottleChanged) {
	o := a.Observation
	s.adviceState.rateLimit = a.Rate
	s.adviceState.observeEmpty.Store(a.Expects)
	s.meter.adviceChanged(o.Route)
	if !s.adviceState.adviceLog.mayLog(now) {
		return
	}
	s.log.WithField("rate", rateText(a.Rate)).
		WithField("backoff_ms", max(a.Until.Sub(now), 0).Milliseconds()).
		WithField("route", string(o.Route)).
		WithField("request", o.Request).
		WithField("refused", o.Refused).
		WithField("age_ms", now.Sub(o.ReceivedAt).Milliseconds()).
		WithField("skipped", s.adviceState.adviceLog.takeSkipped()).
		Info("server_advice")
}

// logThrottled counts and logs an attempt that was held back because of the server's advice.
func (s *server) logThrottled(now time.Time, a gate.Throttled) {
	s.meter.throttled(a.Reason)
	if !s.adviceState.throttleLog.mayLog(now) {
		return
	}
	s.log.WithField("request", a.Attempt.GetRequest()).
		WithField("attempt", a.Attempt.GetNumber()).
		WithField("class", a.Class).
		WithField("reason", string(a.Reason)).
		WithField("rate", rateText(s.adviceState.rateLimit)).
		WithField("wait_ms", a.Wait.Milliseconds()).
		WithField("skipped", s.adviceState.throttleLog.takeSkipped()).
		Info("attempt_throttled")
}

func (s *server) logMalformed(now time.Time, o backpressure.Observation) {
	for _, m := range o.Malformed {
		s.meter.malformedAdvice(m.Name)
		if !s.adviceState.adviceLog.mayLog(now) {
			continue
		}
		s.log.WithField("field", m.Name).
			WithField("value", m.Value).
			WithField("route", string(o.Route)).
			WithField("request", o.Request).
			WithField("skipped", s.adviceState.adviceLog.takeSkipped()).
			WithError(m.Err).
			Warn("server_advice_malformed")
	}
}

// logLimiter limits the log lines of one kind about one server to one per adviceLogInterval.
type logLimiter struct {
	lastLogged time.Time
	skipped    int
}

func (b *logLimiter) mayLog(now time.Time) bool {
	if !b.lastLogged.IsZero() && now.Sub(b.lastLogged) < adviceLogInterval {
		b.skipped++
		return false
	}
	b.lastLogged = now
	return true
}

func (b *logLimiter) takeSkipped() int {
	skipped := b.skipped
	b.skipped = 0
	return skipped
}

func rateText(rate backpressure.Rate) string {
	if !rate.Limited {
		return "none"
	}
	return strconv.FormatFloat(rate.PerSecond, 'g', -1, 64)
}
