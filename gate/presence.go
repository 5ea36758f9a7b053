package gate

import "time"

// presenceHold is how long an organisation counts as waiting after its last reservation left.
const presenceHold = 5 * time.Second

// presence keeps the organisations of a tier among the waiting ones for a while.
//
// A request reserves at a few gates only, so that at one gate an organisation with much to do often has nothing waiting
// for a moment. Start-time fair queueing takes that for idleness, and brings its tag up to the others': what it was
// denied here is never made good, and organisations with requests at more entries get more. One would notice by equal
// organisations whose shares differ by their entries.
type presence struct {
	organisations []present // in order of first sight
}

type present struct {
	name  string
	until time.Time
}

// note says that something of the organisation waited here until now.
func (p *presence) note(t *tierQueues, organisation string, now time.Time) {
	until := now.Add(presenceHold)
	for i := range p.organisations {
		if p.organisations[i].name == organisation {
			p.organisations[i].until = until
			return
		}
	}
	t.clock.Enter(organisation)
	p.organisations = append(p.organisations, present{organisation, until})
}

// expire lets the organisations go that had nothing waiting for presenceHold.
func (p *presence) expire(t *tierQueues, now time.Time) {
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

func (g *Gate) expirePresence() {
	for _, t := range g.waiting.tiers {
		t.present.expire(t, g.now)
	}
}
