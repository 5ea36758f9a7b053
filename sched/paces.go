package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// poolPaceInterval is how long the paces of a pool are kept. Computing them takes time for each server.
	poolPaceInterval = 250 * time.Millisecond
	// slowQuantile is the share of a pool's servers that count as its slow ones.
	slowQuantile = 0.25
	// loadedWindow is the time constant with which the decode rate under load approaches the rate of a server that has
	// become faster: with frequent reports, 63% of the difference are made up after one window and 95% after three. It
	// spans the waves of load during which a long answer runs.
	loadedWindow = time.Minute
	// paceTolerance is the ratio of two paces, or run times, up to which they count as equal: the learned pace of a server
	// varies with what runs there.
	paceTolerance = 1.25
)

// pace is how fast a server works.
type pace struct {
	decode  float64 // output tokens per second of one run
	prefill float64 // prompt tokens per second
	fixed   float64 // seconds that every prompt takes
}

// poolPaces summarises the paces of a pool's servers.
type poolPaces struct {
	at      time.Time
	median  pace // in each value
	loaded  pace // the same under load
	slow    pace // under load, of the server at slowQuantile by decode rate
	fastest pace // under load, of the server with the highest decode rate

	fastShare float64 // share of the fast servers in the decode rates of all, see isFast
}

// paceOf returns the pace of a server: the one that its gate has learned, or else the pool's median. A gate has learned none
// if the server or the agent has just started, and a report older than Options.MaxRoomAge doesn't count.
func (s *Scheduler) paceOf(p *pool, v *server) pace {
	if s.hasPace(v) {
		return v.pace()
	}
	return s.pacesOf(p).median
}

// loadedPaceOf is paceOf with the decode rate under load, for answers that must end in time at the server whatever else it
// gets meanwhile.
func (s *Scheduler) loadedPaceOf(p *pool, v *server) pace {
	if s.hasPace(v) {
		return v.loadedPace()
	}
	return s.pacesOf(p).loaded
}

func (s *Scheduler) hasPace(v *server) bool {
	return v.room.GetDecodeTokensPerS() > 0 && v.room.GetPrefillTokensPerS() > 0 && s.now.Sub(v.roomAt) <= s.options.MaxRoomAge
}

// pace returns the learned pace, corrected by what this entry has seen.
func (v *server) pace() pace {
	p, correction := v.reportedPace(), v.correction.value()
	return pace{decode: p.decode / correction, prefill: p.prefill / correction, fixed: p.fixed * correction}
}

// noteDecodeRate updates the decode rate under load by a report. A lower rate counts at once, a higher one is approached
// exponentially, see loadedWindow.
func (v *server) noteDecodeRate(now time.Time) {
	rate := float64(v.room.GetDecodeTokensPerS())
	if rate <= 0 {
		return
	}
	if v.loadedDecode > 0 && v.loadedDecode < rate {
		past := min(now.Sub(v.loadedAt).Seconds()/loadedWindow.Seconds(), 1)
		rate = v.loadedDecode + past*(rate-v.loadedDecode)
	}
	v.loadedDecode, v.loadedAt = rate, now
}

// forgetDecodeRate makes the next report alone decide the decode rate under load.
func (v *server) forgetDecodeRate() { v.loadedDecode = 0 }

// loadedPace is pace with the decode rate under load.
func (v *server) loadedPace() pace {
	p := v.pace()
	p.decode = min(p.decode, v.loadedDecode/v.correction.value())
	return p
}

// reportedPace returns the pace that the gate has learned.
func (v *server) reportedPace() pace {
	return pace{
		decode:  float64(v.room.GetDecodeTokensPerS()),
		prefill: float64(v.room.GetPrefillTokensPerS()),
		fixed:   float64(v.room.GetPrefillFixedMs()) / 1000,
	}
}

// pacesOf returns the paces of a pool, at most poolPaceInterval old.
func (s *Scheduler) pacesOf(p *pool) *poolPaces {
	if !p.paces.at.IsZero() && s.now.Sub(p.paces.at) < poolPaceInterval {
		return &p.paces
	}
	var known, loaded []pace
	for _, v := range p.servers {
		if v.ready && s.hasPace(v) {
			known = append(known, v.pace())
			loaded = append(loaded, v.loadedPace())
		}
	}
	p.paces = summarisePaces(known, loaded)
	p.paces.at = s.now
	return &p.paces
}

// forgetPaces makes pacesOf compute anew, after the pool's servers have changed. Otherwise a request could wait for a server
// that has just left.
func (p *pool) forgetPaces() { p.paces.at = time.Time{} }

func summarisePaces(known, loaded []pace) poolPaces {
	if len(known) == 0 {
		unknown := pace{decode: defaultDecodeRate, prefill: defaultPrefillRate}
		return poolPaces{median: unknown, loaded: unknown, slow: unknown, fastest: unknown}
	}
	p := poolPaces{median: medianPace(known), loaded: medianPace(loaded)}
	// medianPace has sorted them by decode rate.
	p.slow, p.fastest = loaded[int(slowQuantile*float64(len(loaded)-1))], loaded[len(loaded)-1]
	all, fast := 0.0, 0.0
	for _, v := range loaded {
		all += v.decode
		if v.decode > paceTolerance*p.slow.decode {
			fast += v.decode
		}
	}
	p.fastShare = fast / all
	return p
}

// medianPace returns the median of each value, and sorts the paces by decode rate.
func medianPace(paces []pace) pace {
	middle := func(value func(pace) float64) float64 {
		slices.SortFunc(paces, func(a, b pace) int { return cmp.Compare(value(a), value(b)) })
		return value(paces[len(paces)/2])
	}
	return pace{
		fixed:   middle(func(p pace) float64 { return p.fixed }),
		prefill: middle(func(p pace) float64 { return p.prefill }),
		decode:  middle(func(p pace) float64 { return p.decode }),
	}
}

// runTime returns how long a run takes at this pace.
func (p pace) runTime(prompt, output float64) time.Duration {
	return p.firstToken(prompt) + time.Duration(max(output, 1)/p.decode*float64(time.Second))
}

// firstToken returns how long a prompt takes until the first token.
func (p pace) firstToken(prompt float64) time.Duration {
	return time.Duration((p.fixed + max(prompt, 0)/p.prefill) * float64(time.Second))
}
