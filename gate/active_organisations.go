package gate

import "time"

// organisationHold is how long an organisation counts as waiting after its last reservation left.
const organisationHold = 5 * time.Second

// activeOrganisations keeps the organisations of a tier registered as waiting for a while after their last
// reservation left.
//
// A request reserves at a few gates only, so a busy organisation often has nothing waiting at one of them for a
// moment. Start-time fair queueing treats that as idleness and raises the organisation's tag to that of the others,
// which forfeits the service it was owed. Organisations whose requests arrive at more entries would then get a
// larger share than others with the same demand.
type activeOrganisations struct {
	organisations []activeOrganisation // in order of registration
}

type activeOrganisation struct {
	name  string
	until time.Time
}

// touch registers that work of the organisation waited here until now.
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

// expire unregisters organisations that had nothing waiting for organisationHold.
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
