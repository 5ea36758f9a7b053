package entry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Timing and bounds of the origins of streams.
const (
	// originsDelay collects the origins that are told to control in one message.
	originsDelay = 10 * time.Millisecond
	// originLookUpTimeout bounds the wait for the control instances' answers, and originLookUpShare the part of the caller's
	// remaining time that it may take.
	originLookUpTimeout = 300 * time.Millisecond
	originLookUpShare   = 4
	// maxEntryOrigins bounds the streams whose origins an entry keeps.
	maxEntryOrigins = 1 << 15
)

// originSource says who knew which version began a stream.
type originSource string

// The sources of origins, used in log lines and as label values.
const (
	originOwn         originSource = "own"          // this entry passed the first event on
	originSoleVersion originSource = "sole_version" // its pool has servers of one version only
	originControl     originSource = "control"      // a control instance was told
	originUnknown     originSource = "unknown"
)

// streamOrigin is what began the answer to a call. streamOrigins.mu guards it.
type streamOrigin struct {
	key   origin.Key
	from  origin.Origin
	began bool
	// isSplit is set if the route may lead to several pools: a stream may have begun in another one than its caller reaches now.
	isSplit bool
	// inferred is set if the call resumes a stream by what this entry knows of its pool. That the stream goes on is no proof of
	// its origin then.
	inferred bool
}

// streamOrigins knows which software versions began streams that their callers may resume at any entry.
//
// While all servers of a pool are of one version, nothing is told: any entry knows the version then. Otherwise the origin of
// each stream is told to control with its first event, and once more if the stream ends early. When a second version comes, the
// origins of the streams that run are told.
type streamOrigins struct {
	now     func() time.Time
	after   func(time.Duration, func()) // calls a function later
	contact originContact
	streams func() []*call // those in progress

	mu      sync.Mutex
	table   *origin.Table
	pending *origin.Groups
	control session.Versions
	seen    *origin.History   // of this entry's directory, which changes between two answers of control
	sole    map[string]string // version of each pool that has had no other within origin.Retention
}

// originContact is the part of Control that streamOrigins needs.
type originContact interface {
	HeardAt() time.Time
	ConfirmSince(context.Context, time.Time) bool
	ReportStreamOrigins(*wire.StreamOrigins)
	LookUpStreamOrigin(context.Context, origin.Key) *wire.StreamOriginReply
}

func newStreamOrigins(now func() time.Time, contact originContact, streams func() []*call) *streamOrigins {
	return &streamOrigins{
		now: now, contact: contact, streams: streams,
		after: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		table: origin.NewTable(maxEntryOrigins), pending: origin.NewGroups(), seen: origin.NewHistory(),
	}
}

// viewChanged takes a new directory into account.
func (o *streamOrigins) viewChanged(view *session.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen.Observe(o.now(), maps.Values(view.Announcements))
	o.updateSole()
}

// versionsChanged takes what control says of versions into account.
func (o *streamOrigins) versionsChanged(v session.Versions) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.control = v
	o.updateSole()
}

// routesChanged tells the origins of all streams: a route leads to other pools than before, so its pool's only version isn't known
// to have begun them.
func (o *streamOrigins) routesChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reportAll()
}

// updateSole determines the pools of one version anew, and tells the origins of all streams if there are fewer. The lock must be
// held.
func (o *streamOrigins) updateSole() {
	before := o.sole
	o.sole = nil
	if o.control.Complete {
		o.sole = o.seen.Sole(o.now())
		maps.DeleteFunc(o.sole, func(pool, _ string) bool { return o.control.Mixed[pool] })
	}
	for pool := range before {
		if _, still := o.sole[pool]; !still {
			o.reportAll()
			return
		}
	}
}

// reportAll tells the origins of the streams that run and of those that ended early. The lock must be held.
func (o *streamOrigins) reportAll() {
	now := o.now()
	for _, c := range o.streams() {
		if c.stream.began {
			o.table.Put(now, c.stream.key, c.stream.from)
		}
	}
	for _, group := range o.table.All(now).GetGroups() {
		for _, stream := range group.GetStreams() {
			o.enqueue(origin.Key(stream), origin.Origin{Pool: group.GetPool(), Version: group.GetVersion()})
		}
	}
}

// enqueue queues an origin for control. The lock must be held.
func (o *streamOrigins) enqueue(key origin.Key, from origin.Origin) {
	if o.pending.Add(key, from) {
		o.after(originsDelay, o.flush)
	}
}

// flush tells control what is queued.
func (o *streamOrigins) flush() {
	o.mu.Lock()
	message := o.pending.Message()
	o.mu.Unlock()
	if message != nil {
		o.contact.ReportStreamOrigins(message)
	}
}

// all returns the origins that this entry keeps, for a control instance that was just linked.
func (o *streamOrigins) all() *wire.StreamOrigins {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.All(o.now())
}

// began notes the origin of a stream at its first event. c is nil for a call that has ended.
func (o *streamOrigins) began(c *call, a sched.StreamBegan) {
	if c == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.stream.inferred {
		return
	}
	c.stream.from, c.stream.began = origin.Origin{Pool: a.Pool, Version: a.Version}, true
	o.note(&c.stream, false)
}

// endedEarly notes the origin of a stream whose caller doesn't have its end, and may resume it.
func (o *streamOrigins) endedEarly(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.stream.began {
		o.note(&c.stream, true)
	}
}

// note keeps the origin of a stream and tells it, unless any entry knows it. The lock must be held.
func (o *streamOrigins) note(s *streamOrigin, keep bool) {
	_, isSole := o.sole[s.from.Pool]
	isSole = isSole && !s.isSplit
	if keep || !isSole {
		o.table.Put(o.now(), s.key, s.from)
	}
	if !isSole {
		o.enqueue(s.key, s.from)
	}
}

// foundOrigin is what is known of a stream that a caller resumes.
type foundOrigin struct {
	from   origin.Origin
	source originSource
	age    time.Duration // since it was noted, or how long it took to confirm that the pool has one version
}

// find returns which version began a stream, with source originUnknown if that can't be known. pool returns the only one in which
// it can have begun, "" if there are several.
//
// That a pool has servers of one version says what began a stream only if this entry knows the directory as of its caller's
// request: a stream may have begun elsewhere, at a version that came a moment ago.
func (o *streamOrigins) find(ctx context.Context, key origin.Key, pool func() string) foundOrigin {
	arrived := o.now()
	if from, age, ok := o.own(key); ok {
		return foundOrigin{from, originOwn, age}
	}
	if o.soleVersion(pool()) != "" && o.confirmSince(ctx, arrived) {
		only := pool()
		if version := o.soleVersion(only); version != "" {
			return foundOrigin{origin.Origin{Pool: only, Version: version}, originSoleVersion, o.now().Sub(arrived)}
		}
	}
	reply := o.contact.LookUpStreamOrigin(ctx, key)
	if reply == nil {
		return foundOrigin{source: originUnknown}
	}
	found := foundOrigin{
		from:   origin.Origin{Pool: reply.GetPool(), Version: reply.GetVersion()},
		source: originControl,
		age:    time.Duration(reply.GetAgeMs()) * time.Millisecond,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Put(o.now(), key, found.from)
	return found
}

// confirmSince is Control.ConfirmSince for half of the time that ctx leaves, so that control can be asked for the stream's origin if
// it can't be confirmed that there is one version.
func (o *streamOrigins) confirmSince(ctx context.Context, since time.Time) bool {
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(end)/2)
		defer cancel()
	}
	return o.contact.ConfirmSince(ctx, since)
}

// own returns the origin of a stream as this entry noted it, and how long ago.
func (o *streamOrigins) own(key origin.Key) (origin.Origin, time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Get(o.now(), key)
}

// soleVersion returns the only version of a pool as far as this entry knows, "" if there may be several.
func (o *streamOrigins) soleVersion(pool string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sole[pool]
}

// bindResumption binds a request that resumes a stream to the pool and version that began it. It returns what is known of the
// stream, and why the request is refused.
func (e *Entry) bindResumption(ctx context.Context, admission *Admission, call *Call, r *sched.Request) (streamOrigin, *result.Error) {
	onlyPool := admission.route.onlyPool(e.now())
	stream := streamOrigin{key: streamKey(call, r), isSplit: onlyPool == ""}
	if call.LastEvent == "" || !r.IsResumable() {
		return stream, nil
	}
	wait := min(originLookUpTimeout, max(r.Deadline.Sub(e.now()), 0)/originLookUpShare)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	found := e.origins.find(ctx, stream.key, func() string { return e.onlyPoolOf(call) })
	e.meter.add(fmt.Sprintf(`%s{known_by=%q}`, metricResumed, found.source), 1)
	e.logResumption(r, call, found)
	if found.source == originUnknown {
		return stream, result.New(result.StreamVersionUnknown, "").WithRetryAfter(controlRetryAfter)
	}
	if found.from.Pool != r.Target && !admission.route.hasPool(found.from.Pool) {
		return stream, result.New(result.StreamVersionGone, "the route doesn't lead to %s any more", found.from.Pool).WithRetryAfter(controlRetryAfter)
	}
	r.Target = found.from.Pool
	r.Origin = &sched.StreamOrigin{Version: found.from.Version, Linking: e.linkVersion(found.from)}
	stream.inferred = found.source == originSoleVersion
	return stream, nil
}

// onlyPoolOf returns the only pool to which the route of a call has led since any stream began that may be resumed, "" if there
// may be others. It goes by the newest desired state, which may have come after the call was admitted.
func (e *Entry) onlyPoolOf(call *Call) string {
	table := e.catalogue.Load().routing
	if table == nil {
		return ""
	}
	found := table.find(call.Host, call.Path)
	if found == nil {
		return ""
	}
	return found.onlyPool(e.now())
}

// versionLinks is the number of servers of a version to which links are opened for a stream, if there are none yet.
const versionLinks = 4

// linkVersion opens links to servers of a version if this entry has none to any of them, as may be in a large pool. It reports
// whether it does.
func (e *Entry) linkVersion(from origin.Origin) bool {
	var names []string
	for _, agent := range e.control.View().Agents {
		servers := serversOf(agent, from)
		if len(servers) > 0 && e.links.isLinked(agent.GetAgent()) {
			return false
		}
		names = append(names, servers...)
	}
	if len(names) == 0 {
		return false
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(rendezvous.Rank(e.settings.Instance, a), rendezvous.Rank(e.settings.Instance, b))
	})
	e.links.keepLinked(names[:min(versionLinks, len(names))])
	return true
}

// serversOf returns the names of an agent's servers of a version.
func serversOf(agent *wire.AgentRecord, from origin.Origin) []string {
	var names []string
	for _, server := range agent.GetServers() {
		if server.GetVersion() == from.Version && slices.Contains(server.GetModels(), from.Pool) {
			names = append(names, server.GetServer())
		}
	}
	return names
}

// streamKey returns the key of the stream that a call begins, or resumes.
func streamKey(call *Call, r *sched.Request) origin.Key {
	if call.LastEvent != "" {
		return origin.KeyOf(r.Organisation, call.Resumes)
	}
	return origin.KeyOf(r.Organisation, call.ID)
}

// logResumption logs a call that resumes a stream.
func (e *Entry) logResumption(r *sched.Request, call *Call, found foundOrigin) {
	e.log.WithField("request", r.ID).
		WithField("class", r.Class.GetName()).
		WithField("target", r.Target).
		WithField("last_event", call.LastEvent).
		WithField("resumes", call.Resumes).
		WithField("known_by", string(found.source)).
		WithField("known_ms", found.age.Milliseconds()).
		WithField("began_at", found.from.Pool).
		WithField("version", found.from.Version).
		Info("stream_resumption")
}
