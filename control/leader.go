package control

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Timing of the leader's duty.
const (
	leaderInterval = time.Second
	// leaderPause is the gap between two rounds from which on the process itself was stopped, such as by its
	// platform. It then has heard nobody, whoever was alive.
	leaderPause    = 3 * time.Second
	expiryInterval = 10 * time.Second
	expiryBatches  = 16
	orderInterval  = 2 * time.Second
	orderResults   = 256
	placements     = 16
)

// leader does what only the leader does.
type leader struct {
	control    *Control
	signal     chan struct{}
	results    *ring.Ring[*wire.OrderResult]
	placements *ring.Ring[placement]

	// The fields below belong to the duty's goroutine.
	term      uint64    // in which fence was raised here; 0 while this instance doesn't lead
	fence     uint64    // of this instance's leadership
	since     time.Time // from when on silence counts
	lastRound time.Time
	expired   time.Time
	// leftRecords is how many records there were before the last expiry.
	leftRecords int
	ordered     time.Time
}

func newLeader(c *Control) *leader {
	return &leader{
		control: c,
		signal:  make(chan struct{}, 1),
		results: ring.New[*wire.OrderResult]("order_results", orderResults),

		placements: ring.New[placement]("placements", placements),
	}
}

// wake lets the duty look at once.
func (l *leader) wake() {
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// run is the leader's duty.
func (l *leader) run(ctx context.Context) error {
	ticker := time.NewTicker(leaderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.round(ctx)
		case <-l.signal:
			l.round(ctx)
		case r := <-l.results.C():
			l.endOrder(ctx, r)
		case p := <-l.placements.C():
			l.place(ctx, p)
		}
	}
}

// round does what is due. Each step proposes; the first that fails ends the round, and the next one goes on.
func (l *leader) round(ctx context.Context) {
	status := l.control.replica.Status()
	if status.Role != quorum.RoleLeader || l.control.stopping.Load() {
		l.term = 0
		return
	}
	if l.term != status.Term && !l.begin(ctx, status.Term) {
		return
	}
	l.notePause()
	for _, step := range []func(context.Context) error{l.members, l.silent, l.expire, l.expirePoison, l.resend} {
		if err := step(ctx); err != nil {
			l.control.log.WithError(err).Warn("leader_step_failed")
			return
		}
	}
}

// begin raises the fence before anything else, so that what an earlier leader still sends is refused, and sets the
// first classes of a new group.
func (l *leader) begin(ctx context.Context, term uint64) bool {
	fence, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_RaiseFence{RaiseFence: &wire.RaiseFence{
		Leader: l.control.settings.Instance,
	}}})
	if err != nil {
		l.control.log.WithError(err).Warn("fence_not_raised")
		return false
	}
	if err := l.initialize(ctx); err != nil {
		l.control.log.WithError(err).Error("initial_classes_failed")
		return false
	}
	now := time.Now()
	l.term, l.fence, l.since, l.lastRound = term, fence, now, now
	l.expired, l.ordered = time.Time{}, time.Time{}
	return true
}

// propose has a command committed, and returns its index. A refusal by the state is an error.
func (l *leader) propose(ctx context.Context, cmd *wire.Command) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	index, res, err := l.control.propose(ctx, cmd)
	if err == nil && res.GetCode() != 0 {
		err = result.New(result.Code(res.GetCode()), "%s", res.GetMessage())
	}
	return index, err
}

func (l *leader) initialize(ctx context.Context) error {
	config, _ := l.control.versions()
	if config != 0 || len(l.control.settings.InitialClasses) == 0 {
		return nil
	}
	init := &wire.InitializeClasses{}
	for _, class := range l.control.settings.InitialClasses {
		init.Classes = append(init.Classes, classOfSettings(class))
	}
	_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_InitializeClasses{InitializeClasses: init}})
	return err
}

// notePause starts the count of silence again after this process itself was stopped. Otherwise it would take everybody
// for dead the moment it goes on, and end all of them.
func (l *leader) notePause() {
	now := time.Now()
	if now.Sub(l.lastRound) > leaderPause {
		l.control.log.WithField("gap", now.Sub(l.lastRound)).Warn("leader_was_paused")
		l.since = now
	}
	l.lastRound = now
}

// silent ends entries and removes agents that this leader has heard nothing of for the bound. Silence counts from the
// begin of the leadership at the earliest: before, their polls may have gone elsewhere.
func (l *leader) silent(ctx context.Context) error {
	bound := l.control.settings.Timing.ServerExpire
	l.control.sessions.forget(2 * bound)
	for _, cmd := range l.ends(bound) {
		if _, err := l.propose(ctx, cmd); err != nil {
			return err
		}
		l.control.counters.removed.Inc()
	}
	return nil
}

func (l *leader) ends(bound time.Duration) []*wire.Command {
	var agents []*wire.AgentRecord
	var entries []*wire.EntryRecord
	l.control.machine.read(func(s *state.State) { agents, entries = s.Agents(), s.Entries() })
	var ends []*wire.Command
	for _, a := range agents {
		if l.isSilent(wire.Role_ROLE_AGENT, a.GetAgent(), a.GetIncarnation(), bound) {
			ends = append(ends, &wire.Command{Kind: &wire.Command_RemoveAgent{
				RemoveAgent: &wire.RemoveAgent{Agent: a.GetAgent(), Incarnation: a.GetIncarnation()},
			}})
		}
	}
	for _, e := range entries {
		if l.isSilent(wire.Role_ROLE_ENTRY, e.GetEntry(), e.GetIncarnation(), bound) {
			ends = append(ends, &wire.Command{Kind: &wire.Command_EndEntry{
				EndEntry: &wire.EndEntry{Entry: e.GetEntry(), Incarnation: e.GetIncarnation()},
			}})
		}
	}
	return ends
}

func (l *leader) isSilent(role wire.Role, instance string, incarnation uint64, bound time.Duration) bool {
	heard := l.control.sessions.lastHeard(role, instance, incarnation)
	if heard.Before(l.since) {
		heard = l.since
	}
	return time.Since(heard) > bound
}

// expire forgets old records of keyed requests, and younger ones when there are many. One round ends a bounded number
// of batches, so that the duty's other steps come to their turn.
func (l *leader) expire(ctx context.Context) error {
	for range expiryBatches {
		before, due := l.expiryDue()
		if !due {
			return nil
		}
		_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_ExpireOperations{ExpireOperations: &wire.ExpireOperations{
			BeforeUnixMs: before,
			Limit:        state.MaxExpiryBatch,
		}}})
		if err != nil {
			return err
		}
	}
	return nil
}

// expirePoison steps down what is known of requests under which servers have crashed.
func (l *leader) expirePoison(ctx context.Context) error {
	due := false
	l.control.machine.read(func(s *state.State) { due = s.HasExpiredPoison(uint64(time.Now().UnixMilli())) })
	if !due {
		return nil
	}
	_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_ExpirePoison{ExpirePoison: &wire.ExpirePoison{}}})
	return err
}

// expiryDue returns the time before which records should expire, and whether there are such records. Records that may
// not expire yet stay due; they are looked at again after the interval only.
func (l *leader) expiryDue() (before uint64, due bool) {
	before = uint64(time.Now().Add(-l.control.settings.Timing.KeyRecords).UnixMilli())
	var counts state.Counts
	l.control.machine.read(func(s *state.State) {
		before = max(before, s.CapacityExpiryCutoff())
		counts = s.Counts()
	})
	if counts.OldestUnixMS == 0 || counts.OldestUnixMS >= before {
		return before, false
	}
	if counts.Operations == l.leftRecords && time.Since(l.expired) < expiryInterval {
		return before, false
	}
	l.leftRecords, l.expired = counts.Operations, time.Now()
	return before, true
}
