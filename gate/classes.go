package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Constants of the class urgency.
const (
	maxUrgency     = 1000
	urgencyBands   = 5
	urgencyGain    = 0.1  // weight of one urgency report of an entry
	latenessGain   = 0.05 // weight of one ended attempt
	reportedWeight = 0.7  // weight of the urgency reported by entries, which know the targets; the rest is local lateness
	ampleSlack     = 2.0  // slack that counts as ample, in predicted run times
)

// classState estimates how close a class is to missing its targets, as seen by this gate. It applies to the class
// as a whole: by the slack of single requests, an organisation with a long backlog would always be the most urgent.
type classState struct {
	name            string
	reportedUrgency float64 // 0 to 1000, smoothed over the reports of all entries
	hasReport       bool
	lateness        float64 // share of late or refused attempts here, smoothed
	slack           float64 // least slack of the queue heads, in predicted run times
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

// updateBand derives the band from the observed values. Bands keep small differences in urgency from overriding
// equal shares.
func (c *classState) updateBand() {
	blended := reportedWeight*c.reportedUrgency + (1-reportedWeight)*c.lateness*maxUrgency
	slackUrgency := maxUrgency * min(max(1-c.slack/ampleSlack, 0), 1)
	c.band = min(int(max(blended, slackUrgency))*urgencyBands/maxUrgency, urgencyBands-1)
}

// updateBands sets the bands of a tier's classes from the heads of their queues.
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

// relativeSlack returns the time that an attempt can still wait, in units of its predicted run time.
func (g *Gate) relativeSlack(a *attempt) float64 {
	if a.deadline.IsZero() {
		return ampleSlack
	}
	predicted := max(g.predictRuntime(a.work), time.Millisecond)
	slack := a.deadline.Sub(g.now) - predicted
	return float64(slack) / float64(predicted)
}
