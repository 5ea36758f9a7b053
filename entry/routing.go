package entry

import (
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// routing is the desired state, indexed for looking up calls. It is immutable.
type routing struct {
	version     uint64
	limits      *wire.CallerLimits
	hosts       map[string]map[string]*route // by host and path prefix
	members     map[string]*member           // by key
	requiresKey bool                         // callers need a key
	all         []*member
	// poolsChanged is set if a route leads to other pools than before, or to several.
	poolsChanged bool
}

// route is a route with its class for each tier that an organisation may have.
type route struct {
	*wire.Route
	byTier      map[uint32]*wire.Class
	poolKinds   map[string]string // kind of each of its pools
	totalWeight uint64            // sum of the pools' weights
	poolsSince  time.Time         // when its pools were last changed, zero if not while this entry has run
}

// member is an organisation and its usage cap at this entry.
type member struct {
	*wire.Member
	cap *quota.Cap // nil without a cap
}

// newRouting indexes a desired state; it returns nil for nil. The usage counted by caps is kept, so that usage doesn't
// restart with each change of the desired state.
func newRouting(desired *wire.DesiredState, caps *quota.Caps) *routing {
	if desired == nil {
		return nil
	}
	r := &routing{
		version:     desired.GetVersion(),
		limits:      desired.GetLimits(),
		hosts:       make(map[string]map[string]*route),
		members:     make(map[string]*member),
		requiresKey: len(desired.GetOrganisations()) > 0,
	}
	poolKinds := make(map[string]string)
	for _, pool := range desired.GetPools() {
		poolKinds[pool.GetName()] = pool.GetKind()
	}
	for _, organisation := range desired.GetOrganisations() {
		r.addMember(organisation, caps)
	}
	for _, spec := range desired.GetRoutes() {
		r.addRoute(spec, poolKinds)
	}
	return r
}

func (r *routing) addMember(spec *wire.Member, caps *quota.Caps) {
	m := &member{Member: spec, cap: caps.Configure(spec)}
	r.all = append(r.all, m)
	for _, key := range spec.GetKeys() {
		r.members[key] = m
	}
}

func (r *routing) addRoute(spec *wire.Route, kinds map[string]string) {
	added := &route{Route: spec, byTier: make(map[uint32]*wire.Class), poolKinds: make(map[string]string)}
	for _, to := range spec.GetPools() {
		added.totalWeight += uint64(to.GetWeight())
		added.poolKinds[to.GetPool()] = kinds[to.GetPool()]
	}
	added.byTier[0] = spec.GetClass()
	for _, m := range r.all {
		if tier := m.GetTier(); added.byTier[tier] == nil {
			class := proto.CloneOf(spec.GetClass())
			class.Tier = tier
			added.byTier[tier] = class
		}
	}
	host := strings.ToLower(spec.GetHost())
	if r.hosts[host] == nil {
		r.hosts[host] = make(map[string]*route)
	}
	r.hosts[host][spec.GetPrefix()] = added
}

// find returns the route of a host and path with the longest prefix, or nil if there is none. Every prefix ends with a
// slash, so only the parts of the path up to a slash are looked up.
func (r *routing) find(host, path string) *route {
	prefixes := r.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found := prefixes[path[:end+1]]; found != nil {
			return found
		}
	}
	return nil
}

// pickPool picks one of the route's pools at random, by weight.
func (r *route) pickPool() string {
	offset := rand.Uint64N(r.totalWeight)
	for _, to := range r.GetPools() {
		if offset < uint64(to.GetWeight()) {
			return to.GetPool()
		}
		offset -= uint64(to.GetWeight())
	}
	return ""
}

// hasPool reports whether the route leads to a pool.
func (r *route) hasPool(pool string) bool {
	_, ok := r.poolKinds[pool]
	return ok
}

// onlyPool returns the only pool in which a stream of the route can have begun within origin.Retention, "" if there may be several.
func (r *route) onlyPool(now time.Time) string {
	if len(r.poolKinds) != 1 || now.Sub(r.poolsSince) < origin.Retention {
		return ""
	}
	return r.GetPools()[0].GetPool()
}

// class returns the route's class at an organisation's tier. The organisation's tier takes precedence over the route's.
func (r *route) class(m *member) *wire.Class {
	if m == nil || m.GetTier() == 0 {
		return r.byTier[0]
	}
	return r.byTier[m.GetTier()]
}

// objectiveTime returns when a call that arrived at the given time should be answered, or the zero time for a route
// without an objective.
func (r *route) objectiveTime(arrived time.Time) time.Time {
	if r.GetObjectiveMs() == 0 {
		return time.Time{}
	}
	return arrived.Add(time.Duration(r.GetObjectiveMs()) * time.Millisecond)
}

// kindOf returns a pool's kind, which the class of a call to the pool must have.
func (r *route) kindOf(pool string) string { return r.poolKinds[pool] }

// routingOf returns the routing of a view. It returns old if the desired state has not changed.
func routingOf(now time.Time, view *session.View, old *routing, caps *quota.Caps) *routing {
	if old != nil && view.Desired.GetVersion() == old.version {
		return old
	}
	next := newRouting(view.Desired, caps)
	if next != nil && old != nil {
		next.follow(now, old)
	}
	return next
}

// follow records when the routes' pools were changed.
func (r *routing) follow(now time.Time, old *routing) {
	for host, routes := range r.hosts {
		for prefix, next := range routes {
			before := old.hosts[host][prefix]
			if before == nil {
				continue
			}
			next.poolsSince = before.poolsSince
			if !maps.Equal(before.poolKinds, next.poolKinds) {
				next.poolsSince, r.poolsChanged = now, true
			}
		}
	}
}
