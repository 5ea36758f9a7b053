package gate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/carawaypitch/carawaypitch/wire"
)

// frameState tracks how much of its answer an attempt has forwarded.
type frameState struct {
	base   uint64 // offset of its first event, over all attempts of the request
	count  uint64 // events of this attempt
	bytes  uint64 // their total length
	digest *xxhash.Digest

	kept       [][]byte // for control, and for an entry that lost its link
	keptTokens []uint32 // tokens in each of kept, if known
	keptBytes  int
	dropped    bool // the events exceeded the bound and are not kept
}

func (f *frameState) begin(d *wire.Dispatch) {
	f.base = uint64(d.GetResumeFrom())
	f.digest = xxhash.New()
}

func (f *frameState) nextOffset() uint64 { return f.base + f.count }

// add counts events and keeps them as long as their size stays within the bound and there is room.
func (f *frameState) add(events [][]byte, tokens []uint32, bound int, hasRoom func(bytes int) bool) {
	for i, event := range events {
		f.count++
		f.bytes += uint64(len(event))
		_, _ = f.digest.Write(event) // never fails
		f.keep(event, tokens[min(i, len(tokens)):], bound, hasRoom)
	}
}

// keep keeps one event. Its token count is the first of tokens, if there is one.
func (f *frameState) keep(event []byte, tokens []uint32, bound int, hasRoom func(bytes int) bool) {
	if f.dropped {
		return
	}
	f.keptBytes += len(event)
	if f.keptBytes > bound || !hasRoom(len(event)) {
		f.dropped = true
		f.clearKept()
		return
	}
	f.kept = append(f.kept, event)
	if len(tokens) > 0 {
		f.keptTokens = append(f.keptTokens, tokens[0])
	}
}

// heldBytes returns the size of the events that are kept.
func (f *frameState) heldBytes() int {
	if f.dropped {
		return 0
	}
	return f.keptBytes
}

func (f *frameState) clearKept() {
	f.kept = nil
	f.keptTokens = nil
}

func (f *frameState) drop() {
	f.clearKept()
	f.dropped = true
}

// forward sends events to the entry. After a cancel they are of no use, except for a preempted attempt: it is
// continued on another server from the last event that the entry has.
func (g *Gate) forward(a *attempt, events [][]byte, tokens []uint32) {
	if len(events) == 0 {
		return
	}
	offset := a.frames.nextOffset()
	a.frames.add(events, tokens, g.maxKeptBytes(a), g.keepRoom)
	if a.state == cancelling && a.cancel.preemptorTier == 0 {
		return
	}
	g.sendFrame(a, offset, events, tokens)
}

func (g *Gate) maxKeptBytes(a *attempt) int {
	if a.dispatch.GetReportToControl() {
		return g.config.MaxAnswerBytes
	}
	return g.config.MaxResendBytes
}

func (g *Gate) sendFrame(a *attempt, offset uint64, events [][]byte, tokens []uint32) {
	g.send(a.owner.id, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: &wire.Frame{
		Attempt: a.id(),
		Offset:  offset,
		Events:  events,
		Tokens:  tokens,
	}}})
}

func (g *Gate) resendFrames(a *attempt) {
	if len(a.frames.kept) > 0 {
		g.sendFrame(a, a.frames.base, a.frames.kept, a.frames.keptTokens)
	}
}

// answerEnd returns the end of a completed answer.
func (a *attempt) answerEnd(e *EngineEnded) *wire.AnswerEnd {
	return &wire.AnswerEnd{
		Events:       a.frames.nextOffset(),
		Bytes:        a.frames.bytes,
		Digest:       a.frames.digest.Sum64(),
		Status:       uint32(max(e.Outcome.Status, 0)),
		ContentType:  e.ContentType,
		PromptTokens: uint32(max(e.Outcome.PromptTokens, 0)),
		CachedTokens: uint32(max(e.Outcome.CachedPromptTokens, 0)),
		OutputTokens: uint32(max(e.Outcome.Tokens, 0)),
	}
}
