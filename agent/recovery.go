package agent

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
)

// recoveryLoop lets this incarnation show itself, to control and to entries, once the engines of all announced servers
// are proved free of what earlier incarnations started.
//
// Entries take a newer incarnation of an agent as the proof that all attempts at its servers are over, and run them
// elsewhere. One that showed itself while an engine still runs such an attempt would make two engines work on one
// request. So it first waits for every living server's announcement, and then for all their gates.
func (a *Agent) recoveryLoop(ctx context.Context) error {
	waiting := a.follow.selectServers != nil || pause.For(ctx, announceWindow)
	for waiting && !a.areServersRecovered() {
		waiting = pause.For(ctx, recoveryPollInterval)
	}
	if !waiting {
		return nil
	}
	a.log.Info("released")
	close(a.recovered)
	<-ctx.Done()
	return nil
}

// areServersRecovered says whether there is a server and the engines of all announced ones are proved free.
func (a *Agent) areServersRecovered() bool {
	anyRecovered := false
	for _, s := range a.servers.all() {
		view := s.view.Load()
		if view.announced() && !view.recovered {
			return false
		}
		anyRecovered = anyRecovered || view.recovered
	}
	return anyRecovered
}

// awaitRecovery waits for the release. It returns false if ctx ends first.
func (a *Agent) awaitRecovery(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-a.recovered:
		return true
	}
}

func (a *Agent) isRecovered() bool {
	select {
	case <-a.recovered:
		return true
	default:
		return false
	}
}
