package agent

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
)

// recoveryLoop waits until the engines of all announced servers are confirmed free of what earlier incarnations
// started, and then lets this incarnation register with control and accept entries.
//
// Entries take a newer incarnation of an agent as proof that all attempts at its servers have ended, and run them
// elsewhere. If it registered while an engine still ran such an attempt, two engines would work on one request. So it
// first waits for the announcements of all live servers, and then for all of their gates.
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

// areServersRecovered reports whether there is a recovered server and no announced one that isn't recovered.
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

// awaitRecovery waits for the recovery and reports whether it ended before ctx did.
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
