package link

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/wire"
)

// AgentDialer is the entry's side of the link to one agent. It dials again after each loss, with exponential backoff and
// jitter. Network, Address, Hello, Up, Down and Receive are required.
//
// For each link the calls come in this order: Up, any number of Receive, Down. Receive may be called for Messages and
// Bulk at the same time. It may block until its context ends, which applies backpressure to the agent.
type AgentDialer struct {
	Network network.Network
	TLS     *tls.Config
	// Address is the address of the agent, an IP number and port.
	Address string
	// Agent is the expected instance; empty accepts any. A link to any other instance is closed at once.
	Agent string
	// Hello returns the entry's hello. It is called for the handshake and, for the configuration version, before each
	// heartbeat.
	Hello func() *wire.EntryHello
	// Up is called when the link is open, and Down when it is lost.
	Up   func(ctx context.Context, hello *wire.AgentHello)
	Down func(hello *wire.AgentHello, cause error)
	// Receive handles a message of the agent, heartbeats included. An error ends the link.
	Receive func(ctx context.Context, hello *wire.AgentHello, message *wire.AgentMessage) error
	// OnDialError, if not nil, is called with the error of each failed dial.
	OnDialError func(error)
	// Timing gives the durations of the link; zero values mean the defaults.
	Timing Timing
	// Jitter returns a number in [0, 1) that spreads the backoff; nil means math/rand.
	Jitter func() float64

	current atomic.Pointer[agentLink]
	dropped atomic.Uint64
}

// Run keeps the link open until ctx ends, and returns the cause. It may be called once.
func (d *AgentDialer) Run(ctx context.Context) error {
	d.Timing = d.Timing.WithDefaults()
	if d.Jitter == nil {
		d.Jitter = rand.Float64
	}
	wait := d.Timing.RedialMin
	for {
		wasOpen, err := d.runLink(ctx)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if wasOpen {
			wait = d.Timing.RedialMin
		} else if d.OnDialError != nil {
			d.OnDialError(err)
		}
		if !pause.For(ctx, d.jittered(wait)) {
			return context.Cause(ctx)
		}
		wait = min(2*wait, d.Timing.RedialMax)
	}
}

// jittered returns a time between half of wait and wait.
//
// Without jitter, entries that lost an agent at the same moment would always dial it again at the same moments.
func (d *AgentDialer) jittered(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(d.Jitter()*float64(wait/2))
}

// Send queues a message for an incarnation of the agent. It reports false, and counts the message as dropped, if there is
// no open link to that incarnation, its ring is full, or the message is larger than MaxMessage (MaxBody for a dispatched
// body). The message must not be changed afterwards. Send never blocks.
//
// A newer incarnation proves that everything sent to the older one is over. Without the check, a dispatch for the older
// incarnation could reach the newer one just after that, and run beside the next attempt.
func (d *AgentDialer) Send(incarnation uint64, message *wire.EntryMessage) bool {
	l := d.current.Load()
	if l == nil || l.hello.GetIncarnation() != incarnation || !l.send(message) {
		d.dropped.Add(1)
		return false
	}
	return true
}

// DroppedMessages returns the number of messages that Send could not queue.
func (d *AgentDialer) DroppedMessages() uint64 {
	return d.dropped.Load()
}

// runLink dials and serves one link until it ends. It reports whether the link was open.
func (d *AgentDialer) runLink(ctx context.Context) (wasOpen bool, err error) {
	l, err := d.dial(ctx)
	if err != nil {
		return false, err
	}
	defer l.close()
	if d.Agent != "" && l.hello.GetAgent() != d.Agent {
		return false, errors.Wrapf(ErrOtherInstance, "want %s, found %s", d.Agent, l.hello.GetAgent())
	}
	d.current.Store(l)
	d.Up(ctx, l.hello)
	err = l.run(ctx)
	d.current.Store(nil)
	d.Down(l.hello, err)
	return true, err
}

// dial opens both streams, Messages first, within Timing.HandshakeTimeout.
func (d *AgentDialer) dial(ctx context.Context) (*agentLink, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timing.HandshakeTimeout)
	defer cancel()
	l := newAgentLink(d)
	if err := l.open(ctx); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}
