package quorum

import "github.com/carawaypitch/carawaypitch/quorum/quorumpb"

// peerState says how a leader sends to a peer.
type peerState uint8

const (
	// peerProbe sends one message at a time until the peer's log is known to
	// match.
	peerProbe peerState = iota
	// peerReplicate sends ahead of the acknowledgements, up to the bounds.
	peerReplicate
	// peerSnapshot sends nothing until the peer reports the snapshot.
	peerSnapshot
)

// inflight is a sent message that is not acknowledged.
type inflight struct {
	last  uint64
	bytes int
}

// peer is what a leader knows of another replica.
type peer struct {
	id    ID
	state peerState
	// match is the highest index known to be on the peer's disk, next the
	// first one to send.
	match, next uint64
	// heard is the tick of the peer's latest message.
	heard uint64
	// waiting is set between a probe and its answer.
	waiting bool
	// sentAt is the tick at which the oldest unacknowledged send, or the
	// snapshot, left.
	sentAt        uint64
	sent          []inflight
	sentBytes     int
	sentCommit    uint64
	snapshotIndex uint64
	// readRound is the newest read round that the peer answered.
	readRound uint64
}

// probe goes back to the last known match.
func (p *peer) probe() {
	p.state = peerProbe
	p.next = p.match + 1
	p.waiting = false
	p.clearSent()
}

func (p *peer) clearSent() {
	p.sent = nil
	p.sentBytes = 0
}

// acknowledge takes up that the peer holds the log up to index.
func (p *peer) acknowledge(index, now uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	for len(p.sent) > 0 && p.sent[0].last <= index {
		p.sentBytes -= p.sent[0].bytes
		p.sent = p.sent[1:]
	}
	p.sentAt = now
	p.waiting = false
	if p.state == peerProbe || p.state == peerSnapshot && p.match >= p.snapshotIndex {
		p.state = peerReplicate
		p.next = p.match + 1
		p.clearSent()
	}
}

// track records a message with entries that was just sent.
func (p *peer) track(entries []*quorumpb.Entry, now uint64) {
	if len(p.sent) == 0 {
		p.sentAt = now
	}
	size := 0
	for _, e := range entries {
		size += len(e.GetData())
	}
	last := entries[len(entries)-1].GetIndex()
	p.sent = append(p.sent, inflight{last: last, bytes: size})
	p.sentBytes += size
	p.next = last + 1
}

func (p *peer) full(c *Config) bool {
	return len(p.sent) >= c.MaxInflight || p.sentBytes >= c.MaxInflightBytes
}
