package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Announce records an announcement of a backend server, which the server sends with each of its heartbeats. It is
// committed only if it differs from the one on record, or if several runs claim the server's name. An announcement of a
// run that has ended is acknowledged and ignored. A nil error means that the directory reflects the announcement.
// Errors are those of commitIdempotent, and result.RingFull if too many announcements are pending.
func (c *Control) Announce(ctx context.Context, in *wire.Announcement) error {
	var held *wire.Announcement
	var ended, contested bool
	run := in.Run().String()
	c.machine.read(func(s *state.State) {
		held, ended, contested = s.Announcement(run), s.HasRunEnded(run), s.IsContested(in.GetServer())
	})
	if ended || !contested && isKnown(held, in) {
		return nil
	}
	err := c.announcements.commit(ctx, in)
	log := c.log.WithField("server", run).
		WithField("address", in.GetAddress()).
		WithField("pool", in.GetPool()).
		WithField("draining", in.GetDraining()).
		WithField("sequence", in.GetSequence())
	if err != nil {
		log.WithError(err).Warn("announcement_not_committed")
		return err
	}
	log.Info("announcement_committed")
	return nil
}

// isKnown reports whether an announcement adds nothing to the one on record: its sequence number is not higher, or it
// differs in the sequence number only. A nil held means that none is on record.
func isKnown(held, in *wire.Announcement) bool {
	if held == nil {
		return false
	}
	if in.GetSequence() <= held.GetSequence() {
		return true
	}
	normalized := proto.CloneOf(in)
	normalized.Sequence = held.GetSequence()
	return proto.Equal(held, normalized)
}

// EndServer ends a run of a backend server for good. If run has no start time, it ends the run on record. Errors are
// those of commitIdempotent.
func (c *Control) EndServer(ctx context.Context, run wire.Run) error {
	ended := false
	c.machine.read(func(s *state.State) { ended = s.HasRunEnded(run.String()) })
	if ended {
		return nil
	}
	err := c.commitIdempotent(ctx, &wire.Command{Kind: &wire.Command_EndServer{
		EndServer: &wire.EndServer{Server: run.ID, StartedUnixMs: run.StartedMS},
	}})
	if err != nil {
		c.log.WithField("server", run.String()).WithError(err).Warn("end_not_committed")
		return err
	}
	c.log.WithField("server", run.String()).Info("server_ended")
	return nil
}
