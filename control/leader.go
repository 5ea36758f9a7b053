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

// Timing and capacities of the leader's loop.
const (
	leaderInterval = time.Second
	// membershipInterval is the interval at which the leader looks for silent voters.
	membershipInterval = 250 * time.Millisecond
	// pauseThreshold is the gap between two rounds above which the process itself is taken to have been suspended, for
	// example by its platform. It received no messages meanwhile, even from processes that are alive.
	pauseThreshold      = 3 * time.Second
	expiryInterval      = 10 * time.Second
	maxExpiryBatches    = 16
	orderResendInterval = 2 * time.Second
	orderResultRing     = 256
	pendingOrderRing    = 16
)

// leader runs the work that only the leader does.
type leader struct {
	control       *Control
	wakeups       chan struct{}
	results       *ring.Ring[*wire.OrderResult]
	pendingOrders *ring.Ring[pendingOrder]

	// The fields below are accessed only by the goroutine of run.
	term         uint64    // term in which this instance raised the fence; 0 while it is not the leader
	fence        uint64    // fence number of this instance's leadership
	silenceStart time.Time // earliest time from which silence of clients is counted: the start of the leadership
	contactStart time.Time // earliest time from which silence of control instances is counted: they report to all others
	lastRound    time.Time
	lastExpiry   time.Time
	// recordsAtLastExpiry is the number of records before the last expiry.
	recordsAtLastExpiry int
	lastResend          time.Time
}

func newLeader(c *Control) *leader {
	return &leader{
		control: c,
		wakeups: make(chan struct{}, 1),
		results: ring.New[*wire.OrderResult]("order_results", orderResultRing),

		pendingOrders: ring.New[pendingOrder]("placements", pendingOrderRing),
	}
}

// wake makes run start a round at once.
func (l *leader) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// run is the leader's loop. It runs on every instance; on one that is not the leader it only refuses orders.
func (l *leader) run(ctx context.Context) error {
	ticker := time.NewTicker(leaderInterval)
	defer ticker.Stop()
	membership := time.NewTicker(membershipInterval)
	defer membership.Stop()
	l.contactStart, l.lastRound = time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.round(ctx)
		case <-membership.C:
			l.membershipRound(ctx)
		case <-l.wakeups:
			l.round(ctx)
		case r := <-l.results.C():
			l.applyResult(ctx, r)
		case p := <-l.pendingOrders.C():
			l.place(ctx, p)
		}
	}
}

// round runs all steps that are due. Each step proposes commands; the first that fails ends the round, and the next
// round runs all steps again.
func (l *leader) round(ctx context.Context) {
	l.detectPause()
	status := l.control.replica.Status()
	if status.Role != quorum.RoleLeader || l.control.stopping.Load() {
		l.term = 0
		return
	}
	if l.term != status.Term {
		started := l.startTerm(ctx, status.Term)
		l.lastRound = time.Now()
		if !started {
			return
		}
	}
	for _, step := range []func(context.Context) error{l.adjustMembers, l.removeSilent, l.expireOperations, l.expirePoison, l.resendOrders} {
		if err := step(ctx); err != nil {
			l.control.log.WithError(err).Warn("leader_step_failed")
			return
		}
	}
}

// membershipRound runs the step that replaces voters, between two rounds.
func (l *leader) membershipRound(ctx context.Context) {
	l.detectPause()
	if l.term == 0 || !l.control.isLeader() || l.control.stopping.Load() {
		return
	}
	if err := l.adjustMembers(ctx); err != nil {
		l.control.log.WithError(err).Warn("leader_step_failed")
	}
}

// startTerm raises the fence before anything else, so that orders that an earlier leader still sends are refused. It
// then creates the initial classes of a new group. It reports whether both succeeded.
func (l *leader) startTerm(ctx context.Context, term uint64) bool {
	fence, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_RaiseFence{RaiseFence: &wire.RaiseFence{
		Leader: l.control.settings.Instance,
	}}})
	if err != nil {
		l.control.log.WithError(err).Warn("fence_not_raised")
		return false
	}
	if err := l.initializeClasses(ctx); err != nil {
		l.control.log.WithError(err).Error("initial_classes_failed")
		return false
	}
	now := time.Now()
	l.term, l.fence, l.silenceStart = term, fence, now
	l.lastExpiry, l.lastResend = time.Time{}, time.Time{}
	return true
}

// propose commits a command and returns its log index. A refusal by the state is an error.
func (l *leader) propose(ctx context.Context, cmd *wire.Command) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	index, res, err := l.control.propose(ctx, cmd)
	if err == nil && res.GetCode() != 0 {
		err = result.New(result.Code(res.GetCode()), "%s", res.GetMessage())
	}
	return index, err
}

func (l *leader) initializeClasses(ctx context.Context) error {
	config, _ := l.control.versions()
	if config != 0 || len(l.control.settings.InitialClasses) == 0 {
		return nil
	}
	init := &wire.InitializeClasses{}
	for _, class := range l.control.settings.InitialClasses {
		init.Classes = append(init.Classes, classFromSettings(class))
	}
	_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_InitializeClasses{InitializeClasses: init}})
	return err
}

// detectPause restarts the measurement of silence after this process was suspended. Otherwise it would take all clients
// and control instances for failed when it resumes, and remove all of them.
func (l *leader) detectPause() {
	now := time.Now()
	if now.Sub(l.lastRound) > pauseThreshold {
		l.control.log.WithField("gap", now.Sub(l.lastRound)).Warn("leader_was_paused")
		l.silenceStart, l.contactStart = now, now
	}
	l.lastRound = now
}

// removeSilent ends entries and removes agents from which this leader has received nothing for longer than
// timing.server_expire. Silence counts from the start of the leadership at the earliest, since earlier polls may have
// gone to other instances.
func (l *leader) removeSilent(ctx context.Context) error {
	bound := l.control.settings.Timing.ServerExpire
	l.control.sessions.evictIdle(2 * bound)
	for _, cmd := range l.removalCommands(bound) {
		if _, err := l.propose(ctx, cmd); err != nil {
			return err
		}
		l.control.counters.instancesRemoved.Inc()
	}
	return nil
}

func (l *leader) removalCommands(bound time.Duration) []*wire.Command {
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
	heard := l.control.sessions.lastContact(role, instance, incarnation)
	if heard.Before(l.silenceStart) {
		heard = l.silenceStart
	}
	return time.Since(heard) > bound
}

// expireOperations removes old records of keyed requests, and younger ones if there are too many. One round commits a
// bounded number of batches, so that the other steps are not delayed.
func (l *leader) expireOperations(ctx context.Context) error {
	for range maxExpiryBatches {
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

// expirePoison lowers the standing of requests under which servers have crashed, once it is due.
func (l *leader) expirePoison(ctx context.Context) error {
	due := false
	l.control.machine.read(func(s *state.State) { due = s.HasExpiredPoison(uint64(time.Now().UnixMilli())) })
	if !due {
		return nil
	}
	_, err := l.propose(ctx, &wire.Command{Kind: &wire.Command_ExpirePoison{ExpirePoison: &wire.ExpirePoison{}}})
	return err
}

// expiryDue returns the time before which records should expire, and reports whether there are such records. Records
// that may not expire yet remain due; if the number of records has not changed, they are looked at again only after
// expiryInterval.
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
	if counts.Operations == l.recordsAtLastExpiry && time.Since(l.lastExpiry) < expiryInterval {
		return before, false
	}
	l.recordsAtLastExpiry, l.lastExpiry = counts.Operations, time.Now()
	return before, true
}
