// Package linkset decides how many agents an entry keeps links to, by how many of its requests run at servers.
package linkset

import (
	"math"
	"time"
)

const (
	// Base is the number of agents of a model or service that an entry links to at usual load. Their servers have about
	// 120 slots, while an entry has about 30 requests in flight at twice the usual load.
	Base = 24
	// slotsPerRequest is the number of linked slots that an entry wants for each of its requests at a server: other entries
	// use the same slots. Requests that wait don't count. When the whole fleet is overloaded each entry has many, and links
	// to more agents would give none of them a slot.
	slotsPerRequest = 4
	// shrinkDelay is how long fewer links must suffice before some are given up. Opening a link costs as much processor
	// time as keeping it for some seconds.
	shrinkDelay = 15 * time.Second
)

// Demand holds how many agents an entry links to. Its zero value is at usual load.
type Demand struct {
	count     int // 0 for Base
	enoughFor time.Time
}

// Count returns how many agents of a model or service to link to.
func (d *Demand) Count() int { return max(d.count, Base) }

// Observe notes how many requests run at servers, and how many slots an agent has on average. It reports whether Count has
// changed. It grows at once, in steps of Base, and shrinks after a while.
func (d *Demand) Observe(now time.Time, requests int, slots float64) bool {
	links := slotsPerRequest * float64(requests) / max(slots, 1)
	want := max(int(math.Ceil(links/Base)), 1) * Base
	before := d.Count()
	switch {
	case want > before:
		d.count = want
	case 2*want > before:
		d.enoughFor = now
	case now.Sub(d.enoughFor) >= shrinkDelay:
		d.count = want
	}
	if d.Count() != before {
		d.enoughFor = now
	}
	return d.Count() != before
}
