package capacity

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxUnderWay bounds the calls of a pacer that are under way; what is due beyond it counts as failed.
const maxUnderWay = 4096

// pacer makes calls at a constant rate, without waiting for the earlier ones.
type pacer struct {
	interval time.Duration
	count    int

	underWay, good, bad atomic.Int64
}

// newPacer makes a pacer for a rate a second and a time in seconds.
func newPacer(rate, seconds float64) *pacer {
	return &pacer{interval: time.Duration(float64(time.Second) / rate), count: int(rate * seconds)}
}

// each makes all calls and waits for their ends. A call tells whether it went well.
func (p *pacer) each(call func(n int) bool) {
	var wg sync.WaitGroup
	start := time.Now()
	for n := range p.count {
		time.Sleep(time.Until(start.Add(time.Duration(n) * p.interval)))
		if p.underWay.Load() >= maxUnderWay {
			p.bad.Add(1)
			continue
		}
		p.underWay.Add(1)
		wg.Go(func() {
			defer p.underWay.Add(-1)
			if call(n) {
				p.good.Add(1)
			} else {
				p.bad.Add(1)
			}
		})
	}
	wg.Wait()
}

func (p *pacer) done() int   { return int(p.good.Load()) }
func (p *pacer) failed() int { return int(p.bad.Load()) }
