package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// observeRate delivers a response that sets a rate limit.
func (b *harness) observeRate(perSecond float64) []Action {
	return b.step(ServerObserved{backpressure.Observation{
		Advice: backpressure.Advice{Rate: backpressure.Rate{Limited: true, PerSecond: perSecond}},
		Route:  backpressure.RouteRun, SentAt: b.now, ReceivedAt: b.now,
	}})
}

// observeNoRate delivers a response without advice, to a call made at this time.
func (b *harness) observeNoRate() []Action {
	return b.step(ServerObserved{backpressure.Observation{Route: backpressure.RouteRun, SentAt: b.now, ReceivedAt: b.now}})
}

// busyServer is a harness with a steady supply of reservations, whose runs end at once.
type busyServer struct {
	*harness
	next    int
	offered []*wire.AttemptID
	started []time.Time
}

// run advances the clock, answers each offer in the tick after it, and keeps reservations waiting.
func (s *busyServer) run(d time.Duration) {
	until := s.now.Add(d)
	for s.now.Before(until) {
		s.now = s.now.Add(TickInterval)
		s.processActions(s.step(Tick{}))
		for range max(3-s.gate.waiting.count, 0) {
			s.next++
			s.processActions(s.reserve(entryA, id(fmt.Sprint("r", s.next), 1), work()))
		}
		offers := s.offered
		s.offered = nil
		for _, attempt := range offers {
			s.processActions(s.dispatchOffered(entryA, attempt, work()))
		}
		if !s.now.Before(s.nextHeartbeat) {
			s.nextHeartbeat = s.now.Add(500 * time.Millisecond)
			s.processActions(s.receive(entryA, heartbeat()))
			s.processActions(s.step(Announced{Server: s.gate.server.record}))
		}
	}
}

func (s *busyServer) processActions(actions []Action) {
	for _, a := range actionsOf[Send](actions) {
		if offer := a.Message.GetOffer(); offer != nil {
			s.offered = append(s.offered, offer.GetAttempt())
		}
	}
	for _, a := range actionsOf[StartEngine](actions) {
		s.started = append(s.started, s.now)
		s.processActions(s.finish(a.Dispatch.GetAttempt()))
	}
}

// A rate limit also bounds what is sent after offers, and it is used up while work waits.
func TestRateLimitHoldsForOffersAndIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 2.8, 20} {
		s := &busyServer{harness: newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))}
		s.observeRate(perSecond)
		s.run(40 * time.Second)
		require.LessOrEqual(t, float64(backpressure.MaxInWindow(s.started, 4*time.Second)), 4.1*perSecond+1, "%g a second", perSecond)
		require.GreaterOrEqual(t, float64(len(s.started)), 0.9*perSecond*40, "%g a second", perSecond)
		noChartErrors(t, s.harness)
	}
}

func TestRateLimitThatChangesAndEnds(t *testing.T) {
	s := &busyServer{harness: newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))}
	s.observeRate(10)
	s.run(4 * time.Second)
	s.started = nil
	s.observeRate(2)
	s.run(10 * time.Second)
	require.LessOrEqual(t, backpressure.MaxInWindow(s.started, 4*time.Second), 9)
	s.started = nil
	s.observeNoRate()
	s.run(time.Second)
	require.Greater(t, len(s.started), 50, "no limit is left")
}

// Offers made before the rate limit arrives must not exceed it, and their requests must be free to go to another
// server.
func TestOffersLapseWhenARateLimitArrives(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(4))
	for i := range 3 {
		b.reserve(entryA, id(fmt.Sprint("r", i), 1), work())
	}
	require.Len(t, offeredIDs(b.actions), 3)
	require.Len(t, actionsOf[ThrottleChanged](b.observeRate(1)), 1)
	require.Empty(t, b.gate.held)
	for i := range 3 {
		over := refusedWith(t, b.dispatchOffered(entryA, id(fmt.Sprint("r", i), 1), work()), result.ServerRateLimited)
		require.NotZero(t, over.RetryAfterMs)
	}
	noChartErrors(t, b)
}

// Cancelling work for the first tier gains nothing at a server that accepts no more requests.
func TestNothingIsPreemptedForARateLimit(t *testing.T) {
	b := newReadyHarness(t)
	b.fillSlots()
	b.observeRate(0.5)
	b.actions = nil
	b.reserve(entryB, id("urgent", 1), firstTierWork())
	b.advance(500 * time.Millisecond)
	require.Empty(t, actionsOf[CancelEngine](b.actions))
}

// Entries choose by the room and the backlog of a gate: with the slots alone, a limited server would look like the
// one with the most room.
func TestRateLimitShowsInTheRoom(t *testing.T) {
	b := newReadyHarness(t)
	require.Positive(t, b.gate.free())
	b.observeRate(1)
	require.Zero(t, b.gate.free())
	require.InDelta(t, time.Second, b.gate.backlog(), float64(50*time.Millisecond))
	b.advance(1200 * time.Millisecond)
	require.Equal(t, 1, b.gate.free())
	b.start(entryA, id("r", 1), work())
	require.Zero(t, b.gate.free())
	status := b.gate.Status()
	require.Equal(t, 1.0, status.RateLimit.PerSecond)
	require.Positive(t, status.NextSend)
}

// A limited server is neither slow nor failing, so it stays ready.
func TestLimitedServerStaysReady(t *testing.T) {
	s := &busyServer{harness: newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))}
	s.observeRate(0.3)
	s.run(time.Minute)
	require.Equal(t, wire.ServerCondition_SERVER_CONDITION_READY, s.gate.condition())
}

func TestSendersShareARate(t *testing.T) {
	s := &busyServer{harness: newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))}
	s.step(SendersChanged{Count: 4})
	s.observeRate(8)
	s.run(20 * time.Second)
	require.LessOrEqual(t, backpressure.MaxInWindow(s.started, 4*time.Second), 9)
	require.GreaterOrEqual(t, len(s.started), 36)
}

// For random schedules of rate limits, offers, lapses, dispatches and lost links, no window has more starts than
// the highest rate allows.
func TestNoScheduleExceedsARateLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &busyServer{harness: newReadyHarnessWith(rt, Config{NoPredecessor: true}, sampleRecord(6))}
		highest := rapid.Float64Range(0.2, 15).Draw(rt, "highest")
		s.observeRate(highest)
		for range 60 {
			s.randomEvent(rt, highest)
			s.run(time.Duration(rapid.IntRange(1, 400).Draw(rt, "pass")) * time.Millisecond)
		}
		// A late answer to an offer is sent up to DefaultOfferTimeout after its permit was taken.
		allowed := highest*(4*time.Second+DefaultOfferTimeout+100*time.Millisecond).Seconds() + 1
		if got := backpressure.MaxInWindow(s.started, 4*time.Second); float64(got) > allowed {
			rt.Fatalf("%d starts in 4 s at %g a second", got, highest)
		}
	})
}

// randomEvent applies one event that a schedule may contain.
func (s *busyServer) randomEvent(rt *rapid.T, highest float64) {
	switch rapid.IntRange(0, 7).Draw(rt, "what") {
	case 0:
		s.observeRate(rapid.Float64Range(0, highest).Draw(rt, "rate"))
	case 1:
		s.offered = nil // the entry doesn't answer
	case 2:
		s.next++
		s.processActions(s.dispatch(entryB, id(fmt.Sprint("straight", s.next), 1), firstTierWork()))
	case 3:
		s.step(EntryDisconnected{Entry: entryB})
		s.step(EntryConnected{Entry: entryB})
	case 4:
		for _, attempt := range s.offered {
			s.processActions(s.receive(entryA, &wire.EntryMessage{Kind: &wire.EntryMessage_Decline{
				Decline: &wire.Decline{Attempt: attempt, Server: sampleServer},
			}}))
		}
		s.offered = nil
	case 5:
		s.step(SendersChanged{Count: rapid.IntRange(1, 3).Draw(rt, "senders")})
	case 6:
		s.step(ServerObserved{backpressure.Observation{Route: backpressure.RouteRun, Refused: true, SentAt: s.now, ReceivedAt: s.now}})
	default:
	}
}

// observeBackoff delivers a refusal that asks for a backoff.
func (b *harness) observeBackoff(backoff time.Duration) []Action {
	return b.step(ServerObserved{backpressure.Observation{
		Advice: backpressure.Advice{Backoff: backoff},
		Route:  backpressure.RouteRun, Refused: true, SentAt: b.now, ReceivedAt: b.now,
	}})
}

// Entries have to be told at once of a backoff, and again when it is over, since they have no other source for it.
func TestBackoffIsBroadcast(t *testing.T) {
	b := newReadyHarness(t)
	b.advance(100 * time.Millisecond)
	broadcasts := rooms(b.observeBackoff(2 * time.Second))
	require.NotEmpty(t, broadcasts)
	require.Equal(t, wire.Throttle_THROTTLE_BACKOFF, broadcasts[0].GetThrottle())
	require.Zero(t, broadcasts[0].GetFree())
	require.GreaterOrEqual(t, broadcasts[0].GetBacklogMs(), uint32(1900))
	require.Equal(t, wire.ServerCondition_SERVER_CONDITION_READY, broadcasts[0].GetCondition())
	b.actions = nil
	b.advance(2100 * time.Millisecond)
	broadcasts = rooms(b.actions)
	require.NotEmpty(t, broadcasts)
	require.Equal(t, wire.Throttle_THROTTLE_UNSPECIFIED, broadcasts[len(broadcasts)-1].GetThrottle())
	require.EqualValues(t, 1, broadcasts[len(broadcasts)-1].GetFree(), "one trial is free")
}

// A body that arrives without an offer must not wait here through a backoff, since another server may be free.
func TestDispatchDuringBackoffIsRefusedAtOnce(t *testing.T) {
	b := newReadyHarness(t)
	b.fillSlots()
	b.observeBackoff(2 * time.Second)
	b.actions = nil
	over := refusedWith(t, b.dispatch(entryA, id("urgent", 1), firstTierWork()), result.ServerBackoff)
	require.GreaterOrEqual(t, over.RetryAfterMs, uint32(1900))
	require.Len(t, actionsOf[Throttled](b.actions), 1)
}

func TestOneTrialAfterABackoff(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(4))
	b.observeBackoff(time.Second)
	b.advance(time.Second + TickInterval)
	for i := range 4 {
		b.reserve(entryA, id(fmt.Sprint("r", i), 1), work())
	}
	require.Len(t, offeredIDs(b.actions), 1)
	b.dispatchOffered(entryA, id("r0", 1), work())
	b.step(ServerObserved{backpressure.Observation{Route: backpressure.RouteRun, SentAt: b.now, ReceivedAt: b.now}})
	require.Len(t, offeredIDs(b.actions), 4)
}
