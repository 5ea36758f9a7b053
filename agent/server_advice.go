package agent

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
)

// adviceLogGap is the least time between two lines about what one server asks of its senders. What is left out between them is
// counted in the next one.
const adviceLogGap = time.Second

// advised is what a server asked of its senders last.
type advised struct {
	// speaks is set while something is known, so that answers that say nothing are looked at too.
	speaks atomic.Bool

	last    backpressure.Advice
	logged  time.Time
	skipped int
}

// observe has the gate duty hear what the client's answers say of the server.
func (s *server) observe(ctx context.Context, client engine.Client) {
	observable, ok := client.(engine.Observable)
	if !ok {
		return
	}
	observable.Observe(func(o backpressure.Observation) {
		if o.IsSilent() && !s.advised.speaks.Load() {
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
	s.noteAdvice(now, in.observation)
}

// noteAdvice counts what an answer said, and logs it where it differs from what was said before.
func (s *server) noteAdvice(now time.Time, o backpressure.Observation) {
	if o.Advice == s.advised.last {
		return
	}
	s.advised.last = o.Advice
	s.advised.speaks.Store(!o.Advice.IsZero())
	s.meter.advised(o.Route)
	if !s.advised.mayLog(now) {
		return
	}
	s.log.WithField("rate", rateText(o.Rate)).
		WithField("route", string(o.Route)).
		WithField("request", o.Request).
		WithField("refused", o.Refused).
		WithField("age_ms", now.Sub(o.Heard).Milliseconds()).
		WithField("skipped", s.advised.takeSkipped()).
		Info("server_advice")
}

func (s *server) noteMalformed(now time.Time, o backpressure.Observation) {
	for _, m := range o.Malformed {
		s.meter.malformedAdvice(m.Name)
		if !s.advised.mayLog(now) {
			continue
		}
		s.log.WithField("field", m.Name).
			WithField("value", m.Value).
			WithField("route", string(o.Route)).
			WithField("request", o.Request).
			WithField("skipped", s.advised.takeSkipped()).
			WithError(m.Err).
			Warn("server_advice_malformed")
	}
}

// mayLog bounds the lines about one server.
func (a *advised) mayLog(now time.Time) bool {
	if !a.logged.IsZero() && now.Sub(a.logged) < adviceLogGap {
		a.skipped++
		return false
	}
	a.logged = now
	return true
}

func (a *advised) takeSkipped() int {
	skipped := a.skipped
	a.skipped = 0
	return skipped
}

func rateText(rate backpressure.Rate) string {
	if !rate.Limited {
		return "none"
	}
	return strconv.FormatFloat(rate.PerSecond, 'g', -1, 64)
}
