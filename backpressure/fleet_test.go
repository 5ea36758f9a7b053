package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Times of the simulated fleet.
const (
	fleetTick = 20 * time.Millisecond
	// observedGrace is the time from the first response with a rate after which a sender, and settleTime the time from
	// the first rate named by the server after which the whole fleet, has to keep to the limit.
	observedGrace = 500 * time.Millisecond
	settleTime    = 3 * time.Second
	checkedWindow = 4 * time.Second
)

// fleetSender is one sender of a simulated fleet. It uses the limiter and directory logic of the package.
type fleetSender struct {
	limiter           Limiter
	directory         DirectorySync
	pausedUntil       time.Time // end of a pause of the process
	disconnectedUntil time.Time // end of a loss of contact with the directory
	firstRateAt       time.Time // when the first response with a rate arrived, zero before
	hasWork           bool      // sends whenever it is allowed to
}

// fleetMessage is a message that is delivered at a later time.
type fleetMessage struct {
	at      time.Time
	deliver func(now time.Time)
}

// fleetArrival is a request that reached the server.
type fleetArrival struct {
	at     time.Time
	sender *fleetSender
}

// fleet is a server and its senders in simulated time.
type fleet struct {
	t        *rapid.T
	now      time.Time
	senders  []*fleetSender
	messages []fleetMessage

	rate         Rate // rate that the server names
	limitedSince time.Time
	highestRate  float64 // highest rate since limitedSince
	record       Record  // record stored by the directory
	index        uint64

	arrivals []fleetArrival
}

func newFleet(t *rapid.T, senders int) *fleet {
	f := &fleet{t: t, now: start}
	for range senders {
		f.senders = append(f.senders, f.newSender())
	}
	return f
}

// newSender starts a sender, which receives the directory's record.
func (f *fleet) newSender() *fleetSender {
	s := &fleetSender{hasWork: true}
	s.limiter.SetSenders(f.now, max(len(f.senders), 1))
	if observation, isNew := s.directory.ApplyRecord(f.now, f.record); isNew {
		s.limiter.Observe(observation)
	}
	return s
}

// schedule delivers a message after a random delay between least and most.
func (f *fleet) schedule(least, most time.Duration, name string, deliver func(time.Time)) {
	delay := least + time.Duration(rapid.Int64Range(0, int64(most-least)).Draw(f.t, name))
	f.messages = append(f.messages, fleetMessage{at: f.now.Add(delay), deliver: deliver})
}

// advance moves the time forward. Every sender sends as much as it is allowed to.
func (f *fleet) advance(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(fleetTick)
		f.deliver()
		for _, s := range f.senders {
			f.step(s)
		}
	}
}

func (f *fleet) deliver() {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.messages = append(f.messages, m)
			continue
		}
		m.deliver(f.now)
	}
}

// step makes a sender send what it is allowed to send and propose its record if one is due.
func (f *fleet) step(s *fleetSender) {
	if f.now.Before(s.pausedUntil) {
		return
	}
	for range min(s.limiter.Available(f.now), 2) {
		if s.hasWork {
			s.limiter.Take(f.now)
			s.limiter.RecordSend(f.now)
			f.send(s)
		}
	}
	record, isDue := s.directory.NextProposal(f.now)
	if !isDue {
		return
	}
	if f.now.Before(s.disconnectedUntil) {
		s.directory.ProposalEnded()
		return
	}
	f.schedule(time.Millisecond, 60*time.Millisecond, "commit", func(time.Time) {
		s.directory.ProposalEnded()
		f.commit(record)
	})
}

// send delivers a request to the server and schedules its response.
func (f *fleet) send(s *fleetSender) {
	sentAt, rate := f.now, f.rate
	f.arrivals = append(f.arrivals, fleetArrival{f.now, s})
	f.schedule(time.Millisecond, 80*time.Millisecond, "answer", func(now time.Time) {
		if s.firstRateAt.IsZero() && rate.Limited {
			s.firstRateAt = now
		}
		o := Observation{Advice: Advice{Rate: rate}, Route: RouteRun, SentAt: sentAt, ReceivedAt: now}
		s.limiter.Observe(o)
		s.directory.Observe(o, s.limiter.Rate())
	})
}

// commit stores a record under the version rules of the replicated state, and sends it to the senders.
func (f *fleet) commit(record Record) {
	if f.record.Version > record.Version {
		return
	}
	f.index++
	f.record = Record{Rate: record.Rate, Version: f.index}
	if !record.Rate.Limited {
		f.record = Record{}
	}
	committed := f.record
	for _, s := range f.senders {
		f.schedule(time.Millisecond, 100*time.Millisecond, "push", func(now time.Time) {
			if now.Before(s.disconnectedUntil) {
				return
			}
			if observation, isNew := s.directory.ApplyRecord(now, committed); isNew {
				s.limiter.Observe(observation)
			}
		})
	}
}

// setRate sets the rate that the server names in its responses.
func (f *fleet) setRate(perSecond float64) {
	if !f.rate.Limited {
		f.limitedSince, f.highestRate = f.now, 0
	}
	f.rate = Rate{Limited: true, PerSecond: perSecond}
	f.highestRate = max(f.highestRate, perSecond)
}

// injectFault changes the server's rate or applies a fault to one sender or to all of them.
func (f *fleet) injectFault(highest float64) {
	i := rapid.IntRange(0, len(f.senders)-1).Draw(f.t, "sender")
	d := time.Duration(rapid.IntRange(100, 3000).Draw(f.t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 6).Draw(f.t, "what") {
	case 0:
		f.setRate(rapid.Float64Range(0, highest).Draw(f.t, "rate"))
	case 1:
		f.senders[i] = f.newSender()
	case 2:
		f.senders[i].pausedUntil = f.now.Add(d)
	case 3:
		f.senders[i].disconnectedUntil = f.now.Add(d)
	case 4:
		f.senders[i].hasWork = !f.senders[i].hasWork
	case 5:
		for _, s := range f.senders {
			s.pausedUntil = f.now.Add(min(d, time.Second))
		}
	default:
	}
}

// check compares the requests of senders that know the limit with the rate, in every window.
func (f *fleet) check(rate float64) {
	var counted []time.Time
	for _, a := range f.arrivals {
		knowsRate := !a.sender.firstRateAt.IsZero() && a.at.Sub(a.sender.firstRateAt) >= observedGrace
		if knowsRate && a.at.Sub(f.limitedSince) >= settleTime {
			counted = append(counted, a.at)
		}
	}
	allowed := rate*(checkedWindow+maxCatchUp).Seconds() + float64(len(f.senders))
	if got := MaxInWindow(counted, checkedWindow); float64(got) > allowed {
		f.t.Fatalf("%d requests in %s at %g per second from %d senders", got, checkedWindow, rate, len(f.senders))
	}
}

// Senders that restart, pause, lose the directory or receive responses late must not exceed the server's rate together,
// in any window.
func TestSendersTogetherStayWithinServerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "senders"))
		for _, s := range f.senders {
			s.limiter.SetSenders(f.now, len(f.senders))
		}
		highest := rapid.Float64Range(0.3, 12).Draw(t, "highest")
		f.advance(time.Second)
		f.setRate(highest)
		for range 25 {
			f.advance(time.Duration(rapid.IntRange(20, 600).Draw(t, "pass")) * time.Millisecond)
			f.injectFault(highest)
		}
		f.advance(checkedWindow)
		f.check(f.highestRate)
	})
}

// A rate limit must not stay in force, at a sender or in the directory, after the responses to all senders stop naming
// a rate.
func TestRateLimitEndsForAllSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3)
		f.setRate(5)
		f.advance(5 * time.Second)
		f.rate = Rate{}
		f.advance(10 * time.Second)
		for _, s := range f.senders {
			require.False(t, s.limiter.Rate().Limited)
		}
		require.False(t, f.record.Rate.Limited)
	})
}

// A sender that starts must follow the rate that the directory already has. Otherwise it sends freely until its first
// response.
func TestNewSenderLearnsRateFromDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 2)
		f.setRate(2)
		f.advance(2 * time.Second)
		s := f.newSender()
		require.Equal(t, 2.0, s.limiter.Rate().PerSecond)
		require.Zero(t, s.limiter.Available(f.now))
	})
}
