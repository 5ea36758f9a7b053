package entry

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/session"
)

// runIncarnations runs this incarnation, and a new one after each that control ended.
//
// An entry that was cut off for long is ended: its keyed requests may have been taken over, and agents refuse it for
// good. If it went on, it would look ready and have every request refused; if it exited, the site would lose an instance
// to each long cut. The new incarnation starts as a new process would, with the same address and settings. What the old
// one had in flight is answered with what is known of it.
func (e *Entry) runIncarnations(ctx context.Context) error {
	current := e
	for {
		err := current.runIncarnation(ctx)
		if !errors.Is(err, session.ErrSuperseded) || ctx.Err() != nil {
			return err
		}
		e.log.WithField("instance", e.settings.Instance).Warn("entry_superseded")
		next := e.settings
		next.Listen.Callers = e.CallersAddr()
		next.Controls = current.control.Addresses()
		current, err = New(next, e.options)
		if err != nil {
			return err
		}
		e.successor.Store(current)
	}
}

// AddControls opens links to further control instances by their link addresses.
func (e *Entry) AddControls(addresses []string) {
	e.present().control.AddControls(addresses)
}

// present is the incarnation that runs.
func (e *Entry) present() *Entry {
	if successor := e.successor.Load(); successor != nil {
		return successor
	}
	return e
}
