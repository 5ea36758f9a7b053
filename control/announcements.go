package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Announce takes what a backend server says of itself, with each of its heartbeats. Only news is committed. A nil error
// means that the directory has it. Errors are those of settle, and result.RingFull where too many wait.
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
	err := c.announcer.commit(ctx, in)
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

// isKnown tells whether an announcement brings nothing new: it is late, or differs from the one held by its sequence
// only.
func isKnown(held, in *wire.Announcement) bool {
	if held == nil {
		return false
	}
	if in.GetSequence() <= held.GetSequence() {
		return true
	}
	same := proto.CloneOf(in)
	same.Sequence = held.GetSequence()
	return proto.Equal(held, same)
}

// EndServer ends a run of a backend server for good, or the one that is held, if the end names none. Errors are those of
// settle.
func (c *Control) EndServer(ctx context.Context, run wire.Run) error {
	ended := false
	c.machine.read(func(s *state.State) { ended = s.HasRunEnded(run.String()) })
	if ended {
		return nil
	}
	err := c.settle(ctx, &wire.Command{Kind: &wire.Command_EndServer{
		EndServer: &wire.EndServer{Server: run.ID, StartedUnixMs: run.StartedMS},
	}})
	if err != nil {
		c.log.WithField("server", run.String()).WithError(err).Warn("end_not_committed")
		return err
	}
	c.log.WithField("server", run.String()).Info("server_ended")
	return nil
}
