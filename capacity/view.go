package capacity

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/dev"
	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// fixedControl is an entry's session whose view never changes, so that what is measured is the links.
type fixedControl struct{ view *session.View }

func (c *fixedControl) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (c *fixedControl) Propose(context.Context, *wire.Command) (*wire.CommandResult, error) {
	return new(wire.CommandResult), nil
}

func (c *fixedControl) View() *session.View                          { return c.view }
func (c *fixedControl) Subscribe(fn func(*session.View))             { fn(c.view) }
func (c *fixedControl) Ready() error                                 { return nil }
func (c *fixedControl) CutOff() error                                { return nil }
func (c *fixedControl) AddControls([]string)                         {}
func (c *fixedControl) Addresses() []string                          { return nil }
func (c *fixedControl) Refresh()                                     {}
func (c *fixedControl) HeardAt() time.Time                           { return time.Now() }
func (c *fixedControl) ConfirmSince(context.Context, time.Time) bool { return true }

func (c *fixedControl) ReportStreamOrigins(*wire.StreamOrigins) {}

func (c *fixedControl) LookUpStreamOrigin(context.Context, origin.Key) *wire.StreamOriginReply {
	return nil
}

func (c *fixedControl) ObserveVersion(uint64) bool { return true }

// fixedView has the sample classes and an agent with one backend server at each address.
func fixedView(addresses []string) *session.View {
	view := &session.View{
		ConfigVersion: 1, DirectoryVersion: 1,
		Classes: make(map[string]*wire.Class),
		Agents:  make(map[string]*wire.AgentRecord),
		Entries: make(map[string]*wire.EntryRecord),
	}
	for _, class := range dev.SampleClasses() {
		view.Classes[class.Name] = &wire.Class{
			Name: class.Name, Tier: uint32(class.Tier), DeadlineMs: uint32(class.DeadlineMS), Kind: class.Kind,
		}
	}
	for i, address := range addresses {
		view.Agents[agentName(i)] = agentRecord(i, address)
	}
	return view
}
