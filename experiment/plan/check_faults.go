package plan

import (
	"fmt"
	"time"
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
	case PoisonRequest:
		r.checkTarget(p, at, f)
		r.require(f.For > 0, at+"for", "want a time above zero")
		r.require(f.Factor > 0 && f.Factor <= maxMultiple, at+"factor", "want repeats a second, up to %d", maxMultiple)
	case RateLimit, Backoff:
		r.checkTarget(p, at, f)
		r.require(f.Factor >= 0 && f.Factor <= maxMultiple, at+"factor", "want requests a second, or seconds, from 0 to %d", maxMultiple)
	case Draining:
		r.checkTarget(p, at, f)
	case ControlCut:
		r.require(p.Controls >= 3, at+"kind", "want at least 3 control instances")
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
