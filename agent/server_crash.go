package agent

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// verifyTries and verifyInterval bound the checks of a server that broke off an answer, while a check is
	// inconclusive: the process may be about to close its listener.
	verifyTries    = 5
	verifyInterval = 50 * time.Millisecond
)

// verifyServer checks for the gate whether the server's process still runs.
func (s *server) verifyServer() {
	client := s.client
	if client == nil {
		s.enqueue(gate.ServerVerified{}, refusal{})
		return
	}
	s.spawn(func(ctx context.Context) {
		_ = s.push(ctx, gateEvent{gate.ServerVerified{Ended: processEnded(ctx, client)}})
	})
}

// processEnded reports whether nothing listens at the server's address. A refused connection shows that at once; no
// answer, as from a machine without power or behind a network partition, shows nothing.
func processEnded(ctx context.Context, client engine.Client) bool {
	for range verifyTries {
		err := reach(ctx, client)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err == nil || errors.Is(err, engine.ErrUnsupported) || errors.Is(err, context.DeadlineExceeded):
			return false
		}
		if !pause.For(ctx, verifyInterval) {
			return false
		}
	}
	return false
}

// reach connects to the server's process. If the client can't only connect, it makes a load call.
func reach(ctx context.Context, client engine.Client) error {
	ctx, stop := context.WithTimeout(ctx, engineCallTimeout)
	defer stop()
	if reacher, ok := client.(engine.Prober); ok {
		return reacher.Probe(ctx)
	}
	_, err := client.Load(ctx)
	return err
}

// partsOf returns the parts of the runs' prompts, each once for an organisation, up to poison.MaxRunParts.
func partsOf(runs []gate.Run) []*wire.PoisonRecord {
	type partRun struct {
		key          poison.Key
		organisation string
	}
	listed := make(map[partRun]bool)
	var records []*wire.PoisonRecord
	for _, run := range runs {
		for _, id := range run.Parts {
			one := partRun{poison.PartKey(run.Target, id), run.Organisation}
			if listed[one] || len(records) == poison.MaxRunParts {
				continue
			}
			listed[one] = true
			record := one.key.NewRecord()
			record.Organisation = one.organisation
			records = append(records, record)
		}
	}
	return records
}

// reportCrash reports to control and logs which requests the server ran when it crashed.
func (s *server) reportCrash(a gate.Crashed) {
	note := &wire.NoteCrash{Crash: a.Crash, Parts: partsOf(a.Runs)}
	requests := make([]string, 0, len(a.Runs))
	fingerprints := make([]string, 0, len(a.Runs))
	parts := make([]string, 0, len(a.Runs))
	for _, run := range a.Runs {
		key := poison.Key{Organisation: run.Organisation, Fingerprint: run.Fingerprint}
		note.Ran = append(note.Ran, key.NewRecord())
		requests = append(requests, run.Request)
		fingerprints = append(fingerprints, key.String())
		parts = append(parts, partList(run.Parts))
	}
	s.report(outbox.CrashReport(note))
	if !a.Repeated {
		s.meter.crashed()
	}
	s.log.WithField("runs", len(a.Runs)).
		WithField("crash", a.Crash.GetId()).
		WithField("alone", a.Crash.GetAlone()).
		WithField("requests", strings.Join(requests, ",")).
		WithField("fingerprints", strings.Join(fingerprints, ",")).
		WithField("parts", strings.Join(parts, ";")).
		Warn("server_crashed")
}
