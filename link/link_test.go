package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	entryHost = "10.0.0.1"
	agentHost = "10.0.0.2"

	agentIncarnation = 7
)

// testLink is one entry and one agent on a memory network.
type testLink struct {
	network *memory.Network
	dialer  *AgentDialer
	server  *EntryServer

	mu      sync.Mutex
	events  []string // of both sides, in order
	toAgent []*wire.EntryMessage
	toEntry []*wire.AgentMessage
	causes  []error     // passed to the dialer's Down
	downs   []time.Time // times of the calls of the dialer's Down

	tls        *tls.Config // of the agent, nil for none
	stopDialer func()
}

func (r *testLink) recordEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf(format, args...))
}

func (r *testLink) eventLog() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

// newTestLink starts both sides and returns when they are linked. It must be called in a synctest bubble.
func newTestLink(t *testing.T) *testLink {
	t.Helper()
	r := unstartedLink()
	r.start(t)
	synctest.Wait()
	require.Equal(t, []string{"agent: up 1", "entry: up 7"}, r.eventLog())
	return r
}

// unstartedLink returns a link of which neither side runs.
func unstartedLink() *testLink {
	r := &testLink{network: memory.New()}
	r.server = &EntryServer{
		Hello: func() *wire.AgentHello { return &wire.AgentHello{Agent: "agent-1", Incarnation: agentIncarnation} },
		Up:    func(_ context.Context, h *wire.EntryHello) { r.recordEvent("agent: up %d", h.GetIncarnation()) },
		Down:  func(id EntryID, _ error) { r.recordEvent("agent: down %d", id.Incarnation) },
		Receive: func(_ context.Context, _ EntryID, m *wire.EntryMessage) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if m.GetHeartbeat() == nil {
				r.toAgent = append(r.toAgent, m)
			}
			return nil
		},
	}
	r.dialer = &AgentDialer{
		Network: r.network.Host(entryHost),
		Agent:   "agent-1",
		Hello:   func() *wire.EntryHello { return &wire.EntryHello{Entry: "entry-1", Incarnation: 1} },
		Up:      func(_ context.Context, h *wire.AgentHello) { r.recordEvent("entry: up %d", h.GetIncarnation()) },
		Down: func(_ *wire.AgentHello, cause error) {
			r.recordEvent("entry: down")
			r.mu.Lock()
			defer r.mu.Unlock()
			r.causes = append(r.causes, cause)
			r.downs = append(r.downs, time.Now())
		},
		Receive: func(_ context.Context, _ *wire.AgentHello, m *wire.AgentMessage) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if m.GetHeartbeat() == nil {
				r.toEntry = append(r.toEntry, m)
			}
			return nil
		},
		Jitter: func() float64 { return 0.5 },
	}
	return r
}

func (r *testLink) start(t *testing.T) {
	listener, err := r.network.Host(agentHost).Listen(agentHost + ":0")
	require.NoError(t, err)
	r.dialer.Address = listener.Addr().String()
	stopServer := runInBackground(func(ctx context.Context) {
		if err := Serve(ctx, listener, r.tls, r.server.Register); err != nil {
			r.recordEvent("serve: %v", err)
		}
	})
	t.Cleanup(stopServer)
	r.stopDialer = runInBackground(func(ctx context.Context) { _ = r.dialer.Run(ctx) })
	t.Cleanup(r.stopDialer)
}

// runInBackground starts run in a goroutine. The returned function cancels it and waits for its end.
func runInBackground(run func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { run(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

func newDispatch(request string, size int) *wire.EntryMessage {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i * 7)
	}
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: &wire.Dispatch{
		Attempt:    &wire.AttemptID{Request: request, Number: 1},
		Server:     "server-1",
		Path:       "/v1/completions",
		Body:       body,
		BodySize:   uint64(size),
		BodyDigest: BodyDigest(body),
	}}}
}

func newCancel(request string) *wire.EntryMessage {
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{
		Attempt: &wire.AttemptID{Request: request, Number: 1},
		Server:  "server-1",
	}}}
}

func newFrame(request string, offset uint64, size int) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: &wire.Frame{
		Attempt: &wire.AttemptID{Request: request, Number: 1},
		Offset:  offset,
		Events:  [][]byte{make([]byte, size)},
	}}}
}

func newOver(request string) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: &wire.AttemptID{Request: request, Number: 1},
		Proof:   wire.Proof_PROOF_COMPLETED,
	}}}
}

func TestDispatchesArriveComplete(t *testing.T) {
	for _, size := range []int{0, 1, MaxShortMessage, MaxShortMessage + 1, MaxChunkBytes, MaxChunkBytes + 1, 5<<20 + 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestLink(t)
				sent := newDispatch("r1", size)
				require.True(t, r.dialer.Send(agentIncarnation, sent))
				synctest.Wait()
				require.Len(t, r.toAgent, 1)
				require.Equal(t, string(sent.GetDispatch().GetBody()), string(r.toAgent[0].GetDispatch().GetBody()))
				require.Equal(t, "/v1/completions", r.toAgent[0].GetDispatch().GetPath())
			})
		})
	}
}

// Guards against gate checks that are late while an application packet is sent. The body of the packet fills the connection,
// so a short message on the same stream would wait behind it.
func TestShortMessageOvertakesLongBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		// The memory network holds less than this body, and the agent reads nothing more while it handles the first one.
		release := make(chan struct{})
		inner := r.server.Receive
		r.server.Receive = func(ctx context.Context, id EntryID, m *wire.EntryMessage) error {
			if m.GetDispatch().GetAttempt().GetRequest() == "first" {
				<-release
			}
			return inner(ctx, id, m)
		}
		require.True(t, r.dialer.Send(agentIncarnation, newDispatch("first", 1<<20)))
		require.True(t, r.dialer.Send(agentIncarnation, newDispatch("packet", 4<<20)))
		require.True(t, r.dialer.Send(agentIncarnation, newDispatch("gate-check", 100)))
		synctest.Wait()
		require.Len(t, r.toAgent, 1)
		require.Equal(t, "gate-check", r.toAgent[0].GetDispatch().GetAttempt().GetRequest())
		close(release)
		synctest.Wait()
		require.Len(t, r.toAgent, 3)
	})
}

// Guards against an answer that looks incomplete or has its events swapped. It happens if each of the long and short frames
// of an attempt, and its Over, takes the stream for its own size.
func TestFramesOfAttemptArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		id := EntryID{Name: "entry-1", Incarnation: 1}
		sizes := []int{MaxShortMessage + 1, 10, 100_000, 10, 10}
		for i, size := range sizes {
			require.True(t, r.server.Send(id, newFrame("r1", uint64(i), size)))
		}
		require.True(t, r.server.Send(id, newOver("r1")))
		synctest.Wait()
		require.Len(t, r.toEntry, len(sizes)+1)
		for i := range sizes {
			require.EqualValues(t, i, r.toEntry[i].GetFrame().GetOffset())
		}
		require.NotNil(t, r.toEntry[len(sizes)].GetOver())
	})
}

// Guards against requests that end only at their deadline after a partition. The network between entry and agent drops
// packets without an error, so only the silence timeout can detect it; the link must open again when the network heals.
func TestSilentPartitionEndsLinkOnBothSides(t *testing.T) {
	cuts := map[string]func(*memory.Network){
		"both ways":      func(n *memory.Network) { n.Cut(entryHost, agentHost) },
		"entry to agent": func(n *memory.Network) { n.CutOneWay(entryHost, agentHost) },
		"agent to entry": func(n *memory.Network) { n.CutOneWay(agentHost, entryHost) },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestLink(t)
				start := time.Now()
				cut(r.network)
				// The entry closes after its silence timeout, and the agent after its own at the latest.
				time.Sleep(r.dialer.Timing.SilenceTimeout()*3 + r.dialer.Timing.HeartbeatInterval)
				require.Contains(t, r.eventLog(), "entry: down")
				require.LessOrEqual(t, r.downs[0].Sub(start), r.dialer.Timing.SilenceTimeout())
				if name != "entry to agent" {
					// In this case the agent may time out at the same moment, and its closing still reaches the entry.
					require.ErrorIs(t, r.causes[0], ErrSilent)
				}
				require.False(t, r.dialer.Send(agentIncarnation, newCancel("r1")))
				require.EqualValues(t, 1, r.dialer.DroppedMessages())
				if name != "agent to entry" {
					require.Contains(t, r.eventLog(), "agent: down 1")
				}

				r.network.Heal(entryHost, agentHost)
				time.Sleep(10 * time.Second)
				events := r.eventLog()
				require.Equal(t, "entry: up 7", events[len(events)-1])
				require.True(t, r.dialer.Send(agentIncarnation, newCancel("r2")))
				synctest.Wait()
				require.Len(t, r.toAgent, 1)
			})
		})
	}
}

// Guards against an agent that calls Down for an old link after Up for the same entry's next one, and so drops a live link.
// The entry loses its connections without the agent noticing and dials again at once, so the handler of the old link may
// end after the new one has begun.
func TestNewLinkOpensAfterOldLinkIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		r.network.Reset(entryHost)
		time.Sleep(time.Second)
		agent := []string{}
		for _, e := range r.eventLog() {
			if e[0] == 'a' {
				agent = append(agent, e)
			}
		}
		require.Equal(t, []string{"agent: up 1", "agent: down 1", "agent: up 1"}, agent)
	})
}

func TestRefusedDialIsRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		var failures atomic.Int32
		r.dialer.OnDialError = func(error) { failures.Add(1) }
		r.network.Refuse(agentHost, true)
		r.network.Reset(agentHost)
		time.Sleep(10 * time.Second)
		// The waits are at most RedialMax, and the fixed jitter makes them three quarters of that.
		require.InDelta(t, 15, failures.Load(), 5)
		r.network.Refuse(agentHost, false)
		time.Sleep(r.dialer.Timing.RedialMax)
		require.True(t, r.dialer.Send(agentIncarnation, newCancel("r1")))
	})
}

func TestOtherAgentIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		var failure error
		other := &AgentDialer{
			Network:     r.network.Host(entryHost),
			Address:     r.dialer.Address,
			Agent:       "agent-2",
			Hello:       func() *wire.EntryHello { return &wire.EntryHello{Entry: "entry-2"} },
			Up:          func(context.Context, *wire.AgentHello) { t.Error("up") },
			OnDialError: func(err error) { failure = err },
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		require.Error(t, other.Run(ctx))
		require.ErrorIs(t, failure, ErrOtherInstance)
	})
}

// Guards against a scheduler that blocks while an agent does not read: the connection is cut and more messages are sent than
// the ring holds. Send must not wait.
func TestFullRingDropsAndCountsMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		r.network.Cut(entryHost, agentHost)
		refused := 0
		// The sender takes at most what fits into the network.
		for range 2*MessagesRingSize + 20_000 {
			if !r.dialer.Send(agentIncarnation, newCancel("r1")) {
				refused++
			}
		}
		require.Positive(t, refused)
		require.EqualValues(t, refused, r.dialer.DroppedMessages())
		require.False(t, r.dialer.Send(agentIncarnation, newDispatch("r1", MaxBody+1)), "larger than MaxBody")
	})
}

// Guards against losing the last messages of an entry that stops. It sends and then closes both streams, and the agent sees
// the end of the idle stream while it still reads the other; that must not end the link.
func TestMessagesSentBeforeStopArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		inner := r.server.Receive
		r.server.Receive = func(ctx context.Context, id EntryID, m *wire.EntryMessage) error {
			time.Sleep(DefaultFlushTimeout / 2000)
			return inner(ctx, id, m)
		}
		for range 1000 {
			require.True(t, r.dialer.Send(agentIncarnation, newCancel("r1")))
		}
		r.stopDialer()
		time.Sleep(DefaultFlushTimeout)
		synctest.Wait()
		require.Equal(t, 1000, len(r.toAgent))
		require.Contains(t, r.eventLog(), "agent: down 1")
		require.Contains(t, r.eventLog(), "entry: down")
	})
}

// Guards against running a damaged body: a body arrives whose digest does not match the announced one. The gate must
// receive a cancel instead, so that the attempt never starts.
func TestDamagedBodyBecomesCancel(t *testing.T) {
	for _, size := range []int{10, 100_000} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestLink(t)
			d := newDispatch("r1", size)
			d.GetDispatch().BodyDigest++
			require.True(t, r.dialer.Send(agentIncarnation, d))
			synctest.Wait()
			require.Len(t, r.toAgent, 1)
			require.Equal(t, "r1", r.toAgent[0].GetCancel().GetAttempt().GetRequest())
		})
	}
}

// Guards against a request that runs on two engines. The entry decides to dispatch, the agent restarts, and the entry takes
// the new incarnation as proof that the old attempt is over; a dispatch sent only then must not reach the new incarnation.
func TestMessageForOtherIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestLink(t)
		require.False(t, r.dialer.Send(agentIncarnation-1, newDispatch("r1", 10)))
		synctest.Wait()
		require.Empty(t, r.toAgent)
	})
}
