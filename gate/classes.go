package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Blending of urgency.
const (
	maxUrgency     = 1000
	urgencyBands   = 5
	urgencyGain    = 0.1  // weight of one more report of the entries
	latenessGain   = 0.05 // weight of one more ended attempt
	reportedWeight = 0.7  // of the entries' view, which knows the targets, against the gate's own
	ampleSlack     = 2.0  // slack of so many predicted run times counts as ample
)

// classState is how near a class is to breaking its targets, as seen here. It holds for the class as a whole: were
// it the single request's slack, an organisation with a long backlog would always look the most urgent.
type classState struct {
	name            string
	reportedUrgency float64 // 0..1000, smoothed over what all entries say
	hasReport       bool
	lateness        float64 // share of late or refused attempts here, smoothed
	slack           float64 // least slack of the heads, in predicted run times
	band            int
}

func (c *classState) observe(w *wire.Work) {
	value := float64(min(w.GetUrgency(), maxUrgency))
	if !c.hasReport {
		c.hasReport = true
		c.reportedUrgency = value
		return
	}
	c.reportedUrgency += urgencyGain * (value - c.reportedUrgency)
}

func (c *classState) recordLateness(late bool) {
	value := 0.0
	if late {
		value = 1
	}
	c.lateness += latenessGain * (value - c.lateness)
}

// updateBand sets the band from what was observed. Bands keep small differences from overruling equal shares.
func (c *classState) updateBand() {
	blended := reportedWeight*c.reportedUrgency + (1-reportedWeight)*c.lateness*maxUrgency
	slackUrgency := maxUrgency * min(max(1-c.slack/ampleSlack, 0), 1)
	c.band = min(int(max(blended, slackUrgency))*urgencyBands/maxUrgency, urgencyBands-1)
}

// updateBands sets the bands of a tier's classes by the heads that wait.
func (g *Gate) updateBands(t *tierQueues) {
	for _, q := range t.queues {
		q.class.slack = ampleSlack
	}
	for _, q := range t.queues {
		if len(q.timely) > 0 {
			q.class.slack = min(q.class.slack, g.relativeSlack(q.timely[0]))
		}
	}
	for _, q := range t.queues {
		q.class.updateBand()
	}
}

// relativeSlack is the time that an attempt can still wait, in units of its predicted run time.
func (g *Gate) relativeSlack(a *attempt) float64 {
	if a.deadline.IsZero() {
		return ampleSlack
	}
	predicted := max(g.predictRuntime(a.work), time.Millisecond)
	slack := a.deadline.Sub(g.now) - predicted
	return float64(slack) / float64(predicted)
}
