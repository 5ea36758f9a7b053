package entry

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/session"
)

// runIncarnations runs this incarnation, and a new one each time control ends the current one.
//
// Control ends an entry that was cut off for a long time: its keyed requests may have been taken over, and agents
// refuse it permanently. If it continued, it would appear ready and have every request refused; if it exited, each long
// network partition would cost the site an instance. The new incarnation starts like a new process, with the same
// address and settings. In-flight requests of the old one are answered with what is known of them.
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
	e.latestIncarnation().control.AddControls(addresses)
}

// latestIncarnation returns the running incarnation.
func (e *Entry) latestIncarnation() *Entry {
	if successor := e.successor.Load(); successor != nil {
		return successor
	}
	return e
}
