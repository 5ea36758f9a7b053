package agent

import "github.com/carawaypitch/carawaypitch/result"

// readinessError returns the result of notReady as an error that is nil if the agent is ready.
func (a *Agent) readinessError() error {
	if err := a.notReady(); err != nil {
		return err
	}
	return nil
}

// notReady returns why the agent may not receive work, nil if it may.
func (a *Agent) notReady() *result.Error {
	if a.ready.isStopping() {
		return result.New(result.Stopping, "")
	}
	hasReadyServer := false
	for _, s := range a.servers.all() {
		view := s.view.Load()
		switch {
		case !view.announced() || view.gone() || view.leaving:
		case !view.recovered:
			return result.New(result.Starting, "backend server %s: streams of an earlier incarnation are being cancelled", s.name)
		default:
			hasReadyServer = true
		}
	}
	if !hasReadyServer {
		return result.New(result.NoServer, "no backend server announces itself, or all are leaving")
	}
	if err := a.session.Ready(); err != nil {
		return result.From(err)
	}
	return nil
}
