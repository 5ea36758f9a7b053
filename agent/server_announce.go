package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// errEngineChanged replaces the answer of an engine that is not in use any more.
var errEngineChanged = errors.New("agent: the address of the backend server has changed")

// announce passes a validated announcement to the event loop and waits for the result. Errors have the code
// server_busy (the address or kind changed while the earlier engine may still run something) or malformed_body, or are
// those of ctx.
func (s *server) announce(ctx context.Context, record *wire.ServerRecord, draining bool) error {
	reply := make(chan error, 1)
	if err := s.push(ctx, announcementInput{record: record, draining: draining, reply: reply}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

type announcementInput struct {
	record   *wire.ServerRecord
	draining bool // the server says that it is draining, so it isn't returning
	reply    chan<- error
}

func (in announcementInput) apply(s *server, now time.Time) {
	in.reply <- s.applyAnnouncement(now, in.record, in.draining)
}

func (s *server) applyAnnouncement(now time.Time, record *wire.ServerRecord, draining bool) error {
	if s.engineChanged(record) {
		if err := s.releaseEngine(now); err != nil {
			return err
		}
	}
	if err := s.connect(record); err != nil {
		return err
	}
	known := proto.Equal(s.record, record)
	s.detectSilence(now)
	s.record = record
	s.announcedAt = now
	if !draining && s.isReturning(now) {
		s.resetAfterReturn(now)
	}
	s.step(now, gate.Announced{Server: record})
	if !known {
		s.log.WithField("address", record.GetAddress()).WithField("slots", record.GetSlots()).
			WithField("version", record.GetVersion()).Info("server_announced")
		s.publish()
	}
	return nil
}

// engineChanged reports whether the announcement is of another engine than the one in use.
func (s *server) engineChanged(record *wire.ServerRecord) bool {
	if s.record == nil {
		return false
	}
	return s.record.GetAddress() != record.GetAddress() || s.record.GetKind() != record.GetKind()
}

// releaseEngine stops using the current engine, so that one at another address can be used. The error has the code
// server_busy.
//
// Attempts at the old address can be ended only there. The engine at the new address doesn't know them, and its answer
// "no such stream" would be taken as proof of their end while they still run. So a change of address has to wait until
// the old engine was confirmed free and is now gone, or drained with no run left. Announcements that are refused don't
// count as signs of life, so an engine that has really moved is soon considered gone.
func (s *server) releaseEngine(now time.Time) error {
	gone := s.gateRecord.GetCondition() == wire.ServerCondition_SERVER_CONDITION_GONE
	if !gone && !s.isReturning(now) || len(s.runs) > 0 {
		return result.New(result.ServerBusy, "another address is in use, with %d attempts that are not over", len(s.runs))
	}
	closeClient(s.client)
	s.client = nil
	s.gateRecord = nil
	return nil
}

// closeClient closes the idle connections of a client that keeps any. A nil client is allowed.
func closeClient(client engine.Client) {
	if closer, ok := client.(interface{ Close() }); ok {
		closer.Close()
	}
}

// connect creates the engine's client if there is none.
func (s *server) connect(record *wire.ServerRecord) error {
	if s.client != nil {
		return nil
	}
	client, err := s.newEngine(record)
	if err != nil {
		return result.Wrap(err, result.MalformedBody, "address: no engine can be reached at %q", record.GetAddress())
	}
	s.client = client
	s.publish()
	s.subscribeToObservations(s.base, client)
	s.step(time.Now(), gate.SendersChanged{Count: s.senderCount()})
	s.applyDirectoryAdvice(time.Now(), s.advice(s.name))
	s.spawn(func(ctx context.Context) { s.probeLoop(ctx, client) })
	return nil
}
