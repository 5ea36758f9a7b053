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

// AgentDialer is an entry's side of the link to one agent. It dials again after each loss, with a growing and jittered
// wait. Network, Address, Hello, Up, Down and Receive are required.
//
// For one link the calls come in this order: Up, any number of Receive, Down. Receive may be called for Messages and
// Bulk at the same time; it may block, which holds the agent back, until its context ends.
type AgentDialer struct {
	Network network.Network
	TLS     *tls.Config
	// Address is where the agent listens, an IP number and port.
	Address string
	// Agent is the wanted instance; empty takes any. Another one at the address is left at once.
	Agent string
	// Hello makes the entry's own hello, also before each heartbeat, for the configuration version.
	Hello func() *wire.EntryHello
	// Up and Down say that the link is open or lost.
	Up   func(ctx context.Context, hello *wire.AgentHello)
	Down func(hello *wire.AgentHello, cause error)
	// Receive takes a message of the agent, heartbeats included. An error ends the link.
	Receive func(ctx context.Context, hello *wire.AgentHello, message *wire.AgentMessage) error
	// OnDialError, if not nil, hears why a dial failed.
	OnDialError func(error)
	// Timing has defaults for zero values.
	Timing Timing
	// Jitter gives a number in [0, 1) to spread the waits; nil means math/rand.
	Jitter func() float64

	current atomic.Pointer[agentLink]
	refused atomic.Uint64
}

// Run keeps the link open until ctx ends, and returns the cause. It may be called once.
func (d *AgentDialer) Run(ctx context.Context) error {
	d.Timing = d.Timing.WithDefaults()
	if d.Jitter == nil {
		d.Jitter = rand.Float64
	}
	wait := d.Timing.RedialMin
	for {
		wasUp, err := d.once(ctx)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if wasUp {
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
// Entries that lost an agent at the same moment would else dial it at the same moments for ever.
func (d *AgentDialer) jittered(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(d.Jitter()*float64(wait/2))
}

// Send passes a message to an incarnation of the agent. It returns false, and counts it, if there is no open link to
// that incarnation, its ring is full, or the message is over MaxMessage (MaxBody for a dispatched body). The message
// must not be changed afterwards. It never blocks.
//
// A newer incarnation is taken as proof that what was sent to the older one is over. Without the check a dispatch meant
// for the old one could reach the new one just after that, and run beside the next attempt.
func (d *AgentDialer) Send(incarnation uint64, message *wire.EntryMessage) bool {
	l := d.current.Load()
	if l == nil || l.hello.GetIncarnation() != incarnation || !l.send(message) {
		d.refused.Add(1)
		return false
	}
	return true
}

// DroppedMessages returns how many messages Send couldn't pass on.
func (d *AgentDialer) DroppedMessages() uint64 {
	return d.refused.Load()
}

// once dials and serves one link until it ends.
func (d *AgentDialer) once(ctx context.Context) (wasUp bool, err error) {
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

// dial opens both streams, Messages first, within Timing.Hello.
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
