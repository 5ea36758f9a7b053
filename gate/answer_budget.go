package gate

import "sync/atomic"

// AnswerBudget bounds the bytes of the answers that the gates of a process keep for resending, together. Half of it at most is for
// attempts that have ended: their entries have nearly always received what is kept of them. A nil AnswerBudget bounds nothing. It is
// safe for concurrent use.
type AnswerBudget struct {
	bytes int64
	used  atomic.Int64
}

// NewAnswerBudget returns a budget of the given number of bytes.
func NewAnswerBudget(bytes int64) *AnswerBudget { return &AnswerBudget{bytes: bytes} }

// Used returns the bytes that are kept, as far as the gates have counted them.
func (b *AnswerBudget) Used() int64 { return b.used.Load() }

// keepRoom reports whether there is room to keep further bytes of an answer. The answers of attempts that ended longest ago are
// given up for it.
func (g *Gate) keepRoom(bytes int) bool {
	b := g.config.Answers
	if b == nil {
		return true
	}
	if b.used.Add(int64(bytes)) > b.bytes {
		g.dropEndedAnswers()
		if b.used.Load() > b.bytes {
			b.used.Add(-int64(bytes))
			return false
		}
	}
	g.keptBytes += int64(bytes)
	return true
}

// dropEndedAnswers gives up answers of ended attempts, the oldest first, until these take half of the budget at most. An entry that
// asks for one again learns that the attempt completed, and not what it answered.
func (g *Gate) dropEndedAnswers() {
	b := g.config.Answers
	for ; g.answersDropped < len(g.retained) && b.used.Load() > b.bytes/2; g.answersDropped++ {
		k := g.retained[g.answersDropped]
		freed := int64(k.attempt.frames.heldBytes())
		k.attempt.frames.drop()
		g.keptBytes -= freed
		b.used.Add(-freed)
	}
}

// countAnswers corrects the count of what this gate keeps, since attempts end in many ways, and then gives up what is too much.
func (g *Gate) countAnswers() {
	b := g.config.Answers
	if b == nil {
		return
	}
	counted := make(map[*attempt]struct{}, len(g.held)+len(g.retained))
	total := int64(0)
	count := func(a *attempt) {
		if _, ok := counted[a]; !ok {
			counted[a] = struct{}{}
			total += int64(a.frames.heldBytes())
		}
	}
	for _, list := range [][]*attempt{g.held, g.runs, g.suspended} {
		for _, a := range list {
			count(a)
		}
	}
	for _, k := range g.retained {
		count(k.attempt)
	}
	b.used.Add(total - g.keptBytes)
	g.keptBytes = total
	g.dropEndedAnswers()
}

// ReleaseAnswers gives up all answers that are kept. The gate isn't used any more.
func (g *Gate) ReleaseAnswers() {
	if b := g.config.Answers; b != nil {
		b.used.Add(-g.keptBytes)
		g.keptBytes = 0
	}
}
