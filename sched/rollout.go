package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Roll-outs: which versions of backend servers a pool's requests may be sent to.
//
// Without a roll-out versions decide nothing. Once one was ordered for a pool, servers of its version `to` are
//   - in progress: exposed, that is, used for a bounded share of the pool's sends, and not members of the pool otherwise;
//   - completed: the only members of the pool;
//   - reverted: not used.
//
// Servers of all other versions count as old, also those of a third version. Since a server that may not be used for all
// requests is no member of the pool, all other code of the scheduler chooses among the servers that may.
//
// Invariant of the exposure, kept by noteSend: of the requests that this entry has sent to the pool since it learned of the
// order, retries included, at most the share exposureShare went to servers of `to`:
//
//	exposed * million <= exposureShare * sent
//
// A send counts when it is dispatched, since it may arrive. The invariant needs no messages, and the sums of all entries keep
// to the share as well, whichever of them start, die or lose control. dispatch is the only place that sends requests, and it
// sends to a server that is no member of the pool only if mayExpose allows it.

const (
	// million is the unit of shares and credits: exact integers, so that the bound holds without rounding.
	million = 1_000_000
	// DefaultExposureShare is the share of a pool's requests that a version may get before it has proved good.
	DefaultExposureShare = 0.1
	// entryExposureDivisor is the part of the exposure share that entries use. The rest covers what an entry cannot see:
	// requests that reach their server only once, of several sends, are counted once there.
	entryExposureDivisor = 2
	// DefaultControlSilence is how long an entry without a confirmed answer of control goes on to use a new version. With
	// what control needs for its verdict it stays below the 5 s after which a bad version must get no more requests.
	DefaultControlSilence = 2 * time.Second
	// maxExposureCredit bounds the sends to a new version that are saved up while it has no room, in sends: a version that
	// starts late, or recovers, does not get a burst.
	maxExposureCredit = 8
)

// rollout is the last roll-out of a pool, as this entry goes by it.
type rollout struct {
	pool  string
	to    string
	id    uint64
	state wire.RolloutState
	// applied is the state by which the members of the pool were determined last.
	applied wire.RolloutState

	sent, exposed uint64           // sends to the pool since the order was learned; those of them to servers of `to`
	credit        int64            // millionths of a send to `to` that the sends so far allow
	classCredit   map[string]int64 // the same by class; negative for a class that is ahead of its part
	oldServers    int              // servers of other versions in the whole deployment
	servers       []*server        // of `to`, that may be exposed now
	open          bool             // servers of `to` may be exposed, as of the last refreshRollouts
	stopped       bool             // this entry has seen too many bad answers of its own
	evidence      rolloutEvidence
}

// RolloutStep is what happened in a roll-out at this entry.
type RolloutStep string

// The steps of a roll-out at an entry.
const (
	// RolloutLearned: the entry goes by an order or, after its start, by an earlier verdict.
	RolloutLearned RolloutStep = "rollout_learned"
	// RolloutStopped: the entry uses the new version no more because of bad answers of its own.
	RolloutStopped RolloutStep = "rollout_stopped_locally"
	// RolloutPaused and RolloutResumed: the entry has lost and regained confirmed contact with control.
	RolloutPaused  RolloutStep = "rollout_paused"
	RolloutResumed RolloutStep = "rollout_resumed"
	// RolloutOver: the entry goes by the verdict.
	RolloutOver RolloutStep = "rollout_over"
)

// Roles of the servers of a pool with a roll-out, as labels of counters.
const (
	roleOld = "old"
	roleNew = "new"
)

// setRollouts applies the committed roll-outs, which replace those known before.
func (s *Scheduler) setRollouts(e Rollouts) {
	known := s.rollouts
	s.rollouts = make(map[string]*rollout, len(e.Rollouts))
	for _, next := range e.Rollouts {
		s.rollouts[next.GetPool()] = s.updatedRollout(known[next.GetPool()], next)
	}
	s.rolloutOrder = slices.SortedFunc(maps.Values(s.rollouts), func(a, b *rollout) int { return cmp.Compare(a.pool, b.pool) })
	for _, ro := range s.rolloutOrder {
		ro.oldServers = e.OldServers[ro.pool]
		if known[ro.pool] != ro || ro.applied != ro.state {
			ro.applied = ro.state
			s.updateVersions(ro.pool)
			s.recallUnstarted(ro)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(known)) {
		if s.rollouts[pool] == nil {
			s.updateVersions(pool)
		}
	}
	s.rolloutsStale = true
}

// updatedRollout returns the state of a pool's roll-out. A new order begins with new sums. A verdict is final: an in-progress
// state of the same order is older.
func (s *Scheduler) updatedRollout(known *rollout, next *wire.Rollout) *rollout {
	if known != nil && known.id > next.GetId() {
		return known
	}
	if known == nil || known.id != next.GetId() {
		ro := &rollout{
			pool: next.GetPool(), to: next.GetTo(), id: next.GetId(), state: next.GetState(), classCredit: map[string]int64{},
			evidence: newRolloutEvidence(),
		}
		ro.open = s.mayUseNew(ro)
		s.emitRolloutStep(RolloutLearned, ro, next.GetReason())
		return ro
	}
	if known.inProgress() && next.GetState() != known.state {
		known.state = next.GetState()
		s.emitRolloutStep(RolloutOver, known, next.GetReason())
	}
	return known
}

// updateVersions recomputes which servers are members of the pools of a target, and withdraws reservations at those that are
// no longer.
func (s *Scheduler) updateVersions(target string) {
	for _, v := range s.sortedServers() {
		if _, targets := v.advertised(); slices.Contains(targets, target) {
			s.updatePools(v)
		}
	}
}

// recallUnstarted cancels the attempts that wait at gates of servers that may not be used any more, so that they go elsewhere.
// Without it a gate could start them at a version seconds after its verdict. An attempt that may have started by now and may not
// be repeated stays: a Cancel could leave its outcome unknown.
func (s *Scheduler) recallUnstarted(ro *rollout) {
	if ro.inProgress() && !ro.stopped {
		return
	}
	waiting := map[*request]struct{}{}
	for _, r := range s.requests {
		a := r.attempt
		if a != nil && r.pool.key.target == ro.pool && !a.started && !a.framesSeen && r.Class.GetRepeatable() && !s.isMember(ro.pool, a.server) {
			waiting[r] = struct{}{}
		}
	}
	for _, r := range sortedRequests(waiting) {
		s.requestCancel(r, wire.CancelCause_CANCEL_CAUSE_RETRY)
	}
}

func (ro *rollout) inProgress() bool { return ro.state == wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS }

// isNew reports whether the server is of the version that the pool is moved to.
func (ro *rollout) isNew(v *server) bool { return v.record.GetVersion() == ro.to }

func (ro *rollout) roleOf(version string) string {
	if version == ro.to {
		return roleNew
	}
	return roleOld
}

// isMember reports whether the server may get any request of the target, as far as its version goes.
func (s *Scheduler) isMember(target string, v *server) bool {
	ro := s.rollouts[target]
	if ro == nil {
		return true
	}
	if ro.state == wire.RolloutState_ROLLOUT_STATE_COMPLETED {
		return ro.isNew(v)
	}
	return !ro.isNew(v)
}

// mayUseNew reports whether servers of the new version may be exposed now.
//
// An entry that has heard nothing confirmed from control may have missed the verdict, so it sends nothing more to the new
// version; nor does it after a dozen bad answers of its own.
func (s *Scheduler) mayUseNew(ro *rollout) bool {
	return ro.inProgress() && !ro.stopped && !s.controlConfirmedAt.IsZero() &&
		s.now.Sub(s.controlConfirmedAt) <= s.options.ControlSilence
}

// mayUse reports whether the request may be sent to the server now, as far as the server's pool and version go.
func (s *Scheduler) mayUse(r *request, v *server) bool {
	return r.pool.has(v) || s.mayExpose(r, v)
}

// isInUse reports whether requests of the pool may wait at the server.
func (s *Scheduler) isInUse(p *pool, v *server) bool {
	if p.has(v) {
		return true
	}
	ro := s.rollouts[p.key.target]
	return ro != nil && s.mayUseNew(ro) && slices.Contains(ro.servers, v)
}

// mayExpose reports whether the request may be sent now to a server of the version that its pool is being moved to.
func (s *Scheduler) mayExpose(r *request, v *server) bool {
	ro := s.rollouts[r.pool.key.target]
	return ro != nil && s.mayUseNew(ro) && slices.Contains(ro.servers, v) && ro.isNew(v) && s.isExposureDue(ro, r, 0) && s.canExpose(r, v)
}

// isDue reports whether the sends so far, this one included, allow one more to the new version besides those that may be
// under way, and whether it is the turn of the request's class.
//
// By the counter of its own class, each class and route gets its part of the exposure. Otherwise the first tier, which is
// always dispatched first, would get all of it in a burst, and a version that is bad on another route would look good.
func (ro *rollout) isDue(share int64, class string, underWay int) bool {
	return ro.credit+share-int64(underWay)*million >= million && ro.classCredit[class]+share >= 0
}

func (s *Scheduler) isExposureDue(ro *rollout, r *request, underWay int) bool {
	return ro.isDue(s.exposureShare(), r.Class.GetName(), underWay)
}

// exposureShare returns the share of sends that this entry may send to a new version, in millionths.
func (s *Scheduler) exposureShare() int64 {
	return int64(math.Floor(s.options.ExposureShare * million / entryExposureDivisor))
}

// canExpose reports whether a server of the new version suits the request. A request that was sent to the new version before
// and failed is retried at an old server. One during which servers crashed would be counted against the new version.
//
// The estimate of the run time doesn't count: a new version that is slow would get no more requests and never be found bad.
func (s *Scheduler) canExpose(r *request, v *server) bool {
	return v.ready && !r.exposed && r.allows(v) && r.canResumeOn(v) && !slices.Contains(r.avoided, v.name) && !s.isWatched(r) &&
		!s.mustWaitForVersion(r, v)
}

// exposeTo returns the server of the new version to which the request is dispatched, or nil if it goes to an old one. No
// request waits for the new version: it gets one that has room now.
func (s *Scheduler) exposeTo(r *request) *server {
	return s.bestExposed(r, 0, func(v *server) bool { return v.hasRoom })
}

// addExposed adds a server of the new version to the servers at which a request reserves, if it is due. Under load new servers
// get their part only this way. The reservations that wait there already count as under way, since most of them will be
// offered a slot.
func (s *Scheduler) addExposed(r *request, servers []*server) []*server {
	ro := s.rollouts[r.pool.key.target]
	if ro == nil || len(servers) == 0 {
		return servers
	}
	underWay := 0
	for _, v := range ro.servers {
		underWay += len(v.reservedBy)
	}
	if v := s.bestExposed(r, underWay, func(*server) bool { return true }); v != nil {
		return append(slices.Clip(servers), v)
	}
	return servers
}

// bestExposed returns the server of the new version with the earliest estimated finish, or nil if the request isn't due or
// none suits.
func (s *Scheduler) bestExposed(r *request, underWay int, suits func(*server) bool) *server {
	ro := s.rollouts[r.pool.key.target]
	if ro == nil || !s.mayUseNew(ro) || !s.isExposureDue(ro, r, underWay) {
		return nil
	}
	var best *server
	var bestAt time.Duration
	for _, v := range ro.servers {
		if !suits(v) || !s.canExpose(r, v) {
			continue
		}
		if at := s.estimateFinish(r, v); best == nil || at < bestAt {
			best, bestAt = v, at
		}
	}
	return best
}

// exposureHasRoom reports whether a request of the pool may be sent to a new server with room, whatever its class.
func (s *Scheduler) exposureHasRoom(p *pool) bool {
	ro := s.rollouts[p.key.target]
	return ro != nil && s.mayUseNew(ro) && ro.credit+s.exposureShare() >= million &&
		slices.ContainsFunc(ro.servers, func(v *server) bool { return v.hasRoom })
}

// declineExposure declines an offer of a server that may not have the request now, because of its version. It reports whether
// it did.
func (s *Scheduler) declineExposure(a *agent, r *request, v *server, m *wire.Offer) bool {
	if s.mayUse(r, v) {
		return false
	}
	s.decline(a, m)
	s.countRollout(RolloutWithheld, r.pool.key.target, roleNew)
	s.forgetReservation(r, v)
	s.reservationLost(r)
	return true
}

// noteSend counts a send to a pool with a roll-out in progress. It keeps the invariant of the exposure: the credit is the
// difference of its two sides, apart from credit that was dropped as too old, and never negative.
func (s *Scheduler) noteSend(r *request, a *attempt) {
	ro := s.rollouts[r.pool.key.target]
	if ro == nil || !ro.inProgress() {
		return
	}
	a.rollout = ro.id
	spent := int64(0)
	if ro.isNew(a.server) {
		spent = million
		ro.exposed++
		r.exposed = true
	}
	ro.sent++
	class := r.Class.GetName()
	ro.credit = min(ro.credit+s.exposureShare()-spent, maxExposureCredit*million)
	ro.classCredit[class] = min(ro.classCredit[class]+s.exposureShare()-spent, maxExposureCredit*million)
	s.countRollout(RolloutSends, ro.pool, ro.roleOf(a.version))
}

// noteReadiness schedules what follows from a change of a server's readiness or room for the roll-outs that use it.
func (s *Scheduler) noteReadiness(v *server, isReadyChanged bool) {
	if len(s.rollouts) == 0 {
		return
	}
	s.rolloutsStale = s.rolloutsStale || isReadyChanged
	_, targets := v.advertised()
	for _, target := range targets {
		if ro := s.rollouts[target]; ro != nil && slices.Contains(ro.servers, v) {
			s.markRolloutDirty(ro)
		}
	}
}

func (s *Scheduler) markRolloutDirty(ro *rollout) {
	for _, kind := range []string{kindModel, kindService} {
		if p := s.pools[poolKey{kind: kind, target: ro.pool}]; p != nil {
			s.markDirty(p)
		}
	}
}

// refreshRollouts recomputes which servers of new versions may be exposed, if something changed or contact with control was
// lost or regained since.
func (s *Scheduler) refreshRollouts() {
	for _, ro := range s.rolloutOrder {
		open := s.mayUseNew(ro)
		if open != ro.open {
			s.rolloutOpened(ro, open)
		} else if !s.rolloutsStale {
			continue
		}
		s.exposeServers(ro, s.serversToExpose(ro))
	}
	s.rolloutsStale = false
}

func (s *Scheduler) rolloutOpened(ro *rollout, open bool) {
	ro.open = open
	switch {
	case open:
		s.emitRolloutStep(RolloutResumed, ro, "")
	case ro.inProgress() && !ro.stopped:
		s.emitRolloutStep(RolloutPaused, ro, "no confirmed answer of control")
	}
}

// serversToExpose returns the servers of the new version that may be used: few, chosen by rendezvous hashing, so that entries
// choose the same ones and each is as fully loaded as an old one. A version that is bad under load only shows it this way.
func (s *Scheduler) serversToExpose(ro *rollout) []*server {
	if !s.mayUseNew(ro) {
		return nil
	}
	var found []*server
	old := 0
	for _, v := range s.sortedServers() {
		if _, targets := v.advertised(); !slices.Contains(targets, ro.pool) {
			continue
		}
		switch {
		case !ro.isNew(v):
			old++
		case v.ready:
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b *server) int {
		return cmp.Or(cmp.Compare(exposureRank(ro.id, a.name), exposureRank(ro.id, b.name)), cmp.Compare(a.name, b.name))
	})
	return found[:min(len(found), ExposedServers(s.options.ExposureShare, max(old, ro.oldServers)))]
}

// ExposedServers returns the number of servers of a new version that are used beside the given number of old ones, at an
// exposure share as in Options.
func ExposedServers(share float64, old int) int {
	return max(1, int(math.Ceil(share/entryExposureDivisor*float64(old))))
}

// RankExposed orders the names of servers of a new version as entries choose them for the roll-out with the given id.
func RankExposed(id uint64, servers []string) []string {
	return slices.SortedFunc(slices.Values(servers), func(a, b string) int {
		return cmp.Or(cmp.Compare(exposureRank(id, a), exposureRank(id, b)), cmp.Compare(a, b))
	})
}

func exposureRank(id uint64, server string) uint64 {
	return rendezvous.Rank("rollout "+strconv.FormatUint(id, 10), server)
}

// exposeServers sets the servers that are exposed, and withdraws the reservations at those that no longer are.
func (s *Scheduler) exposeServers(ro *rollout, servers []*server) {
	left := ro.servers
	ro.servers = servers
	for _, v := range left {
		if !slices.Contains(servers, v) {
			s.dropReservations(v, func(r *request) bool { return r.pool.key.target == ro.pool && !r.pool.has(v) })
		}
	}
	s.markRolloutDirty(ro)
}

// setControlContact records when the last poll that control has confirmed was sent. A zero time means that contact is lost. A
// time before the last one means that the machine was suspended, which the scheduler's clock doesn't count.
func (s *Scheduler) setControlContact(at time.Time) {
	s.retryContact(at, s.controlConfirmedAt)
	s.controlConfirmedAt = at
}

func (s *Scheduler) emitRolloutStep(step RolloutStep, ro *rollout, reason string) {
	s.emit(RolloutChanged{
		Step: step, Pool: ro.pool, To: ro.to, ID: ro.id, State: ro.state, Reason: reason,
		Sent: ro.sent, Exposed: ro.exposed, Bad: ro.evidence.bad(ro.to),
	})
}

func (s *Scheduler) countRollout(c Counter, pool, role string) {
	s.emit(Count{Counter: c, Pool: pool, Label: role, Add: 1})
}

// RolloutStatus is how a roll-out stands at this entry.
type RolloutStatus struct {
	Pool  string `json:"pool"`
	To    string `json:"to"`
	ID    uint64 `json:"id"`
	State string `json:"state"`
	// Sent counts the requests sent to the pool since this entry learned of the order, Exposed those of them to servers of
	// the new version.
	Sent    uint64 `json:"sent"`
	Exposed uint64 `json:"exposed"`
	// Open reports whether servers of the new version may get requests now; Stopped whether this entry has stopped using
	// them because of bad answers of its own, of which there were Bad.
	Open    bool     `json:"open"`
	Stopped bool     `json:"stopped"`
	Bad     uint64   `json:"bad"`
	Servers []string `json:"servers"` // of the new version that are used
}

// Rollouts returns the roll-outs as of the last Step, sorted by pool.
func (s *Scheduler) Rollouts() []RolloutStatus {
	var all []RolloutStatus
	for _, ro := range s.rolloutOrder {
		all = append(all, RolloutStatus{
			Pool: ro.pool, To: ro.to, ID: ro.id, State: ro.state.Name(), Sent: ro.sent, Exposed: ro.exposed,
			Open: ro.open, Stopped: ro.stopped, Bad: ro.evidence.bad(ro.to), Servers: serverNames(ro.servers),
		})
	}
	return all
}
