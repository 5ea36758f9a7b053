package state

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// desiredName stands in the configuration's history for the desired state. No class may have that name.
const desiredName = "/desired"

// CheckDesired returns what is wrong with a desired state, or "".
func CheckDesired(d *wire.DesiredState) string {
	pools, problem := poolsOf(d)
	if problem != "" {
		return problem
	}
	if problem := checkRoutes(d.GetRoutes(), pools); problem != "" {
		return problem
	}
	return checkMembers(d.GetOrganisations())
}

func poolsOf(d *wire.DesiredState) (map[string]*wire.Pool, string) {
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
	places := make(map[string]bool, len(routes))
	names := make(map[string]bool, len(routes))
	for _, route := range routes {
		place := route.GetHost() + " " + route.GetPrefix()
		switch {
		case names[route.GetName()]:
			return fmt.Sprintf("route %q is there twice", route.GetName())
		case places[place]:
			return fmt.Sprintf("route %q has the host and prefix of another", route.GetName())
		}
		names[route.GetName()], places[place] = true, true
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
	for _, to := range route.GetPools() {
		if pools[to.GetPool()] == nil {
			return fmt.Sprintf("no service %q", to.GetPool())
		}
		total += uint64(to.GetWeight())
	}
	if total == 0 {
		return "its weights add up to 0"
	}
	return ""
}

func checkMembers(members []*wire.Member) string {
	names := make(map[string]bool, len(members))
	holders := make(map[string]string)
	for _, member := range members {
		if names[member.GetName()] {
			return fmt.Sprintf("organisation %q is there twice", member.GetName())
		}
		names[member.GetName()] = true
		for _, key := range member.GetKeys() {
			if holder, taken := holders[key]; taken {
				return fmt.Sprintf("organisations %q and %q share a key", holder, member.GetName())
			}
			holders[key] = member.GetName()
		}
	}
	return ""
}

// putDesired puts a desired state in force if its version is above the one held. Whoever sends the same or an older one
// is told that it is taken care of, and nothing changes.
//
// Were an older change that arrives late put in force, routes that operators had taken away would be back; one would
// notice by requests at services that nobody wants to be called any more.
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
	s.raiseConfig(desiredName)
	return accepted()
}

// Desired returns the desired state in force, nil before the first. It must not be changed.
func (s *State) Desired() *wire.DesiredState { return s.desired }

// desiredSince returns the desired state without its document if it came into force after a version, else nil.
func (s *State) desiredSince(version uint64) *wire.DesiredState {
	if s.desired == nil || s.desiredIndex <= version {
		return nil
	}
	out := proto.CloneOf(s.desired)
	out.Document = nil
	return out
}
