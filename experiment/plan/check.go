package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/settings"
)

// Bounds that keep a run finite.
const (
	maxRunLength   = 30 * time.Minute
	maxInstances   = 200
	maxRequests    = 2_000_000
	maxTokens      = 1 << 16
	maxMultiple    = 100
	cacheBlock     = 16 // tokens of a block of the stand-ins' prefix cache
	defaultMaxLate = 20 * time.Millisecond
	defaultWindow  = 30 * time.Second
)

// policies that the scheduler knows.
var policies = []string{"targets", "round_robin", "least_load", "random_fifo"}

func (p *Plan) setDefaults() {
	if p.MaxLateness == 0 {
		p.MaxLateness = Duration(defaultMaxLate)
	}
	if p.ShareWindow == 0 {
		p.ShareWindow = Duration(defaultWindow)
	}
	if p.MaxRequests == 0 {
		p.MaxRequests = maxRequests
	}
	if p.Controls == 0 {
		p.Controls = 1
	}
	p.Goals.setDefaults()
}

func (g *Goals) setDefaults() {
	defaults := Goals{FirstTierGood: 0.995, OfBound: 0.9, Wasted: 0.02, WastedOfBest: 0.1, Spread: 0.03}
	orDefault(&g.FirstTierGood, defaults.FirstTierGood)
	orDefault(&g.OfBound, defaults.OfBound)
	orDefault(&g.Wasted, defaults.Wasted)
	orDefault(&g.WastedOfBest, defaults.WastedOfBest)
	orDefault(&g.Spread, defaults.Spread)
}

func orDefault(value *float64, otherwise float64) {
	if *value == 0 {
		*value = otherwise
	}
}

func (r *reader) require(ok bool, path, format string, args ...any) {
	if !ok {
		r.add(path, format, args...)
	}
}

// check collects what decoding alone can't see.
func (r *reader) check(p *Plan) {
	r.require(p.Name != "", "name", "want a name")
	r.checkTimes(p)
	r.require(len(p.Zones) > 0, "zones", "want at least one availability zone")
	r.require(p.Controls >= 1 && p.Controls <= 7, "controls", "want 1 to 7")
	r.checkDelay("delays.within_zone", p.Delays.WithinZone)
	r.checkDelay("delays.between_zones", p.Delays.BetweenZones)
	r.checkDelay("delays.clients", p.Delays.Clients)
	r.require(len(p.Entries) >= 1 && len(p.Entries) <= maxInstances, "entries", "want 1 to %d", maxInstances)
	for i, e := range p.Entries {
		r.require(slices.Contains(p.Zones, e.Zone), fmt.Sprintf("entries[%d].zone", i), "no availability zone %q", e.Zone)
	}
	r.checkServers(p)
	r.checkClasses(p)
	r.checkOrganisations(p)
	r.checkMix(p)
	r.require(p.Retries.Ratio >= 0 && p.Retries.Allowance >= 0 && p.Retries.Window >= 0, "retries", "must not be negative")
	r.checkScenarios(p)
	r.checkPolicies(p)
}

func (r *reader) checkTimes(p *Plan) {
	r.require(p.Measured > 0, "measured", "want a time above zero")
	r.require(p.WarmUp >= 0, "warm_up", "must not be negative")
	r.require(p.CoolDown >= 0, "cool_down", "must not be negative")
	r.require(p.Drain >= 0, "drain", "must not be negative")
	r.require(p.Length()+p.Drain.Std() <= maxRunLength, "measured", "a run may last %s at most", maxRunLength)
	r.require(p.MaxLateness > 0, "max_lateness", "want a time above zero")
	r.require(p.ShareWindow > 0, "share_window", "want a time above zero")
	r.require(p.MaxRequests > 0 && p.MaxRequests <= maxRequests, "max_requests", "want 1 to %d", maxRequests)
}

func (r *reader) checkDelay(path string, d Duration) {
	r.require(d >= 0 && d <= Duration(time.Second), path, "want 0s to 1s")
}

func (r *reader) checkServers(p *Plan) {
	names := map[string]bool{}
	total := 0
	for i, s := range p.Servers {
		at := fmt.Sprintf("servers[%d].", i)
		total += s.Count
		r.require(s.Name != "" && !names[s.Name], at+"name", "want a name that no other servers have")
		names[s.Name] = true
		r.require(s.Count >= 1, at+"count", "want at least 1")
		r.require(s.Serves != "", at+"serves", "want a model or service")
		r.require(s.Slots >= 1, at+"slots", "want at least 1")
		r.require(isShare(s.CacheGap), at+"cache_gap", "want a share from 0 to 1")
		r.require(isShare(s.ServiceJitter), at+"service_jitter", "want a share from 0 to 1")
		r.require(s.LoadLag >= 0 && s.CacheLag >= 0, at+"load_lag", "must not be negative")
		switch s.Kind {
		case settings.KindModel:
			r.require(s.PrefillTokensPerS > 0, at+"prefill_tokens_per_s", "want a rate above zero")
			r.require(s.DecodePace > 0 && s.DecodeSlope >= 0, at+"decode_pace", "want a time above zero")
		case settings.KindService:
			r.require(s.ServiceTime > 0, at+"service_time", "want a time above zero")
		default:
			r.add(at+"kind", "want %q or %q", settings.KindModel, settings.KindService)
		}
	}
	r.require(total >= 1 && total <= maxInstances, "servers", "want 1 to %d backend servers", maxInstances)
}

func isShare(v float64) bool { return v >= 0 && v <= 1 }

func (r *reader) checkClasses(p *Plan) {
	names := map[string]bool{}
	for i, c := range p.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		r.require(c.Name != "" && !names[c.Name], at+"name", "want a name that no other class has")
		names[c.Name] = true
		r.require(c.Tier >= settings.HighestTier && c.Tier <= settings.LowestTier, at+"tier", "want 1 to 3")
		r.require(c.DeadlineMS > 0, at+"deadline_ms", "want a time above zero")
		r.require(isShare(c.LateMax), at+"late_max", "want a share from 0 to 1")
		r.require(isShare(c.LostMax), at+"lost_max", "want a share from 0 to 1")
		r.require(c.Kind == settings.KindModel || c.Kind == settings.KindService, at+"kind", "want %q or %q",
			settings.KindModel, settings.KindService)
	}
}

func (r *reader) checkOrganisations(p *Plan) {
	r.require(len(p.Organisations) > 0, "organisations", "want at least one")
	names := map[string]bool{}
	for i, o := range p.Organisations {
		at := fmt.Sprintf("organisations[%d].", i)
		r.require(o.Name != "" && !names[o.Name], at+"name", "want a name that no other organisation has")
		names[o.Name] = true
		r.require(o.Demand > 0, at+"demand", "want a demand above zero")
		r.require(len(o.Entries) > 0, at+"entries", "want at least one entry")
		for _, e := range o.Entries {
			r.require(e >= 1 && e <= len(p.Entries), at+"entries", "no entry %d: want 1 to %d", e, len(p.Entries))
		}
	}
}

func (r *reader) checkMix(p *Plan) {
	r.require(len(p.Mix) > 0, "mix", "want at least one kind of request")
	for i, w := range p.Mix {
		at := fmt.Sprintf("mix[%d].", i)
		class := p.Class(w.Class)
		if class == nil {
			r.add(at+"class", "no class %q", w.Class)
			continue
		}
		r.checkPath(p, at+"path", w, class)
		r.require(w.Share > 0, at+"share", "want a share above zero")
		r.checkRange(at+"prompt_tokens", w.PromptTokens)
		if class.Kind == settings.KindModel {
			r.checkRange(at+"output_tokens", w.OutputTokens)
		}
		r.require(w.Prefixes >= 0 && w.PrefixTokens >= 0, at+"prefixes", "must not be negative")
		r.require(w.PrefixTokens <= w.PromptTokens.Min, at+"prefix_tokens", "longer than the shortest prompt")
		r.require(w.PrefixTokens%cacheBlock == 0, at+"prefix_tokens", "want a multiple of %d, the engines' cache block", cacheBlock)
		r.require(isShare(w.Streaming), at+"streaming", "want a share from 0 to 1")
		r.require(isShare(w.Keyed), at+"keyed", "want a share from 0 to 1")
		r.require(class.Repeatable || w.Keyed == 1, at+"keyed", "want 1: class %q may not be repeated", w.Class)
	}
}

func (r *reader) checkRange(path string, v Range) {
	r.require(v.Min >= 1 && v.Max >= v.Min && v.Max <= maxTokens, path, "want 1 <= min <= max <= %d", maxTokens)
}

func (r *reader) checkPath(p *Plan, path string, w Work, class *settings.Class) {
	kind, _ := Target(w.Path)
	r.require(kind != "", path, "want /v1/chat/completions, /v1/completions or /v1/services/{service}/{path}")
	if kind == "" {
		return
	}
	r.require(kind == class.Kind, path, "class %q is for %s calls", class.Name, class.Kind)
	r.require(len(p.PoolOf(w)) > 0, path, "no backend servers for it")
}

// servicePath begins the path of a service call.
const servicePath = "/v1/services/"

// Target returns the kind of a path, "" if it is none, and the service.
func Target(path string) (kind, service string) {
	if path == "/v1/chat/completions" || path == "/v1/completions" {
		return settings.KindModel, ""
	}
	rest, isService := strings.CutPrefix(path, servicePath)
	service, _, found := strings.Cut(rest, "/")
	if !isService || !found || service == "" {
		return "", ""
	}
	return settings.KindService, service
}

// PoolOf returns the numbers in p.Servers of those that can do the work.
func (p *Plan) PoolOf(w Work) []int {
	kind, service := Target(w.Path)
	var pool []int
	for i, s := range p.Servers {
		if s.Kind == kind && (kind == settings.KindModel || s.Serves == service) {
			pool = append(pool, i)
		}
	}
	return pool
}

func (r *reader) checkPolicies(p *Plan) {
	r.require(len(p.Policies) > 0, "policies", "want at least one")
	for i, policy := range p.Policies {
		at := fmt.Sprintf("policies[%d].", i)
		r.require(slices.Contains(policies, policy.Policy), at+"policy", "want one of %s", strings.Join(policies, ", "))
		r.require(policy.MaxOutstanding >= 0, at+"max_outstanding", "must not be negative")
		for _, tried := range policy.Tried {
			r.require(tried > 0, at+"tried", "want numbers above zero")
		}
	}
	if p.TuneScenario != "" {
		r.require(p.Scenario(p.TuneScenario) != nil, "tune_scenario", "no scenario %q", p.TuneScenario)
	}
}
