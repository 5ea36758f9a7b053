package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/settings"
)

func (r *reader) checkScenarios(p *Plan) {
	r.require(len(p.Scenarios) > 0, "scenarios", "want at least one")
	names := map[string]bool{}
	for i, s := range p.Scenarios {
		at := fmt.Sprintf("scenarios[%d].", i)
		r.require(s.Name != "" && !names[s.Name], at+"name", "want a name that no other scenario has")
		names[s.Name] = true
		r.require(s.Load > 0 && s.Load <= maxMultiple, at+"load", "want a multiple of capacity, up to %d", maxMultiple)
		r.require(s.Goals == "" || s.Goals == GoalsOverload || s.Goals == GoalsUnderload, at+"goals", "want %q or %q",
			GoalsOverload, GoalsUnderload)
		if s.Burst != nil {
			r.checkBurst(p, at+"burst.", s.Burst)
		}
		if s.Rollout != nil {
			r.checkRollout(p, at+"rollout.", s)
		}
		for j, f := range s.Faults {
			r.checkFault(p, fmt.Sprintf("%sfaults[%d].", at, j), f)
		}
	}
}

func (r *reader) checkBurst(p *Plan, at string, b *Burst) {
	r.require(b.At >= 0 && b.At < p.Measured, at+"at", "want a time within measured")
	r.require(b.For > 0, at+"for", "want a time above zero")
	r.require(b.Times > 0 && b.Times <= maxMultiple, at+"times", "want a factor, up to %d", maxMultiple)
}

func (r *reader) checkRollout(p *Plan, at string, s Scenario) {
	o := s.Rollout
	found := false
	for _, servers := range p.Servers {
		found = found || servers.Serves == o.Service
		r.require(o.To == "" || servers.Serves != o.Service || servers.Version != o.To, at+"to", "the servers %q have this version already", servers.Name)
	}
	r.require(found, at+"service", "no backend servers of %q", o.Service)
	r.require(o.To != "", at+"to", "want a version")
	r.require(o.At >= 0, at+"at", "must not be negative")
	r.require(o.For >= minRollout, at+"for", "want at least %s", minRollout.Std())
	r.require(o.At+o.For <= p.Measured, at+"for", "want an end within measured")
	if bad := o.Bad; bad != nil {
		r.require(isShare(bad.Failures), at+"bad.failures", "want a share from 0 to 1")
		r.require(bad.Slow == 0 || bad.Slow >= 1 && bad.Slow <= maxMultiple, at+"bad.slow", "want 1 to %d", maxMultiple)
		r.require(bad.Failures > 0 || bad.Slow > 1, at+"bad", "want failures or slow")
		r.require(bad.After >= 0 && bad.After < o.For, at+"bad.after", "want a time within for")
		r.require(bad.MinRunning >= 0, at+"bad.min_running", "must not be negative")
	}
	if other := p.Scenario(o.CostAgainst); o.CostAgainst != "" {
		ok := other != nil && other.Rollout == nil && other.Load == s.Load && sameBurst(other.Burst, s.Burst) && slices.Equal(other.Faults, s.Faults)
		r.require(ok, at+"cost_against", "want a scenario with the same load and faults and without a roll-out")
	}
}

// minRollout is the shortest time of a roll-out that control accepts.
const minRollout = Duration(time.Second)

func sameBurst(a, b *Burst) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func (r *reader) checkFault(p *Plan, at string, f Fault) {
	r.require(f.At >= 0 && f.At < p.Measured, at+"at", "want a time within measured")
	r.require(f.For >= 0, at+"for", "must not be negative")
	switch f.Kind {
	case Straggler:
		r.checkTarget(p, at, f)
		r.require(f.Factor >= 1 && f.Factor <= maxMultiple, at+"factor", "want 1 to %d", maxMultiple)
	case EngineCrash, AgentDeath:
		r.checkTarget(p, at, f)
		r.require(f.For > 0, at+"for", "want a time above zero")
	case ServerLeave:
		r.checkTarget(p, at, f)
	case EntryDeath:
		r.require(f.Entry >= 1 && f.Entry <= len(p.Entries), at+"entry", "want 1 to %d", len(p.Entries))
		r.require(f.For > 0, at+"for", "want a time above zero")
	case CacheEvents:
		r.require(isShare(f.Factor), at+"factor", "want a share from 0 to 1")
	case SkewedCallers:
		r.require(f.Entry >= 1 && f.Entry <= len(p.Entries), at+"entry", "want 1 to %d", len(p.Entries))
		r.require(f.For > 0, at+"for", "want a time above zero")
		r.require(isShare(f.Factor), at+"factor", "want a share from 0 to 1")
	case PoisonRequest, PoisonPart:
		r.checkTarget(p, at, f)
		isModel := slices.ContainsFunc(p.ServerList(), func(s Server) bool { return s.Name == f.Target && s.Kind == settings.KindModel })
		r.require(f.Kind == PoisonRequest || isModel, at+"target", "want a model server, only its prompts have parts")
		r.require(f.For > 0, at+"for", "want a time above zero")
		r.require(f.Factor > 0 && f.Factor <= maxMultiple, at+"factor", "want repeats a second, up to %d", maxMultiple)
	case RateLimit, Backoff:
		r.checkTarget(p, at, f)
		r.require(f.Factor >= 0 && f.Factor <= maxMultiple, at+"factor", "want requests a second, or seconds, from 0 to %d", maxMultiple)
	case Draining:
		r.checkTarget(p, at, f)
	case BrokenAnswers:
		r.checkTarget(p, at, f)
		r.require(isShare(f.Factor), at+"factor", "want a share from 0 to 1")
	case ControlCut:
		r.require(p.Controls >= 3, at+"kind", "want at least 3 control instances")
	case ControlDeath:
		r.require(p.Controls >= 3, at+"kind", "want at least 3 control instances")
		r.require(f.For > 0, at+"for", "want a time above zero")
	case EntryCut:
		r.require(f.Entry >= 1 && f.Entry <= len(p.Entries), at+"entry", "want 1 to %d", len(p.Entries))
	case ZoneLoss:
		r.require(slices.Contains(p.Zones, f.Target), at+"target", "no availability zone %q", f.Target)
		r.require(f.For > 0, at+"for", "want a time above zero")
	default:
		r.add(at+"kind", "no fault %q", f.Kind)
	}
}

func (r *reader) checkTarget(p *Plan, at string, f Fault) {
	for _, s := range p.ServerList() {
		if s.Name == f.Target {
			return
		}
	}
	r.add(at+"target", "no backend server %q", f.Target)
}

// Server is one backend server of a plan.
type Server struct {
	Name string
	Zone string
	Servers
}

// ServerList returns the backend servers one by one. Names count from 1 within those of the same name.
func (p *Plan) ServerList() []Server {
	var list []Server
	for _, s := range p.Servers {
		for i := range s.Count {
			zone := ""
			if len(p.Zones) > 0 {
				zone = p.Zones[len(list)%len(p.Zones)]
			}
			list = append(list, Server{Name: fmt.Sprintf("%s-%02d", s.Name, i+1), Zone: zone, Servers: s})
		}
	}
	return list
}

// Active tells whether the fault is in force at a time after the end of the warm-up.
func (f Fault) Active(at time.Duration) bool {
	return at >= f.At.Std() && (f.For == 0 || at < f.At.Std()+f.For.Std())
}
