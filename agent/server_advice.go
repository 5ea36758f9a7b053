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

// adviceLogGap is the least time between two lines about what one server asks of its senders. What is left out between them is
// counted in the next one.
const adviceLogGap = time.Second

// adviceProposeTimeout bounds the wait for a commit.
const adviceProposeTimeout = 2 * time.Second

// advised is what is known of the words of one server, besides what its gate goes by. All fields but expects are the gate duty's own.
type advised struct {
	// expects is set while answers that say nothing matter.
	expects atomic.Bool

	words, throttles lineBound

	limit     backpressure.Rate // that the gate goes by
	directory backpressure.DirectorySync
}

// observe has the gate duty hear what the client's answers say of the server.
func (s *server) observe(ctx context.Context, client engine.Client) {
	observable, ok := client.(engine.Observable)
	if !ok {
		return
	}
	observable.Observe(func(o backpressure.Observation) {
		if o.IsEmpty() && !s.advised.expects.Load() {
			return
		}
		_ = s.push(ctx, observed{client: client, observation: o})
	})
}

// observed carries what an answer said of the server.
type observed struct {
	client      engine.Client
	observation backpressure.Observation
}

func (in observed) apply(s *server, now time.Time) {
	if in.client != s.client {
		return
	}
	s.noteMalformed(now, in.observation)
	s.step(now, gate.ServerObserved{Observation: in.observation})
	s.noteLeaving(now, in.observation)
	s.advised.directory.Observe(s.recordable(in.observation), s.advised.limit)
	s.shareAdvice(now)
}

// noteLeaving lets the server leave where an answer says that it does. Its announcements may say so late, or never.
func (s *server) noteLeaving(now time.Time, o backpressure.Observation) {
	if !o.Draining {
		return
	}
	s.leaving.said = true
	if s.leaving.asked {
		return
	}
	s.log.WithField("route", string(o.Route)).WithField("request", o.Request).Info("server_says_draining")
	leaveAsked{reason: "answer"}.apply(s, now)
}

// recordable is what of an answer the directory is to have. That a server leaves is for good only where each of its starts has
// another name.
func (s *server) recordable(o backpressure.Observation) backpressure.Observation {
	o.Draining = o.Draining && s.runNames
	return o
}

// recordedAdvice carries what the directory has of the server, nil for nothing.
type recordedAdvice struct{ record *wire.ServerAdvice }

func (in recordedAdvice) apply(s *server, now time.Time) { s.learnAdvice(now, in.record) }

// learnAdvice goes by what another sender heard of the server, or an earlier process beside it.
func (s *server) learnAdvice(now time.Time, record *wire.ServerAdvice) {
	word, isNews := s.advised.directory.ApplyRecord(now, backpressure.Record{
		Rate:     backpressure.Rate{Limited: record.GetRateLimited(), PerSecond: record.GetRatePerS()},
		Draining: record.GetDraining(),
		Version:  record.GetVersion(),
	})
	if isNews {
		s.step(now, gate.ServerObserved{Observation: word})
		s.noteLeaving(now, word)
	}
}

// shareAdvice has control record what the server asks where that isn't known there. What isn't committed is proposed again.
func (s *server) shareAdvice(now time.Time) {
	record, isDue := s.advised.directory.NextProposal(now)
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
		_ = s.push(ctx, adviceShared{err: err})
	})
}

// adviceShared says that a proposal has ended.
type adviceShared struct{ err error }

func (in adviceShared) apply(s *server, _ time.Time) {
	s.advised.directory.ProposalEnded()
	if in.err != nil {
		s.meter.retried(retryAdvice)
		s.log.WithError(in.err).Warn("server_advice_not_committed")
	}
}

// noteAdvice counts and logs a change of what the server is known to ask.
func (s *server) noteAdvice(now time.Time, a gate.ThrottleChanged) {
	o := a.Observation
	s.advised.limit = a.Rate
	s.advised.expects.Store(a.Expects)
	s.meter.advised(o.Route)
	if !s.advised.words.mayLog(now) {
		return
	}
	s.log.WithField("rate", rateText(a.Rate)).
		WithField("backoff_ms", max(a.Until.Sub(now), 0).Milliseconds()).
		WithField("route", string(o.Route)).
		WithField("request", o.Request).
		WithField("refused", o.Refused).
		WithField("age_ms", now.Sub(o.ReceivedAt).Milliseconds()).
		WithField("skipped", s.advised.words.takeSkipped()).
		Info("server_advice")
}

// noteThrottled counts and logs an attempt that was kept from the server for what it asked.
func (s *server) noteThrottled(now time.Time, a gate.Throttled) {
	s.meter.throttled(a.Reason)
	if !s.advised.throttles.mayLog(now) {
		return
	}
	s.log.WithField("request", a.Attempt.GetRequest()).
		WithField("attempt", a.Attempt.GetNumber()).
		WithField("class", a.Class).
		WithField("reason", string(a.Reason)).
		WithField("rate", rateText(s.advised.limit)).
		WithField("wait_ms", a.Wait.Milliseconds()).
		WithField("skipped", s.advised.throttles.takeSkipped()).
		Info("attempt_throttled")
}

func (s *server) noteMalformed(now time.Time, o backpressure.Observation) {
	for _, m := range o.Malformed {
		s.meter.malformedAdvice(m.Name)
		if !s.advised.words.mayLog(now) {
			continue
		}
		s.log.WithField("field", m.Name).
			WithField("value", m.Value).
			WithField("route", string(o.Route)).
			WithField("request", o.Request).
			WithField("skipped", s.advised.words.takeSkipped()).
			WithError(m.Err).
			Warn("server_advice_malformed")
	}
}

// lineBound bounds the lines of one kind about one server to one each adviceLogGap.
type lineBound struct {
	logged  time.Time
	skipped int
}

func (b *lineBound) mayLog(now time.Time) bool {
	if !b.logged.IsZero() && now.Sub(b.logged) < adviceLogGap {
		b.skipped++
		return false
	}
	b.logged = now
	return true
}

func (b *lineBound) takeSkipped() int {
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
