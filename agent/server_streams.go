package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/pause"
)

// listStreams asks the engine for its streams. The gate requests it at the server's first announcement: the engine may
// still run what an earlier incarnation of this agent started, and the gate cancels that before it admits anything.
func (s *server) listStreams() {
	client := s.client
	if client == nil {
		s.enqueue(gate.EngineListed{Err: errNotDispatched}, refusal{})
		return
	}
	s.spawn(func(ctx context.Context) {
		streams, err := confirmedStreams(ctx, client)
		_ = s.push(ctx, streamsListed{client: client, streams: streams, err: err})
	})
}

// confirmedStreams lists the engine's streams, and lists them again after maxDispatchDelay if none is running.
//
// The last dispatch of a dead process may still be in flight when the first list is made. The engine would then start
// it after it was considered free, as a stream that no gate knows, and the request would run on two engines.
func confirmedStreams(ctx context.Context, client engine.Client) ([]engine.StreamInfo, error) {
	streams, err := fetchStreams(ctx, client)
	if err != nil || anyRunning(streams) {
		return streams, err
	}
	if !pause.For(ctx, maxDispatchDelay) {
		return nil, context.Cause(ctx)
	}
	return fetchStreams(ctx, client)
}

func fetchStreams(ctx context.Context, client engine.Client) ([]engine.StreamInfo, error) {
	ctx, stop := context.WithTimeout(ctx, engineCallTimeout)
	defer stop()
	return client.Streams(ctx)
}

func anyRunning(streams []engine.StreamInfo) bool {
	for _, stream := range streams {
		if stream.State.Running() {
			return true
		}
	}
	return false
}

// streamsListed is the input with an engine's list of streams.
type streamsListed struct {
	client  engine.Client
	streams []engine.StreamInfo
	err     error
}

func (in streamsListed) apply(s *server, now time.Time) {
	if in.client != s.client {
		in.streams, in.err = nil, errEngineChanged
	}
	entry := s.log.WithField("streams", len(in.streams)).WithField("running", anyRunning(in.streams))
	if in.err != nil {
		entry = entry.WithError(in.err)
	}
	entry.Info("engine_listed")
	s.step(now, gate.EngineListed{Streams: in.streams, Err: in.err})
}
