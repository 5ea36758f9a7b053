package state

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// desiredStateName represents the desired state in the configuration history. It is not a valid class name.
const desiredStateName = "/desired"

// CheckDesired returns what is wrong with a desired state, or "".
func CheckDesired(d *wire.DesiredState) string {
	pools, problem := checkPools(d)
	if problem != "" {
		return problem
	}
	if problem := checkRoutes(d.GetRoutes(), pools); problem != "" {
		return problem
	}
	return checkOrganisations(d.GetOrganisations())
}

// checkPools returns the pools by name, or what is wrong with them.
func checkPools(d *wire.DesiredState) (map[string]*wire.Pool, string) {
	pools := make(map[string]*wire.Pool, len(d.GetPools()))
	for _, pool := range d.GetPools() {
		switch {
		case pool.GetName() == "" || len(pool.GetName()) > maxName:
			return nil, "a service without a name, or with a long one"
		case pools[pool.GetName()] != nil:
			return nil, fmt.Sprintf("service %q is there twice", pool.GetName())
		}
		pools[pool.GetName()] = pool
	}
	return pools, ""
}

func checkRoutes(routes []*wire.Route, pools map[string]*wire.Pool) string {
	hostPrefixes := make(map[string]bool, len(routes))
	names := make(map[string]bool, len(routes))
	for _, route := range routes {
		hostPrefix := route.GetHost() + " " + route.GetPrefix()
		switch {
		case names[route.GetName()]:
			return fmt.Sprintf("route %q is there twice", route.GetName())
		case hostPrefixes[hostPrefix]:
			return fmt.Sprintf("route %q has the host and prefix of another", route.GetName())
		}
		names[route.GetName()], hostPrefixes[hostPrefix] = true, true
		if problem := checkRoute(route, pools); problem != "" {
			return fmt.Sprintf("route %q: %s", route.GetName(), problem)
		}
	}
	return ""
}

func checkRoute(route *wire.Route, pools map[string]*wire.Pool) string {
	if !strings.HasPrefix(route.GetPrefix(), "/") || !strings.HasSuffix(route.GetPrefix(), "/") {
		return "a path prefix begins and ends with a slash"
	}
	if route.GetClass().GetName() != route.GetName() {
		return "its class has another name"
	}
	if problem := CheckClass(route.GetClass()); problem != "" {
		return problem
	}
	total := uint64(0)
	for _, weighted := range route.GetPools() {
		if pools[weighted.GetPool()] == nil {
			return fmt.Sprintf("no service %q", weighted.GetPool())
		}
		total += uint64(weighted.GetWeight())
	}
	if total == 0 {
		return "its weights add up to 0"
	}
	return ""
}

func checkOrganisations(organisations []*wire.Member) string {
	names := make(map[string]bool, len(organisations))
	ownerByKey := make(map[string]string)
	for _, organisation := range organisations {
		if names[organisation.GetName()] {
			return fmt.Sprintf("organisation %q is there twice", organisation.GetName())
		}
		names[organisation.GetName()] = true
		for _, key := range organisation.GetKeys() {
			if owner, isShared := ownerByKey[key]; isShared {
				return fmt.Sprintf("organisations %q and %q share a key", owner, organisation.GetName())
			}
			ownerByKey[key] = organisation.GetName()
		}
	}
	return ""
}

// putDesired replaces the desired state if its version is higher than the current one. The same or an older version
// is accepted and changes nothing.
//
// If an older version that arrives late were applied, routes that operators have removed would return, and requests
// would reach services that should no longer be called.
func (s *State) putDesired(cmd *wire.PutDesiredState) *wire.CommandResult {
	if cmd.GetDesired().GetVersion() <= s.desired.GetVersion() && s.desired != nil {
		return accepted()
	}
	if problem := CheckDesired(cmd.GetDesired()); problem != "" {
		return refuse(result.InvalidDesiredState, "%s", problem)
	}
	s.desired = proto.CloneOf(cmd.GetDesired())
	for _, route := range s.desired.GetRoutes() {
		route.Class.Version = s.index
	}
	s.desiredIndex = s.index
	s.advanceConfigVersion(desiredStateName)
	s.revertRemovedPools()
	return accepted()
}

// Desired returns the current desired state, nil before the first. The caller must not change it.
func (s *State) Desired() *wire.DesiredState { return s.desired }

// desiredSince returns the desired state without its document if it was put after the given version, nil otherwise.
func (s *State) desiredSince(version uint64) *wire.DesiredState {
	if s.desired == nil || s.desiredIndex <= version {
		return nil
	}
	out := proto.CloneOf(s.desired)
	out.Document = nil
	return out
}
