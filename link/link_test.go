package link

import (
	"context"
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

// rig is one entry and one agent on a memory network.
type rig struct {
	net    *memory.Network
	dialer *AgentDialer
	server *EntryServer

	mu      sync.Mutex
	events  []string // of both sides, in order
	toAgent []*wire.EntryMessage
	toEntry []*wire.AgentMessage
	causes  []error     // of the dialer's Down
	downs   []time.Time // of the dialer's Down

	stopDialer func()
}

func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf(format, args...))
}

func (r *rig) log() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

// newRig starts both sides; they are linked when it returns. It has to be called in a bubble.
func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{net: memory.New()}
	r.server = &EntryServer{
		Hello: func() *wire.AgentHello { return &wire.AgentHello{Agent: "agent-1", Incarnation: agentIncarnation} },
		Up:    func(_ context.Context, h *wire.EntryHello) { r.note("agent: up %d", h.GetIncarnation()) },
		Down:  func(id EntryID, _ error) { r.note("agent: down %d", id.Incarnation) },
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
		Network: r.net.Host(entryHost),
		Agent:   "agent-1",
		Hello:   func() *wire.EntryHello { return &wire.EntryHello{Entry: "entry-1", Incarnation: 1} },
		Up:      func(_ context.Context, h *wire.AgentHello) { r.note("entry: up %d", h.GetIncarnation()) },
		Down: func(_ *wire.AgentHello, cause error) {
			r.note("entry: down")
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
	r.start(t)
	synctest.Wait()
	require.Equal(t, []string{"agent: up 1", "entry: up 7"}, r.log())
	return r
}

func (r *rig) start(t *testing.T) {
	listener, err := r.net.Host(agentHost).Listen(agentHost + ":0")
	require.NoError(t, err)
	r.dialer.Address = listener.Addr().String()
	stopServer := background(func(ctx context.Context) {
		if err := Serve(ctx, listener, nil, r.server.Register); err != nil {
			r.note("serve: %v", err)
		}
	})
	t.Cleanup(stopServer)
	r.stopDialer = background(func(ctx context.Context) { _ = r.dialer.Run(ctx) })
	t.Cleanup(r.stopDialer)
}

// background runs a duty. The function that it returns stops the duty and waits for its end.
func background(duty func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { duty(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

func dispatch(request string, size int) *wire.EntryMessage {
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

func cancelOf(request string) *wire.EntryMessage {
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{
		Attempt: &wire.AttemptID{Request: request, Number: 1},
		Server:  "server-1",
	}}}
}

func frame(request string, offset uint64, size int) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: &wire.Frame{
		Attempt: &wire.AttemptID{Request: request, Number: 1},
		Offset:  offset,
		Events:  [][]byte{make([]byte, size)},
	}}}
}

func over(request string) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: &wire.AttemptID{Request: request, Number: 1},
		Proof:   wire.Proof_PROOF_COMPLETED,
	}}}
}

func TestDispatchesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, MaxShortMessage, MaxShortMessage + 1, MaxChunkBytes, MaxChunkBytes + 1, 5<<20 + 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				sent := dispatch("r1", size)
				require.True(t, r.dialer.Send(agentIncarnation, sent))
				synctest.Wait()
				require.Len(t, r.toAgent, 1)
				require.Equal(t, string(sent.GetDispatch().GetBody()), string(r.toAgent[0].GetDispatch().GetBody()))
				require.Equal(t, "/v1/completions", r.toAgent[0].GetDispatch().GetPath())
			})
		})
	}
}

// Symptom: a gate check is late while an application packet is sent. Sequence: the packet's body is on its way, the
// connection is full; a reservation is sent. Cause: both on one stream.
func TestShortMessagePassesLongBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		// The memory network holds less than this body, and the agent doesn't read on while it holds the first one.
		release := make(chan struct{})
		inner := r.server.Receive
		r.server.Receive = func(ctx context.Context, id EntryID, m *wire.EntryMessage) error {
			if m.GetDispatch().GetAttempt().GetRequest() == "first" {
				<-release
			}
			return inner(ctx, id, m)
		}
		require.True(t, r.dialer.Send(agentIncarnation, dispatch("first", 1<<20)))
		require.True(t, r.dialer.Send(agentIncarnation, dispatch("packet", 4<<20)))
		require.True(t, r.dialer.Send(agentIncarnation, dispatch("gate-check", 100)))
		synctest.Wait()
		require.Len(t, r.toAgent, 1)
		require.Equal(t, "gate-check", r.toAgent[0].GetDispatch().GetAttempt().GetRequest())
		close(release)
		synctest.Wait()
		require.Len(t, r.toAgent, 3)
	})
}

// Symptom: an answer seems incomplete, or its events are swapped. Sequence: long and short frames of one attempt, then
// its Over. Cause: each took the stream that its own size asks for.
func TestFramesOfAnAttemptKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		id := EntryID{Name: "entry-1", Incarnation: 1}
		sizes := []int{MaxShortMessage + 1, 10, 100_000, 10, 10}
		for i, size := range sizes {
			require.True(t, r.server.Send(id, frame("r1", uint64(i), size)))
		}
		require.True(t, r.server.Send(id, over("r1")))
		synctest.Wait()
		require.Len(t, r.toEntry, len(sizes)+1)
		for i := range sizes {
			require.EqualValues(t, i, r.toEntry[i].GetFrame().GetOffset())
		}
		require.NotNil(t, r.toEntry[len(sizes)].GetOver())
	})
}

// Symptom: requests end only at their deadline after a partition. Sequence: the network between entry and agent is cut
// without an error; later it heals. Cause: nobody noticed the silence.
func TestSilentCutIsNoticedByBothSides(t *testing.T) {
	cuts := map[string]func(*memory.Network){
		"both ways":      func(n *memory.Network) { n.Cut(entryHost, agentHost) },
		"entry to agent": func(n *memory.Network) { n.CutOneWay(entryHost, agentHost) },
		"agent to entry": func(n *memory.Network) { n.CutOneWay(agentHost, entryHost) },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				start := time.Now()
				cut(r.net)
				// The entry gives up after a silence, then the agent at the latest after its own.
				time.Sleep(r.dialer.Timing.SilenceTimeout()*3 + r.dialer.Timing.HeartbeatInterval)
				require.Contains(t, r.log(), "entry: down")
				require.LessOrEqual(t, r.downs[0].Sub(start), r.dialer.Timing.SilenceTimeout())
				if name != "entry to agent" {
					// There the agent may notice at the same moment, and its closing still reaches the entry.
					require.ErrorIs(t, r.causes[0], ErrSilent)
				}
				require.False(t, r.dialer.Send(agentIncarnation, cancelOf("r1")))
				require.EqualValues(t, 1, r.dialer.DroppedMessages())
				if name != "agent to entry" {
					require.Contains(t, r.log(), "agent: down 1")
				}

				r.net.Heal(entryHost, agentHost)
				time.Sleep(10 * time.Second)
				events := r.log()
				require.Equal(t, "entry: up 7", events[len(events)-1])
				require.True(t, r.dialer.Send(agentIncarnation, cancelOf("r2")))
				synctest.Wait()
				require.Len(t, r.toAgent, 1)
			})
		})
	}
}

// Symptom: an agent calls Down after the Up of the same entry's next link, and so forgets a living link. Sequence: the
// entry's connections are lost without a word to the agent, the entry dials anew at once. Cause: the old link's
// handler ends later than the new one begins.
func TestNewLinkComesAfterOldOnesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.net.Reset(entryHost)
		time.Sleep(time.Second)
		agent := []string{}
		for _, e := range r.log() {
			if e[0] == 'a' {
				agent = append(agent, e)
			}
		}
		require.Equal(t, []string{"agent: up 1", "agent: down 1", "agent: up 1"}, agent)
	})
}

func TestRefusedAgentIsDialledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		var failures atomic.Int32
		r.dialer.OnDialError = func(error) { failures.Add(1) }
		r.net.Refuse(agentHost, true)
		r.net.Reset(agentHost)
		time.Sleep(10 * time.Second)
		// Waits of at most RedialMax, with the fixed jitter three quarters of it.
		require.InDelta(t, 15, failures.Load(), 5)
		r.net.Refuse(agentHost, false)
		time.Sleep(r.dialer.Timing.RedialMax)
		require.True(t, r.dialer.Send(agentIncarnation, cancelOf("r1")))
	})
}

func TestOtherAgentIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		var failure error
		other := &AgentDialer{
			Network:     r.net.Host(entryHost),
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

// Symptom: a scheduler stops for as long as an agent doesn't read. Sequence: the agent's connection is cut; more
// messages are sent than the ring holds. Cause: a push that waits.
func TestFullRingIsACountedRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.net.Cut(entryHost, agentHost)
		refused := 0
		// The sender takes at most what fits into the network.
		for range 2*MessagesRingSize + 20_000 {
			if !r.dialer.Send(agentIncarnation, cancelOf("r1")) {
				refused++
			}
		}
		require.Positive(t, refused)
		require.EqualValues(t, refused, r.dialer.DroppedMessages())
		require.False(t, r.dialer.Send(agentIncarnation, dispatch("r1", MaxBody+1)), "over the bound")
	})
}

// Symptom: the last messages of an entry that stops are lost at random. Sequence: it sends, then closes both streams; the
// agent sees the end of the idle one while it still reads the other. Cause: the agent ends the link with the first.
func TestWhatWasSentBeforeTheStopArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		inner := r.server.Receive
		r.server.Receive = func(ctx context.Context, id EntryID, m *wire.EntryMessage) error {
			time.Sleep(DefaultFlushTimeout / 2000)
			return inner(ctx, id, m)
		}
		for range 1000 {
			require.True(t, r.dialer.Send(agentIncarnation, cancelOf("r1")))
		}
		r.stopDialer()
		time.Sleep(DefaultFlushTimeout)
		synctest.Wait()
		require.Equal(t, 1000, len(r.toAgent))
		require.Contains(t, r.log(), "agent: down 1")
		require.Contains(t, r.log(), "entry: down")
	})
}

// Symptom: a body that was damaged runs as somebody's request. Sequence: a long body arrives with another digest than
// announced. Cause: the digest isn't checked. The gate hears a cancel instead, so that the attempt never starts.
func TestDamagedBodyBecomesACancel(t *testing.T) {
	for _, size := range []int{10, 100_000} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			d := dispatch("r1", size)
			d.GetDispatch().BodyDigest++
			require.True(t, r.dialer.Send(agentIncarnation, d))
			synctest.Wait()
			require.Len(t, r.toAgent, 1)
			require.Equal(t, "r1", r.toAgent[0].GetCancel().GetAttempt().GetRequest())
		})
	}
}

// Symptom: a request runs on two engines. Sequence: the entry decides to dispatch; the agent restarts and the link
// opens again; the entry takes the new incarnation as proof; the dispatch is sent only now. Cause: the message isn't
// bound to an incarnation.
func TestMessageForAnotherIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		require.False(t, r.dialer.Send(agentIncarnation-1, dispatch("r1", 10)))
		synctest.Wait()
		require.Empty(t, r.toAgent)
	})
}
