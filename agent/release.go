package agent

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
)

// releaseDuty lets this incarnation show itself, to control and to entries, once the engines of all announced servers
// are proved free of what earlier incarnations started.
//
// Entries take a newer incarnation of an agent as the proof that all attempts at its servers are over, and run them
// elsewhere. One that showed itself while an engine still runs such an attempt would make two engines work on one
// request. So it first waits for every living server's announcement, and then for all their gates.
func (a *Agent) releaseDuty(ctx context.Context) error {
	waits := a.follow.selects != nil || pause.For(ctx, announceWindow)
	for waits && !a.isFree() {
		waits = pause.For(ctx, releasePoll)
	}
	if !waits {
		return nil
	}
	a.log.Info("released")
	close(a.released)
	<-ctx.Done()
	return nil
}

// isFree says whether there is a server and the engines of all announced ones are proved free.
func (a *Agent) isFree() bool {
	free := false
	for _, s := range a.servers.all() {
		view := s.view.Load()
		if view.announced() && !view.recovered {
			return false
		}
		free = free || view.recovered
	}
	return free
}

// awaitRelease waits for the release. It returns false if ctx ends first.
func (a *Agent) awaitRelease(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-a.released:
		return true
	}
}

func (a *Agent) isReleased() bool {
	select {
	case <-a.released:
		return true
	default:
		return false
	}
}
