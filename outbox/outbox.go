// Package outbox delivers commands from a daemon to control. A queued command is proposed again until control has
// committed or refused it.
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
	// capacity is the maximum number of queued items.
	capacity = 4096
	// proposeTimeout limits one proposal.
	proposeTimeout = 5 * time.Second
	// retryMin and retryMax limit the backoff between proposals of one item. They are short because reports of
	// crashes must reach all instances soon after control is reachable again.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// Item is a command and the texts of its log lines. The command must be idempotent, since it may be committed more
// than once.
type Item struct {
	// EventPrefix is the first part of the event names in log lines, such as "outcome".
	EventPrefix string
	// LogKey and LogValue are the key and the value that identify the item in log lines.
	LogKey, LogValue string
	Command          *wire.Command
}

// CrashReport returns the item that reports what a server was running when it crashed.
//
// The agent of the server has seen all of these requests and reports them even if entries have died. An entry reports
// its own requests, since the agent may be cut off from control.
func CrashReport(note *wire.NoteCrash) Item {
	return Item{
		EventPrefix: "crash",
		LogKey:      "server",
		LogValue:    note.GetCrash().GetServer(),
		Command:     &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: note}},
	}
}

// Options configure an Outbox. Propose and Log are required; the other fields may be nil.
type Options struct {
	Log log.Interface
	// Propose commits a command at control and returns its result. After an error the command is proposed again.
	Propose func(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
	// OnRetry is called for each proposal that failed. OnRefused is called with the name of the full ring for each
	// item that was refused.
	OnRetry   func()
	OnRefused func(ring string)
}

// Outbox is a queue of items that are committed in order. Its methods are safe for concurrent use.
type Outbox struct {
	options Options
	queue   *ring.Ring[Item]
	pending atomic.Int64
}

// New returns an outbox whose items are delivered by Run.
func New(options Options) *Outbox {
	return &Outbox{options: options, queue: ring.New[Item]("outbox", capacity)}
}

// Put queues an item without blocking. If the queue is full the item is dropped, counted and logged.
func (o *Outbox) Put(item Item) {
	o.pending.Add(1)
	if o.queue.TryPush(item) {
		return
	}
	o.pending.Add(-1)
	if o.options.OnRefused != nil {
		o.options.OnRefused(o.queue.Name())
	}
	o.options.Log.WithField(item.LogKey, item.LogValue).Error(item.EventPrefix + "_not_reported")
}

// Pending returns the number of items that control has neither committed nor refused.
func (o *Outbox) Pending() int64 { return o.pending.Load() }

// Run delivers items until ctx ends. It always returns nil.
func (o *Outbox) Run(ctx context.Context) error {
	for {
		item, err := o.queue.Pop(ctx)
		if err != nil {
			return nil
		}
		o.commit(ctx, item)
	}
}

// commit proposes an item with exponential backoff until control commits or refuses it, or ctx ends.
func (o *Outbox) commit(ctx context.Context, item Item) {
	backoff := retryMin
	for {
		result, err := o.propose(ctx, item)
		fields := o.options.Log.WithField(item.LogKey, item.LogValue)
		if err == nil {
			o.pending.Add(-1)
			fields.WithField("code", result.GetCode()).Info(item.EventPrefix + "_committed")
			return
		}
		if o.options.OnRetry != nil {
			o.options.OnRetry()
		}
		fields.WithError(err).Warn(item.EventPrefix + "_not_committed")
		if !pause.For(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, retryMax)
	}
}

// propose makes one attempt, limited by proposeTimeout.
func (o *Outbox) propose(ctx context.Context, item Item) (*wire.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return o.options.Propose(ctx, item.Command)
}
