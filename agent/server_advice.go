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

// adviceLogInterval is the least time between two lines about what one server asks of its senders. What is left out between them is
// counted in the next one.
const adviceLogInterval = time.Second

// adviceProposeTimeout bounds the wait for a commit.
const adviceProposeTimeout = 2 * time.Second

// adviceState is what is known of the words of one server, besides what its gate goes by. All fields but expects are the gate duty's own.
type adviceState struct {
	// observeEmpty is set while answers that say nothing matter.
	observeEmpty atomic.Bool

	adviceLog, throttleLog logLimiter

	rateLimit     backpressure.Rate // that the gate goes by
	directorySync backpressure.DirectorySync
}

// subscribeToObservations has the gate duty hear what the client's answers say of the server.
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

// observationInput carries what an answer said of the server.
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

// handleDraining lets the server leave where an answer says that it does. Its announcements may say so late, or never.
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

// forDirectory is what of an answer the directory is to have. That a server leaves is for good only where each of its starts has
// another name.
func (s *server) forDirectory(o backpressure.Observation) backpressure.Observation {
	o.Draining = o.Draining && s.uniqueNamePerStart
	return o
}

// directoryAdvice carries what the directory has of the server, nil for nothing.
type directoryAdvice struct{ record *wire.ServerAdvice }

func (in directoryAdvice) apply(s *server, now time.Time) { s.applyDirectoryAdvice(now, in.record) }

// applyDirectoryAdvice goes by what another sender heard of the server, or an earlier process beside it.
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

// proposeAdvice has control record what the server asks where that isn't known there. What isn't committed is proposed again.
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

// adviceProposed says that a proposal has ended.
type adviceProposed struct{ err error }

func (in adviceProposed) apply(s *server, _ time.Time) {
	s.adviceState.directorySync.ProposalEnded()
	if in.err != nil {
		s.meter.retried(retryAdvice)
		s.log.WithError(in.err).Warn("server_advice_not_committed")
	}
}

// logAdvice counts and logs a change of what the server is known to ask.
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

// logThrottled counts and logs an attempt that was kept from the server for what it asked.
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

// logLimiter bounds the lines of one kind about one server to one each adviceLogGap.
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
