package gate

import "time"

// organisationHold is how long an organisation counts as waiting after its last reservation left.
const organisationHold = 5 * time.Second

// activeOrganisations keeps the organisations of a tier among the waiting ones for a while.
//
// A request reserves at a few gates only, so that at one gate an organisation with much to do often has nothing waiting
// for a moment. Start-time fair queueing takes that for idleness, and brings its tag up to the others': what it was
// denied here is never made good, and organisations with requests at more entries get more. One would notice by equal
// organisations whose shares differ by their entries.
type activeOrganisations struct {
	organisations []activeOrganisation // in order of first sight
}

type activeOrganisation struct {
	name  string
	until time.Time
}

// touch says that something of the organisation waited here until now.
func (p *activeOrganisations) touch(t *tierQueues, organisation string, now time.Time) {
	until := now.Add(organisationHold)
	for i := range p.organisations {
		if p.organisations[i].name == organisation {
			p.organisations[i].until = until
			return
		}
	}
	t.clock.Enter(organisation)
	p.organisations = append(p.organisations, activeOrganisation{organisation, until})
}

// expire lets the organisations go that had nothing waiting for presenceHold.
func (p *activeOrganisations) expire(t *tierQueues, now time.Time) {
	left := p.organisations[:0]
	for _, o := range p.organisations {
		if now.Before(o.until) {
			left = append(left, o)
			continue
		}
		t.clock.Leave(o.name)
	}
	p.organisations = left
}

func (g *Gate) expireOrganisations() {
	for _, t := range g.waiting.tiers {
		t.active.expire(t, g.now)
	}
}
