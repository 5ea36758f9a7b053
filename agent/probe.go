package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
)

// probeLoop asks the engine for its load at each interval, until the server uses another client. The answer says
// whether the engine answers, how fast, and what it thinks of itself.
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

// usesClient says whether the server still usesClient the client; any goroutine may ask.
func (s *server) usesClient(client engine.Client) bool {
	return s.view.Load().client == client
}

// probe makes one call. An engine without load reports answers the call all the same, so it is alive.
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
