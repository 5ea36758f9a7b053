package control

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// capOf returns how much an organisation may use in a window according to the desired state in force. It returns 0 for
// an organisation that is not in the desired state.
func (c *Control) capOf(organisation string, window time.Duration) float64 {
	for _, member := range c.desired().GetOrganisations() {
		if member.GetName() == organisation {
			return float64(member.GetRatePerS())*window.Seconds() + float64(member.GetBurst())
		}
	}
	return 0
}

// heldByOthers returns the part of an organisation's cap that is held by all incarnations of entries except one, and by those
// of them that have ended.
func (c *Control) heldByOthers(from quota.Incarnation, organisation string) (others, ended uint64) {
	c.machine.read(func(s *state.State) {
		others, ended = s.HeldByOthers(from.Instance, from.Number, organisation)
	})
	return others, ended
}

// releaseInterval is the time between checks for shares of ended entries that can be released.
const releaseInterval = 100 * time.Millisecond

// runReleases is the loop in which the leader releases the shares of entries that have ended. Every instance notes when it
// first saw that an entry had ended: what a lost entry holds is kept for a window from then on, whoever leads meanwhile.
func (c *Control) runReleases(ctx context.Context) error {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	releases := quota.NewReleaser(c.usage)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.releaseShares(ctx, releases, now)
		}
	}
}

func (c *Control) releaseShares(ctx context.Context, releases *quota.Releaser, now time.Time) {
	var ended []*wire.HeldShares
	c.machine.read(func(s *state.State) { ended = s.SharesOfEndedEntries() })
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	due := releases.Due(now, ended)
	if len(due) == 0 || !c.isLeader() {
		return
	}
	commands := make([]*wire.Command, len(due))
	for i, command := range due {
		commands[i] = &wire.Command{Kind: &wire.Command_ReleaseShares{ReleaseShares: command}}
	}
	// The releases are proposed together, so that they share one append and disk sync. After a loss of all processes
	// there is one for each entry, and one after the other would take a second.
	for i, err := range c.proposeTogether(ctx, commands) {
		c.logRelease(due[i], err)
	}
}

// logRelease logs the outcome of a release. One that failed is proposed again with what is due then.
func (c *Control) logRelease(command *wire.ReleaseShares, err error) {
	if err != nil {
		c.log.WithField("entry", command.GetEntry()).WithError(err).Warn("shares_not_released")
		return
	}
	c.log.WithField("entry", command.GetEntry()).
		WithField("incarnation", command.GetIncarnation()).
		WithField("shares", wire.FormatShares(command.GetShares())).
		Info("shares_released")
}

func (s *session) usageKey() quota.Incarnation {
	return quota.Incarnation{Instance: s.client.instance, Number: s.hello.GetIncarnation()}
}
