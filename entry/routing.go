package entry

import (
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// routing is the desired state in the form in which calls are looked up. It is never changed.
type routing struct {
	version uint64
	limits  *wire.CallerLimits
	hosts   map[string]map[string]*route // by host and path prefix
	members map[string]*member           // by key
	keyed   bool                         // callers need a key
	all     []*member
}

// route is one route with its class for each tier that an organisation may have.
type route struct {
	*wire.Route
	byTier map[uint32]*wire.Class
	kinds  map[string]string // of its pools
	total  uint64            // of the weights
}

// member is an organisation and what its usage cap has left here.
type member struct {
	*wire.Member
	cap *quota.Cap // nil without a cap
}

// newRouting indexes a desired state; nil gives nil. What the caps of the earlier one have counted is kept: usage
// doesn't start anew with each change.
func newRouting(desired *wire.DesiredState, caps *quota.Caps) *routing {
	if desired == nil {
		return nil
	}
	r := &routing{
		version: desired.GetVersion(),
		limits:  desired.GetLimits(),
		hosts:   make(map[string]map[string]*route),
		members: make(map[string]*member),
		keyed:   len(desired.GetOrganisations()) > 0,
	}
	kinds := make(map[string]string)
	for _, pool := range desired.GetPools() {
		kinds[pool.GetName()] = pool.GetKind()
	}
	for _, organisation := range desired.GetOrganisations() {
		r.addMember(organisation, caps)
	}
	for _, spec := range desired.GetRoutes() {
		r.addRoute(spec, kinds)
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
	added := &route{Route: spec, byTier: make(map[uint32]*wire.Class), kinds: make(map[string]string)}
	for _, to := range spec.GetPools() {
		added.total += uint64(to.GetWeight())
		added.kinds[to.GetPool()] = kinds[to.GetPool()]
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

// find returns the route of a host and path with the longest prefix, nil if there is none. Every prefix ends with a
// slash, so only the path's parts up to a slash need looking at.
func (r *routing) find(host, path string) *route {
	prefixes := r.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found := prefixes[path[:end+1]]; found != nil {
			return found
		}
	}
	return nil
}

// pool draws one of the route's pools by weight.
func (r *route) pool() string {
	at := rand.Uint64N(r.total)
	for _, to := range r.GetPools() {
		if at < uint64(to.GetWeight()) {
			return to.GetPool()
		}
		at -= uint64(to.GetWeight())
	}
	return ""
}

// class is the route's class at an organisation's tier. An organisation's own tier goes before the route's.
func (r *route) class(m *member) *wire.Class {
	if m == nil || m.GetTier() == 0 {
		return r.byTier[0]
	}
	return r.byTier[m.GetTier()]
}

// objective is when a call is due that arrived at a time, zero for a route without an objective.
func (r *route) objective(arrived time.Time) time.Time {
	if r.GetObjectiveMs() == 0 {
		return time.Time{}
	}
	return arrived.Add(time.Duration(r.GetObjectiveMs()) * time.Millisecond)
}

// kindOf is a pool's kind, by which the class of a call fits where it goes.
func (r *route) kindOf(pool string) string { return r.kinds[pool] }

// routingOf returns the routing of a view. One whose desired state is the old one's stays as it is.
func routingOf(view *session.View, old *routing, caps *quota.Caps) *routing {
	if old != nil && view.Desired.GetVersion() == old.version {
		return old
	}
	return newRouting(view.Desired, caps)
}
