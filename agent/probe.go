package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
)

// probeLoop asks the engine for its load at each interval, until the server uses another client. The answer shows
// whether the engine responds, how fast, and which load it reports.
func (s *server) probeLoop(ctx context.Context, client engine.Client) {
	ticker := time.NewTicker(s.timing.Probe)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.usesClient(client) {
			return
		}
		if err := s.push(ctx, s.probe(ctx, client)); err != nil {
			return
		}
	}
}

// usesClient reports whether client is the server's current one. It may be called by any goroutine.
func (s *server) usesClient(client engine.Client) bool {
	return s.view.Load().client == client
}

// probe makes one load call. An engine without load reports counts as alive, since it answers the call.
func (s *server) probe(ctx context.Context, client engine.Client) probeResult {
	callCtx, stop := context.WithTimeout(ctx, engineCallTimeout)
	defer stop()
	startedAt := time.Now()
	load, err := client.Load(callCtx)
	return probeResult{
		client:  client,
		latency: time.Since(startedAt),
		load:    load,
		err:     err,
	}
}

// probeResult is the outcome of one probe.
type probeResult struct {
	client  engine.Client
	latency time.Duration
	load    engine.Load
	err     error
}

func (in probeResult) apply(s *server, now time.Time) {
	if in.client != s.client {
		return
	}
	alive := in.err == nil || errors.Is(in.err, engine.ErrUnsupported)
	s.step(now, gate.Probed{OK: alive, Latency: in.latency})
	if in.err == nil {
		age := time.Duration(in.load.AgeMs)*time.Millisecond + in.latency
		s.step(now, gate.EngineLoad{Load: in.load, Age: age})
	}
}
