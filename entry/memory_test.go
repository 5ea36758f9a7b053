package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// windowedServer answers the dispatches of a fakeAgent with long streams, and sends no more than its credits allow.
type windowedServer struct {
	events   []string
	delay    time.Duration // before the first event
	interval time.Duration // between two events
	loses    func(n int) bool
	over     <-chan struct{} // closed at the end of the test

	mu      sync.Mutex
	credits int // received
	limits  map[string]*sendLimit
	stopped map[string]bool
}

type sendLimit struct {
	bytes, window uint64
	changed       chan struct{}
}

func newWindowedServer(a *fakeAgent, events int, size int) *windowedServer {
	s := &windowedServer{limits: map[string]*sendLimit{}, stopped: map[string]bool{}, loses: func(int) bool { return false }}
	s.over = a.harness.t.Context().Done()
	for i := range events {
		s.events = append(s.events, chatEvent(strings.Repeat(strconv.Itoa(i%10), size)))
	}
	s.events = append(s.events, chatEnd)
	a.setHandlers(func(d *receivedDispatch) { go s.answer(d) }, func(id link.EntryID, c *wire.Cancel) {
		s.stop(c.GetAttempt())
		over := &wire.Over{Attempt: c.GetAttempt(), Server: a.server, Proof: wire.Proof_PROOF_CANCELLED, Began: true}
		a.send(id, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}})
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onCredit = s.credit
	return s
}

func attemptName(id *wire.AttemptID) string {
	return id.GetRequest() + "." + strconv.FormatUint(id.GetNumber(), 10)
}

// limit returns the limit of an attempt. The lock must be held.
func (s *windowedServer) limit(id *wire.AttemptID) *sendLimit {
	name := attemptName(id)
	if s.limits[name] == nil {
		s.limits[name] = &sendLimit{changed: make(chan struct{}, 1)}
	}
	return s.limits[name]
}

func (s *windowedServer) credit(c *wire.Credit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credits++
	if s.loses(s.credits) {
		return
	}
	l := s.limit(c.GetAttempt())
	l.bytes, l.window = max(l.bytes, c.GetBytes()), c.GetWindow()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (s *windowedServer) stop(id *wire.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped[attemptName(id)] = true
	select {
	case s.limit(id).changed <- struct{}{}:
	default:
	}
}

// answer streams the events, each once the credits have room for it.
func (s *windowedServer) answer(d *receivedDispatch) {
	s.wait(s.delay)
	sent := uint64(0)
	for i, event := range s.events {
		if !s.await(d.message.GetAttempt(), sent, uint64(len(event))) {
			return
		}
		d.sendFrame(uint64(i), event)
		sent += uint64(len(event))
		s.wait(s.interval)
	}
	d.sendEnd("text/event-stream", s.events...)
}

// wait waits, until the end of the test at most.
func (s *windowedServer) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.over:
	}
}

// await waits until an event may be sent. It returns false if the attempt was cancelled.
func (s *windowedServer) await(id *wire.AttemptID, sent, size uint64) bool {
	for {
		s.mu.Lock()
		l, stopped := s.limit(id), s.stopped[attemptName(id)]
		allowed := l.window == 0 || sent <= l.bytes || sent+size <= l.bytes+l.window
		s.mu.Unlock()
		if stopped {
			return false
		}
		if allowed {
			return true
		}
		select {
		case <-l.changed:
		case <-s.over:
			return false
		}
	}
}

// text returns what a caller of a whole answer receives.
func (s *windowedServer) text() string {
	var text strings.Builder
	for _, event := range s.events {
		text.WriteString(eventPrefix + event + eventEnd)
	}
	return text.String() + streamEnd
}

const testHeldBytes = 6 * settings.MiB

// newMemoryHarness returns a harness with an entry that counts what it holds, and its log.
func newMemoryHarness(t *testing.T, change func(*settings.Entry)) (*harness, *logRecorder) {
	t.Helper()
	h := newHarness(t, 0)
	logs := new(logRecorder)
	h.logs = logs
	h.addEntry(func(s *settings.Entry) {
		s.Memory.HeldBytes = testHeldBytes
		if change != nil {
			change(s)
		}
	})
	return h, logs
}

// logRecorder keeps log lines. The handler of the log library can't be read while others write.
type logRecorder struct {
	mu      sync.Mutex
	entries []*log.Entry
}

// HandleLog implements log.Handler.
func (r *logRecorder) HandleLog(entry *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entry)
	return nil
}

// logged returns the lines with a message.
func logged(logs *logRecorder, message string) []*log.Entry {
	logs.mu.Lock()
	defer logs.mu.Unlock()
	var found []*log.Entry
	for _, entry := range logs.entries {
		if entry.Message == message {
			found = append(found, entry)
		}
	}
	return found
}

// openStream begins a stream of an organisation and reads nothing of it.
func (h *harness) openStream(ctx context.Context, key string) *http.Response {
	request := h.request(ctx, 1, http.MethodPost, chatPath, streamBody, "Authorization: Bearer "+key, "Carawaypitch-Class: summary")
	response, err := h.client.Do(request)
	require.NoError(h.t, err)
	return response
}

func (h *harness) held() int64 {
	m := h.entries[0].memory
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Total()
}

// waitingBytes returns what waits for callers, whether it is counted or not.
func (h *harness) waitingBytes() int64 {
	calls := h.entries[0].calls
	calls.mu.Lock()
	defer calls.mu.Unlock()
	total := int64(0)
	for _, c := range calls.all {
		c.mu.Lock()
		total += int64(c.bytes)
		c.mu.Unlock()
	}
	return total
}

func (h *harness) heldBy(organisation string) int64 {
	m := h.entries[0].memory
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Organisation(organisation)
}

// Load test: 200 callers read nothing of long answers beside 50 that read. Without the bound each of the 200 holds what
// limits.max_answer allows, and the process ends.
func TestCallersThatReadNothingDontHarmThoseThatRead(t *testing.T) {
	const readers, others = 50, 200
	without := readersLoad(t, 0, readers, others)
	require.Greater(t, without.peak, 10*int64(testHeldBytes))
	require.Empty(t, without.ended)
	alone := readersLoad(t, testHeldBytes, readers, 0)
	beside := readersLoad(t, testHeldBytes, readers, others)
	require.Equal(t, alone.took, beside.took, "each answer arrives as without the others")
	require.LessOrEqual(t, beside.peak, int64(testHeldBytes))
	require.Greater(t, beside.peak, int64(testHeldBytes)*9/10, "the load reaches the bound")
	require.Len(t, beside.ended, others)
	for _, entry := range beside.ended {
		require.Equal(t, "yatai", entry.Fields["organisation"])
	}
	require.LessOrEqual(t, beside.last, 3*time.Second, "reader_timeout + 1 s after the first window was full")
	t.Logf("peak %d bytes, without the setting %d, bound %d; ended by cause %v; last after %s; readers took up to %s, alone %s",
		beside.peak, without.peak, int64(testHeldBytes), beside.causes, beside.last, beside.took[readers-1], alone.took[readers-1])
}

// readersResult is what a run of readersLoad showed.
type readersResult struct {
	took   []time.Duration // of each reader's whole answer
	peak   int64           // bytes held
	ended  []*log.Entry
	causes map[any]int
	last   time.Duration // between the first full window and the last end
}

func readersLoad(t *testing.T, heldBytes settings.Size, readers, others int) readersResult {
	t.Helper()
	r := readersResult{took: make([]time.Duration, readers), causes: map[any]int{}}
	synctest.Test(t, func(t *testing.T) {
		h, logs := newMemoryHarness(t, func(s *settings.Entry) { s.Memory.HeldBytes = heldBytes })
		server := newWindowedServer(h.addModel(1), 300, 2000)
		server.delay, server.interval = time.Second, 10*time.Millisecond
		began := time.Now()
		ctx, leave := context.WithCancel(t.Context())
		var reading, waiting sync.WaitGroup
		for range others {
			waiting.Go(func() {
				response := h.openStream(ctx, yataiKey)
				<-ctx.Done()
				_ = response.Body.Close()
			})
		}
		for i := range readers {
			reading.Go(func() {
				response := h.openStream(t.Context(), compostKey)
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				require.NoError(t, err)
				require.True(t, server.text() == string(body), "the answer is whole")
				r.took[i] = time.Since(began)
			})
		}
		fullSince, done := time.Time{}, false
		for !done {
			time.Sleep(time.Millisecond)
			r.peak = max(r.peak, h.held(), h.waitingBytes())
			if heldBytes > 0 && fullSince.IsZero() && anyFull(h.entries[0]) {
				fullSince = time.Now()
			}
			done = time.Since(began) > 8*time.Second
		}
		reading.Wait()
		leave()
		waiting.Wait()
		r.ended = logged(logs, "call_ended_early")
		for _, entry := range r.ended {
			r.causes[entry.Fields["cause"]]++
			r.last = max(r.last, entry.Timestamp.Sub(fullSince))
		}
		synctest.Wait()
		require.Zero(t, h.held(), "all is freed")
	})
	return r
}

func anyFull(e *Entry) bool {
	for _, h := range e.memory.submitted() {
		h.call.mu.Lock()
		full := h.call.flow.isFull(false)
		h.call.mu.Unlock()
		if full {
			return true
		}
	}
	return false
}

// A caller on a slow line must not lose its answer to a rule against callers that read nothing: it takes several times
// reader_timeout for each window.
func TestSlowButSteadyReaderIsServedToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, logs := newMemoryHarness(t, nil)
		patient := proto.CloneOf(testClasses["summary"])
		patient.Name, patient.DeadlineMs = "patient", 60_000
		h.control.publish(func(v *session.View) {
			v.ConfigVersion = 2
			v.Classes = map[string]*wire.Class{"patient": patient}
		})
		server := newWindowedServer(h.addModel(1), 110, 4000)
		request := h.request(t.Context(), 1, http.MethodPost, chatPath, streamBody, "Carawaypitch-Class: patient")
		response, err := h.client.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		began := time.Now()
		var body strings.Builder
		piece := make([]byte, 4000)
		for {
			n, err := response.Body.Read(piece)
			body.Write(piece[:n])
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			time.Sleep(300 * time.Millisecond)
		}
		require.Greater(t, time.Since(began), 15*time.Second)
		require.True(t, server.text() == body.String(), "the answer is whole")
		require.Empty(t, logged(logs, "call_ended_early"))
	})
}

// The server has to be told at once that nobody reads: it cuts a response off that is unread for some seconds, and works
// for nothing until then.
func TestCallThatReadsNothingIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, logs := newMemoryHarness(t, nil)
		agent := h.addModel(1)
		newWindowedServer(agent, 200, 4000)
		response := h.openStream(t.Context(), compostKey)
		defer response.Body.Close()
		synctest.Wait()
		require.LessOrEqual(t, h.held(), int64(64*settings.KiB)+4200, "one window and the body")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, 1, agent.cancelCount())
		require.Zero(t, h.held())
		lines := logged(logs, "call_ended_early")
		require.Len(t, lines, 1)
		require.Equal(t, "compost", lines[0].Fields["organisation"])
		require.Equal(t, agent.dispatchList()[0].message.GetAttempt().GetRequest(), lines[0].Fields["request"])
		require.Equal(t, "reads_nothing", lines[0].Fields["cause"])
		require.Greater(t, lines[0].Fields["held"], int64(50_000))
		_, err := io.ReadAll(response.Body)
		require.Error(t, err, "what comes after a pause isn't taken for a whole answer")
	})
}

// Without a repeat, a credit lost after everything was read would be the last one, and the answer would never go on.
func TestLostCreditIsRepairedByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newMemoryHarness(t, nil)
		agent := h.addModel(1)
		server := newWindowedServer(agent, 100, 4000)
		server.loses = func(n int) bool { return n > 1 && n%3 != 0 || n > 8 && n < 16 }
		response := h.openStream(t.Context(), compostKey)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.True(t, server.text() == string(body), "the answer is whole")
	})
}

// After a link broke, the agent may not have received the last credits. It must learn them once the link is back, or the
// attempt waits although its caller has read everything.
func TestCreditStartsAnewAfterALostLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newMemoryHarness(t, nil)
		agent := h.addModel(1)
		newWindowedServer(agent, 100, 4000).interval = 20 * time.Millisecond
		response := h.openStream(t.Context(), compostKey)
		defer response.Body.Close()
		reader := bufio.NewReader(response.Body)
		_, err := io.ReadFull(reader, make([]byte, 40_000))
		require.NoError(t, err)
		synctest.Wait()
		before := len(agent.creditList())
		h.net.Reset(agent.host)
		for agent.linkCount() < 2 {
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		after := agent.creditList()[before:]
		require.NotEmpty(t, after)
		require.Greater(t, after[0].GetBytes(), uint64(30_000))
		require.EqualValues(t, 64*settings.KiB, after[0].GetWindow())
	})
}

// Bytes that stay counted after their caller has left would end the calls of others.
func TestCallerThatLeavesFreesItsBytesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, logs := newMemoryHarness(t, nil)
		newWindowedServer(h.addModel(1), 200, 4000)
		ctx, leave := context.WithCancel(t.Context())
		response := h.openStream(ctx, compostKey)
		defer response.Body.Close()
		time.Sleep(time.Second)
		require.Greater(t, h.held(), int64(50_000))
		leave()
		synctest.Wait()
		require.Zero(t, h.held())
		require.Empty(t, logged(logs, "call_ended_early"))
	})
}

// A process that ends must not wait for callers that read nothing, and has nothing to free elsewhere.
func TestEntryStopsWhileItHoldsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newMemoryHarness(t, func(s *settings.Entry) { s.Timing.Drain = time.Second })
		newWindowedServer(h.addModel(1), 200, 4000)
		response := h.openStream(t.Context(), compostKey)
		defer response.Body.Close()
		synctest.Wait()
		require.Greater(t, h.held(), int64(50_000))
		require.NoError(t, h.stops[0]())
		synctest.Wait()
		require.Zero(t, h.held())
	})
}

// An organisation whose callers hold more than its share would take the rest too if it got new work. A refusal has to be
// true: nothing of it may be dispatched.
func TestNewWorkOfOrganisationOverItsShareIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newMemoryHarness(t, func(s *settings.Entry) { s.Memory.HeldBytes = 512 * settings.KiB })
		agent := h.addModel(1)
		newWindowedServer(agent, 200, 4000)
		var open []*http.Response
		for _, key := range []string{yataiKey, yataiKey, yataiKey, compostKey} {
			open = append(open, h.openStream(t.Context(), key))
			synctest.Wait()
		}
		require.Greater(t, h.heldBy("yatai"), int64(128*settings.KiB))
		dispatched := agent.dispatchCount("")
		refused := h.call(1, http.MethodPost, chatPath, streamBody, "Authorization: Bearer "+yataiKey, "Carawaypitch-Class: summary")
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.Equal(t, result.OverMemoryShare, refused.code(t).Code)
		require.Equal(t, result.RanNo, refused.code(t).Ran)
		require.Equal(t, "2", refused.header.Get("Retry-After"))
		require.Equal(t, dispatched, agent.dispatchCount(""))
		open = append(open, h.openStream(t.Context(), compostKey))
		time.Sleep(3 * time.Second)
		served := h.openStream(t.Context(), yataiKey)
		require.Equal(t, http.StatusOK, served.StatusCode, "the share is free once the calls that read nothing have ended")
		for _, response := range append(open, served) {
			_ = response.Body.Close()
		}
	})
}

// An operation with a key goes on without its caller: its record needs the whole answer, also if the caller that began it
// reads nothing.
func TestKeyedOperationOutlivesACallerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, logs := newMemoryHarness(t, nil)
		agent := h.addModel(1)
		newWindowedServer(agent, 130, 4000)
		request := h.request(t.Context(), 1, http.MethodPost, chatPath, streamBody, keyHeader("k"), "Carawaypitch-Class: summary")
		response, err := h.client.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		require.Len(t, logged(logs, "call_ended_early"), 1)
		require.Equal(t, []string{"begin", "release"}, h.control.commands(), "a repeatable operation is cancelled and its key released")
		require.Zero(t, h.held())
	})
}

// A commit may take longer than reader_timeout. Nothing is offered to the caller meanwhile, so a caller that reads must not
// be ended as one that reads nothing.
func TestCallerIsNotEndedWhileItsAnswerWaitsForTheCommit(t *testing.T) {
	for name, body := range map[string]string{"whole answer": chatBody, "stream": streamBody} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, logs := newMemoryHarness(t, func(s *settings.Entry) { s.Memory.ReaderWindowBytes = 16 * settings.KiB })
				h.control.update(func() {
					h.control.delay = func(command *wire.Command) time.Duration {
						if kindOf(command) == "complete" {
							return 4 * time.Second
						}
						return 0
					}
				})
				newWindowedServer(h.addModel(1), 10, 16_200) // no room for another event before the next credit
				answer := h.call(1, http.MethodPost, chatPath, body, keyHeader("k"), "Carawaypitch-Class: summary")
				require.NoError(t, answer.err)
				require.Equal(t, http.StatusOK, answer.status)
				require.Empty(t, logged(logs, "call_ended_early"))
				require.Equal(t, []string{"begin", "complete"}, h.control.commands())
			})
		})
	}
}

// A server may pause for longer than reader_timeout after an event as large as the window. A caller that has read
// everything must not be ended as one that reads nothing.
func TestCallerThatHasReadEverythingIsNotEndedWhileTheServerPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, logs := newMemoryHarness(t, func(s *settings.Entry) { s.Memory.ReaderWindowBytes = 16 * settings.KiB })
		server := newWindowedServer(h.addModel(1), 2, 20_000)
		server.interval = 3 * time.Second
		response := h.openStream(t.Context(), compostKey)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.True(t, server.text() == string(body), "the answer is whole")
		require.Empty(t, logged(logs, "call_ended_early"))
	})
}

// A caller whose side acknowledges nothing of what was written has not read it; one with nothing outstanding has.
func TestWindowIsFullOnlyIfTheCallerHasSomethingToRead(t *testing.T) {
	f := readerFlow{window: 1000, attempt: new(wire.AttemptID)}
	f.deliver([][]byte{make([]byte, 1001)})
	require.True(t, f.isFull(false), "nothing was written yet")
	f.wrote(1001)
	f.credit(time.Now())
	require.True(t, f.isFull(true))
	require.False(t, f.isFull(false))
}

// The agent holds a large event back while it doesn't know that a small one before it was written. Without a credit for the
// small one, which is less than an eighth of the window, the attempt would wait until its deadline.
func TestLargeEventAfterASmallOneIsNotHeldBackForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newMemoryHarness(t, func(s *settings.Entry) { s.Memory.ReaderWindowBytes = 16 * settings.KiB })
		server := newWindowedServer(h.addModel(1), 0, 0)
		server.events = []string{chatEvent(strings.Repeat("a", 300)), chatEvent(strings.Repeat("b", 32<<10)), chatEnd}
		response := h.openStream(t.Context(), compostKey)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.True(t, server.text() == string(body), "the answer is whole")
	})
}

// A stream that isn't blocked needs no repeats: with them each would cost four messages a second.
func TestRepeatsOfCreditsStopWhileFramesArriveAndGrowRare(t *testing.T) {
	const interval = 250 * time.Millisecond
	now := time.Unix(0, 0)
	f := readerFlow{window: 1000}
	f.begin(new(wire.AttemptID), "", 0)
	f.deliver([][]byte{make([]byte, 600)})
	f.wrote(600)
	f.credit(now)
	require.True(t, f.repeatIsDue(now.Add(interval), interval), "the credit may have been lost")
	f.heardAt = now.Add(interval)
	require.False(t, f.repeatIsDue(now.Add(interval), interval), "a frame came")
	require.True(t, f.repeatIsDue(now.Add(2*interval), interval))
	var gaps []int
	for step, last := 1, 0; step <= 20; step++ {
		at := f.heardAt.Add(time.Duration(step) * interval)
		if f.repeatIsDue(at, interval) {
			f.credit(at)
			gaps = append(gaps, step-last)
			last = step
		}
	}
	require.Equal(t, []int{1, 2, 4, 4, 4, 4}, gaps)
	f.deliver([][]byte{make([]byte, 10)})
	f.wrote(10)
	require.True(t, f.repeatIsDue(f.creditedAt.Add(interval), interval), "a credit with news doesn't wait longer")
}

// The ledger ends an account before its call learns of it. If events that arrive in between were dropped without a word, a
// call that completes at the same time would end as a whole answer that lacks them.
func TestAnswerWithDroppedEventsIsNotWhole(t *testing.T) {
	for name, other := range map[string]int{"ended to make room": 500, "nothing could make room": 0} {
		t.Run(name, func(t *testing.T) {
			m := newTestMemory(1000)
			h := m.open("r1", "a", nil)
			c := newCall(&sched.Request{ID: "r1", Stream: true}, 1<<20, h)
			require.True(t, h.follow(c))
			all := newCalls()
			require.True(t, all.register(c))
			pinned := m.open("r2", "b", nil)
			if other > 0 {
				require.True(t, h.hold(holding.Waiting, other))
				_, ok := m.ledger.Hold(pinned.account, holding.Pinned, 900) // the account has ended, its call has not
				require.True(t, ok)
			} else {
				require.True(t, pinned.hold(holding.Pinned, 1000))
			}
			all.deliver("r1", [][]byte{make([]byte, 100)})
			all.complete(sched.Answer{Request: "r1", End: new(wire.AnswerEnd)})
			d, ok := c.poll()
			require.True(t, ok)
			require.NotNil(t, d.err)
			require.Equal(t, result.EndedToFreeMemory, d.err.Code)
		})
	}
}

// A call whose account ended before it is submitted can't be ended any more, so it must not run.
func TestFollowReportsThatTheAccountHasEnded(t *testing.T) {
	m := newTestMemory(1000)
	h := m.open("r1", "a", nil)
	require.True(t, h.admit(holding.Body, 500))
	ended, ok := m.ledger.Hold(m.open("r2", "b", nil).account, holding.Waiting, 900)
	require.True(t, ok)
	require.Len(t, ended, 1)
	require.False(t, h.follow(newCall(&sched.Request{ID: "r1"}, 1<<20, h)))
	require.Nil(t, h.call)
}

// The ledger, or a check of readers, may choose a call that closes or loses its caller before it is cut off. The record of
// an operation that goes on would stay open, and the next request on the connection could not be answered.
func TestEndOfAClosedOrDetachedAccountChangesNothing(t *testing.T) {
	m := newTestMemory(1000)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &callerConn{Conn: near}
	closed := m.open("r1", "a", conn)
	c := newCall(&sched.Request{ID: "r1", Stream: true}, 1<<20, closed)
	require.True(t, closed.follow(c))
	closed.close()
	closed.end(endedForReading, 0)
	require.Nil(t, c.cutError())
	require.False(t, conn.final)

	detached := m.open("r2", "a", conn)
	keyed := newCall(&sched.Request{ID: "r2", Key: "k", Organisation: "a"}, 1<<20, detached)
	require.True(t, detached.follow(keyed))
	e := &Entry{memory: m}
	own := e.detach(keyed, 0)
	detached.end(endedForReading, 0)
	require.Nil(t, keyed.cutError(), "the operation goes on without its caller")
	require.False(t, conn.final)
	own.end(endedForMemory, 0)
	require.Nil(t, keyed.cutError(), "its record has to be closed")
}

// A write that fails when its caller leaves takes events along. If they never counted as written, the window of the
// operation that goes on would stay full, and its agent would wait for credits that never come.
func TestEventsOfAFailedWriteLeaveTheWindowOfADetachedCall(t *testing.T) {
	m := newTestMemory(1 << 20)
	h := m.open("r1", "a", nil)
	c := newCall(&sched.Request{ID: "r1", Key: "k", Organisation: "a", Stream: true}, 1<<20, h)
	c.flow.window = 16 << 10
	require.True(t, h.follow(c))
	c.flow.begin(new(wire.AttemptID), "", 0)
	c.add([][]byte{make([]byte, 12<<10), make([]byte, 12<<10)})
	d, ok := c.poll()
	require.True(t, ok)
	require.Len(t, d.events, 1)
	(&Entry{memory: m}).detach(c, 0)
	require.EqualValues(t, 12<<10, c.flow.written, "the event that was taken; the other one waits")
	require.True(t, c.flow.repeatIsDue(time.Now(), time.Second))
}

// The request may be over between the decision to end its writes and their end.
func TestWritesAreEndedOnlyForTheRequestThatWasChosen(t *testing.T) {
	m := newTestMemory(1000)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &callerConn{Conn: near}
	first := m.open("r1", "a", conn)
	first.close()
	conn.resumeWrites() // the next request
	conn.endWrites(0, first.isClosed)
	require.False(t, conn.final)
	second := m.open("r2", "a", conn)
	conn.endWrites(0, second.isClosed)
	require.True(t, conn.final)
}

// newTestMemory returns a callMemory without an entry.
func newTestMemory(bytes settings.Size) *callMemory {
	return newCallMemory(settings.EntryMemory{HeldBytes: bytes, OrganisationShare: 1, ReaderTimeout: 2 * time.Second},
		&log.Logger{Handler: new(logRecorder)}, newMeter(), time.Now)
}

// An answer in one piece is counted while it is collected, and its caller has to read it too.
func TestAssembledAnswerIsCountedAndItsCallerMustRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, logs := newMemoryHarness(t, nil)
		server := newWindowedServer(h.addModel(1), 200, 4000)
		server.interval = time.Millisecond
		request := h.request(t.Context(), 1, http.MethodPost, chatPath, chatBody, "Carawaypitch-Class: summary")
		done := make(chan *http.Response, 1)
		go func() {
			response, err := h.client.Do(request)
			require.NoError(t, err)
			done <- response
		}()
		time.Sleep(100 * time.Millisecond)
		require.Greater(t, h.held(), int64(300_000), "half of the answer is collected")
		response := <-done
		synctest.Wait()
		require.Greater(t, h.held(), int64(800_000))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		lines := logged(logs, "call_ended_early")
		require.Len(t, lines, 1)
		require.Zero(t, h.held())
		_ = response.Body.Close()

		whole := h.call(1, http.MethodPost, chatPath, chatBody, "Carawaypitch-Class: summary")
		require.Equal(t, http.StatusOK, whole.status)
		require.NoError(t, whole.err)
		synctest.Wait()
		require.Zero(t, h.held())
	})
}

// The body of a request counts from its announcement until its end, under its organisation.
func TestBodiesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newMemoryHarness(t, func(s *settings.Entry) { s.Memory.HeldBytes = 160 * settings.KiB })
		service := h.addService(1)
		service.holdDispatches()
		body := `"` + strings.Repeat("x", 60_000) + `"`
		first := h.callAsync(1, checkPath, body, gateCheckHeader)
		synctest.Wait()
		require.EqualValues(t, len(body), h.heldBy("compost"))
		second := h.call(1, http.MethodPost, checkPath, `"`+strings.Repeat("x", 120_000)+`"`, gateCheckHeader)
		require.Equal(t, result.OverMemoryShare, second.code(t).Code)
		require.Equal(t, result.RanNo, second.code(t).Ran)
		service.dispatchList()[0].sendDefaultAnswer()
		answered := <-first
		require.Equal(t, http.StatusOK, answered.status, answered.body[:min(len(answered.body), 200)])
		synctest.Wait()
		require.Zero(t, h.held())
	})
}

// An operator has to see who holds the memory before calls are ended for it. Organisations may not see each other's.
func TestOperatorsSeeWhatIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const operatorKey = "key-of-an-operator"
		h, _ := newMemoryHarness(t, func(s *settings.Entry) {
			s.Operators = []settings.OperatorAccount{{Name: "night", KeyDigests: []string{settings.NewDigest(operatorKey, settings.NewSalt())}}}
		})
		newWindowedServer(h.addModel(1), 200, 4000)
		response := h.openStream(t.Context(), yataiKey)
		defer response.Body.Close()
		time.Sleep(time.Second)
		seen := h.call(1, http.MethodGet, "/v1/requests", "", "Authorization: Bearer "+operatorKey).body
		require.Contains(t, seen, `"limit_bytes":6291456`)
		require.Contains(t, seen, `"organisations":{"yatai":`+strconv.FormatInt(h.held(), 10)+`}`)
		require.NotContains(t, h.call(1, http.MethodGet, "/v1/requests", "", "Authorization: Bearer "+yataiKey).body, "limit_bytes")
		metrics := h.call(1, http.MethodGet, "/metrics", "").body
		for _, name := range []string{metricMemoryHeld, metricMemoryByOrg, metricCallsEnded, metricCreditsRepeated} {
			require.Contains(t, metrics, name)
		}
	})
}

// With the setting off, no message may differ from that of an earlier version.
func TestNoCreditsWithoutTheSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addModel(1)
		require.Contains(t, h.call(1, http.MethodPost, chatPath, streamBody).body, "[DONE]")
		require.Empty(t, agent.creditList())
		require.Nil(t, h.entries[0].memory)
	})
}

// blockedWriter receives nothing of an answer after its head until it is released.
type blockedWriter struct {
	recordingWriter
	released chan struct{}
}

// WriteBody implements AnswerWriter.
func (w *blockedWriter) WriteBody(data []byte) error {
	<-w.released
	return w.recordingWriter.WriteBody(data)
}

// Calls that are forwarded byte for byte take another way to the caller than those of the product's own interface. They are
// counted, bounded and refused the same way.
func TestVerbatimCallsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarnessWith(t, func(s *settings.Entry) { s.Memory.HeldBytes = 1 * settings.MiB })
		agent := h.addModel(1)
		part, head := strings.Repeat("x", 4000), headEvent(t, 200)
		agent.setHandlers(func(d *receivedDispatch) {
			d.sendFrame(0, head)
			for i := range 15 {
				d.sendFrame(uint64(i+1), part)
			}
		}, nil)
		w := &blockedWriter{released: make(chan struct{})}
		done, otherDone := make(chan *result.Error, 1), make(chan *result.Error, 1)
		e := h.entries[0]
		call := verbatimCall("/stream/", "k2")
		go func() { done <- e.Exchange(t.Context(), admitted(t, e, call), call, w) }()
		synctest.Wait()
		require.EqualValues(t, 15*len(part)+len(call.Body), h.heldBy("yatai"), "body and answer; the head is written")
		credits := agent.creditList()
		require.EqualValues(t, 64*settings.KiB, credits[0].GetWindow())

		other := verbatimCall("/stream/", "k1")
		for i := range 20 {
			agent.dispatchList()[0].sendFrame(uint64(i+16), strings.Repeat("y", 40_000)) // an agent that knows no credits
		}
		time.Sleep(100 * time.Millisecond)
		require.Greater(t, h.heldBy("yatai"), int64(256*settings.KiB))
		admitted(t, e, verbatimCall("/stream/", "k2")) // nobody else holds anything
		go func() {
			otherDone <- e.Exchange(t.Context(), admitted(t, e, other), other, &blockedWriter{released: w.released})
		}()
		synctest.Wait()
		_, err := e.Admit(t.Context(), verbatimCall("/stream/", "k2"))
		require.Equal(t, result.OverMemoryShare, err.Code)
		require.Equal(t, result.RanNo, err.Ran)
		require.Equal(t, 2*time.Second, err.RetryAfter)

		time.Sleep(3 * time.Second)
		close(w.released)
		require.Equal(t, result.CallerReadsNothing, (<-done).Code, "an answer that was cut off isn't taken for a whole one")
		<-otherDone
		synctest.Wait()
		require.Zero(t, h.held())
		require.Equal(t, 2, agent.cancelCount())
	})
}

func admitted(t *testing.T, e *Entry, call *Call) *Admission {
	t.Helper()
	admission, err := e.Admit(t.Context(), call)
	require.Nil(t, err)
	return admission
}
