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
	// toldGrace and settleTime are after which a sender that was told, and a server that named a rate first, are held to it.
	toldGrace  = 500 * time.Millisecond
	settleTime = 3 * time.Second
	ruleWindow = 4 * time.Second
)

// fleetSender is one sender of a simulated fleet: the product's own limiter and directory logic.
type fleetSender struct {
	limiter   Limiter
	directory DirectorySync
	frozen    time.Time // until when nothing happens
	cut       time.Time // until when it hears nothing of the directory
	told      time.Time // when it passed on the first answer that named a rate, zero before
	eager     bool      // work waits for the server
}

// fleetMessage is something that arrives later.
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

	rate    Rate // that the server names
	named   time.Time
	highest float64 // that it named in this run
	record  Record  // that the directory has
	index   uint64

	arrivals []fleetArrival
}

func newFleet(t *rapid.T, senders int) *fleet {
	f := &fleet{t: t, now: start}
	for range senders {
		f.senders = append(f.senders, f.newSender())
	}
	return f
}

// newSender starts a sender, which knows what the directory has.
func (f *fleet) newSender() *fleetSender {
	s := &fleetSender{eager: true}
	s.limiter.SetSenders(f.now, max(len(f.senders), 1))
	if word, isNews := s.directory.ApplyRecord(f.now, f.record); isNews {
		s.limiter.Observe(word)
	}
	return s
}

func (f *fleet) after(least, most time.Duration, name string, deliver func(time.Time)) {
	delay := least + time.Duration(rapid.Int64Range(0, int64(most-least)).Draw(f.t, name))
	f.messages = append(f.messages, fleetMessage{at: f.now.Add(delay), deliver: deliver})
}

// pass lets time pass; every sender sends what it may.
func (f *fleet) pass(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(fleetTick)
		f.deliver()
		for _, s := range f.senders {
			f.work(s)
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

// work has a sender send what it may, and propose what it should.
func (f *fleet) work(s *fleetSender) {
	if f.now.Before(s.frozen) {
		return
	}
	for range min(s.limiter.Available(f.now), 2) {
		if s.eager {
			s.limiter.Take(f.now)
			s.limiter.RecordSend(f.now)
			f.send(s)
		}
	}
	record, isDue := s.directory.NextProposal(f.now)
	if !isDue {
		return
	}
	if f.now.Before(s.cut) {
		s.directory.ProposalEnded()
		return
	}
	f.after(time.Millisecond, 60*time.Millisecond, "commit", func(time.Time) {
		s.directory.ProposalEnded()
		f.commit(record)
	})
}

// send lets a request reach the server, and its answer come back.
func (f *fleet) send(s *fleetSender) {
	asked, rate := f.now, f.rate
	f.arrivals = append(f.arrivals, fleetArrival{f.now, s})
	f.after(time.Millisecond, 80*time.Millisecond, "answer", func(now time.Time) {
		if s.told.IsZero() && rate.Limited {
			s.told = now
		}
		o := Observation{Advice: Advice{Rate: rate}, Route: RouteRun, SentAt: asked, ReceivedAt: now}
		s.limiter.Observe(o)
		s.directory.Observe(o, s.limiter.Rate())
	})
}

// commit puts a record in force, as the replicated state does, and tells the senders.
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
		f.after(time.Millisecond, 100*time.Millisecond, "push", func(now time.Time) {
			if now.Before(s.cut) {
				return
			}
			if word, isNews := s.directory.ApplyRecord(now, committed); isNews {
				s.limiter.Observe(word)
			}
		})
	}
}

// name has the server name a rate from now on.
func (f *fleet) name(perSecond float64) {
	if !f.rate.Limited {
		f.named, f.highest = f.now, 0
	}
	f.rate = Rate{Limited: true, PerSecond: perSecond}
	f.highest = max(f.highest, perSecond)
}

// disturb lets something happen.
func (f *fleet) disturb(highest float64) {
	i := rapid.IntRange(0, len(f.senders)-1).Draw(f.t, "sender")
	d := time.Duration(rapid.IntRange(100, 3000).Draw(f.t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 6).Draw(f.t, "what") {
	case 0:
		f.name(rapid.Float64Range(0, highest).Draw(f.t, "rate"))
	case 1:
		f.senders[i] = f.newSender()
	case 2:
		f.senders[i].frozen = f.now.Add(d)
	case 3:
		f.senders[i].cut = f.now.Add(d)
	case 4:
		f.senders[i].eager = !f.senders[i].eager
	case 5:
		for _, s := range f.senders {
			s.frozen = f.now.Add(min(d, time.Second))
		}
	default:
	}
}

// check holds the arrivals of senders that were told against the rate, in every window.
func (f *fleet) check(rates float64) {
	var counted []time.Time
	for _, a := range f.arrivals {
		isTold := !a.sender.told.IsZero() && a.at.Sub(a.sender.told) >= toldGrace
		if isTold && a.at.Sub(f.named) >= settleTime {
			counted = append(counted, a.at)
		}
	}
	allowed := rates*(ruleWindow+catchUp).Seconds() + float64(len(f.senders))
	if got := MaxInWindow(counted, ruleWindow); float64(got) > allowed {
		f.t.Fatalf("%d requests in %s at %g a second from %d senders", got, ruleWindow, rates, len(f.senders))
	}
}

// Senders that crash, freeze, are cut off from the directory, start anew and hear words late keep to a server's rate together, in
// every window.
func TestFleetKeepsToTheRateOfAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "senders"))
		for _, s := range f.senders {
			s.limiter.SetSenders(f.now, len(f.senders))
		}
		highest := rapid.Float64Range(0.3, 12).Draw(t, "highest")
		f.pass(time.Second)
		f.name(highest)
		for range 25 {
			f.pass(time.Duration(rapid.IntRange(20, 600).Draw(t, "pass")) * time.Millisecond)
			f.disturb(highest)
		}
		f.pass(ruleWindow)
		f.check(f.highest)
	})
}

// A rate that ends, by all senders' own answers, binds nobody any more.
func TestFleetSendsFreelyOnceTheRateHasEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3)
		f.name(5)
		f.pass(5 * time.Second)
		f.rate = Rate{}
		f.pass(10 * time.Second)
		for _, s := range f.senders {
			require.False(t, s.limiter.Rate().Limited)
		}
		require.False(t, f.record.Rate.Limited)
	})
}

// A sender that starts knows at once what the others were told.
func TestSuccessorKnowsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 2)
		f.name(2)
		f.pass(2 * time.Second)
		s := f.newSender()
		require.Equal(t, 2.0, s.limiter.Rate().PerSecond)
		require.Zero(t, s.limiter.Available(f.now))
	})
}
