// Package outbox keeps what one process alone knows until control has committed it, however long that takes.
package outbox

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// capacity bounds the items that wait to be committed.
	capacity = 4096
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
	// retryMin and retryMax bound the wait before a proposal is tried again. What servers crashed under has to be known
	// everywhere soon after control is back.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// Item is a command whose second commit changes nothing more.
type Item struct {
	// EventPrefix begins the names of the log lines, such as "outcome".
	EventPrefix string
	// LogKey and LogValue say in these lines what the item is about.
	LogKey, LogValue string
	Command          *wire.Command
}

// CrashReport tells what a server ran when it crashed.
//
// The agent beside the server saw all of it, and reports it whoever of the entries has died; an entry reports its own part, since
// the agent may be cut off from control.
func CrashReport(note *wire.NoteCrash) Item {
	return Item{
		EventPrefix: "crash",
		LogKey:      "server",
		LogValue:    note.GetCrash().GetServer(),
		Command:     &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: note}},
	}
}

// Options are what an Outbox takes from its daemon. All but Propose and Log may be nil.
type Options struct {
	Log log.Interface
	// Propose has a command committed at control.
	Propose func(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
	// OnRetry counts a proposal that is tried again, Refused an item that the full ring of that name refused.
	OnRetry   func()
	OnRefused func(ring string)
}

// Outbox has items committed in their order. Its methods may be called from any goroutine.
type Outbox struct {
	options Options
	waiting *ring.Ring[Item]
	open    atomic.Int64
}

// New returns an outbox that Run empties.
func New(options Options) *Outbox {
	return &Outbox{options: options, waiting: ring.New[Item]("outbox", capacity)}
}

// Put hands an item over. It doesn't block; a full ring is counted, and what the item says stays unknown.
func (o *Outbox) Put(one Item) {
	o.open.Add(1)
	if o.waiting.TryPush(one) {
		return
	}
	o.open.Add(-1)
	if o.options.OnRefused != nil {
		o.options.OnRefused(o.waiting.Name())
	}
	o.options.Log.WithField(one.LogKey, one.LogValue).Error(one.EventPrefix + "_not_reported")
}

// Pending is how many items are neither committed nor refused.
func (o *Outbox) Pending() int64 { return o.open.Load() }

// Run has items committed until ctx ends. It returns nil.
func (o *Outbox) Run(ctx context.Context) error {
	for {
		one, err := o.waiting.Pop(ctx)
		if err != nil {
			return nil
		}
		o.commit(ctx, one)
	}
}

// commit tries until control committed the item or refused it.
func (o *Outbox) commit(ctx context.Context, one Item) {
	wait := retryMin
	for {
		answer, err := o.try(ctx, one)
		fields := o.options.Log.WithField(one.LogKey, one.LogValue)
		if err == nil {
			o.open.Add(-1)
			fields.WithField("code", answer.GetCode()).Info(one.EventPrefix + "_committed")
			return
		}
		if o.options.OnRetry != nil {
			o.options.OnRetry()
		}
		fields.WithError(err).Warn(one.EventPrefix + "_not_committed")
		if !pause.For(ctx, wait) {
			return
		}
		wait = min(2*wait, retryMax)
	}
}

func (o *Outbox) try(ctx context.Context, one Item) (*wire.CommandResult, error) {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	return o.options.Propose(ctx, one.Command)
}
