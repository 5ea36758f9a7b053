package control

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// announcementRing bounds the announcements that are pending, and announcementBatch those in one commit.
	announcementRing  = 8192
	announcementBatch = 512
	// announcementCommitTimeout bounds one commit. A server calls another instance after 1 s without an answer, so the
	// commit must end before that.
	announcementCommitTimeout = 900 * time.Millisecond
)

// announcementBatcher commits announcements of backend servers. Those that arrive while a commit is in progress go
// together into the next one.
//
// After a power loss, or when a deployment starts, all servers announce themselves within one heartbeat interval.
// Committed one by one, each announcement would take a connection to the leader, a log entry and an update to every
// process, and the processes would fall seconds behind. The symptom is servers that are ready but get no work until
// long after the leader is elected.
type announcementBatcher struct {
	control *Control
	pending *ring.Ring[pendingAnnouncement]
}

// pendingAnnouncement is an announcement that waits for its commit.
type pendingAnnouncement struct {
	announcement *wire.Announcement
	done         chan<- error // buffered, capacity 1
}

func newAnnouncementBatcher(c *Control) *announcementBatcher {
	return &announcementBatcher{control: c, pending: ring.New[pendingAnnouncement]("announcements", announcementRing)}
}

// commit returns once the announcement is committed. Errors are those of Control.Announce.
func (a *announcementBatcher) commit(ctx context.Context, in *wire.Announcement) error {
	done := make(chan error, 1)
	if !a.pending.TryPush(pendingAnnouncement{in, done}) {
		return result.New(result.RingFull, "too many announcements wait")
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return result.Wrap(context.Cause(ctx), result.ControlUnavailable, "the announcement isn't known to be committed")
	}
}

// run is the loop that commits pending announcements in batches.
func (a *announcementBatcher) run(ctx context.Context) error {
	batch := make([]pendingAnnouncement, announcementBatch)
	for {
		n, err := a.pending.PopBatch(ctx, batch)
		if err != nil {
			return nil
		}
		a.commitBatch(ctx, batch[:n])
		clear(batch[:n])
	}
}

func (a *announcementBatcher) commitBatch(ctx context.Context, batch []pendingAnnouncement) {
	cmd := new(wire.AnnounceServers)
	for _, item := range batch {
		cmd.Announcements = append(cmd.Announcements, item.announcement)
	}
	ctx, cancel := context.WithTimeout(ctx, announcementCommitTimeout)
	defer cancel()
	res, err := a.control.commitIdempotentResult(ctx, &wire.Command{Kind: &wire.Command_AnnounceServers{AnnounceServers: cmd}})
	if err == nil && len(res.GetEach()) != len(batch) {
		err = result.New(result.Internal, "%d results of %d announcements", len(res.GetEach()), len(batch))
	}
	for i, item := range batch {
		if err != nil {
			item.done <- err
			continue
		}
		item.done <- resultError(res.GetEach()[i])
	}
}
