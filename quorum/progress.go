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
	// lastHeardTick is the tick of the peer's latest message.
	lastHeardTick uint64
	// probePending is set between a probe and its answer.
	probePending bool
	// progressTick is the tick at which the oldest unacknowledged send, or the
	// snapshot, left.
	progressTick        uint64
	unacknowledged      []inflight
	unacknowledgedBytes int
	sentCommit          uint64
	snapshotIndex       uint64
	// readRound is the newest read round that the peer answered.
	readRound uint64
}

// startProbing goes back to the last known match.
func (p *peer) startProbing() {
	p.state = peerProbe
	p.next = p.match + 1
	p.probePending = false
	p.clearUnacknowledged()
}

func (p *peer) clearUnacknowledged() {
	p.unacknowledged = nil
	p.unacknowledgedBytes = 0
}

// recordAcknowledged takes up that the peer holds the log up to index.
func (p *peer) recordAcknowledged(index, now uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	for len(p.unacknowledged) > 0 && p.unacknowledged[0].last <= index {
		p.unacknowledgedBytes -= p.unacknowledged[0].bytes
		p.unacknowledged = p.unacknowledged[1:]
	}
	p.progressTick = now
	p.probePending = false
	if p.state == peerProbe || p.state == peerSnapshot && p.match >= p.snapshotIndex {
		p.state = peerReplicate
		p.next = p.match + 1
		p.clearUnacknowledged()
	}
}

// recordSent records a message with entries that was just sent.
func (p *peer) recordSent(entries []*quorumpb.Entry, now uint64) {
	if len(p.unacknowledged) == 0 {
		p.progressTick = now
	}
	size := 0
	for _, e := range entries {
		size += len(e.GetData())
	}
	last := entries[len(entries)-1].GetIndex()
	p.unacknowledged = append(p.unacknowledged, inflight{last: last, bytes: size})
	p.unacknowledgedBytes += size
	p.next = last + 1
}

func (p *peer) inflightFull(c *Config) bool {
	return len(p.unacknowledged) >= c.MaxInflight || p.unacknowledgedBytes >= c.MaxInflightBytes
}
