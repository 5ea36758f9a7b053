package quorum

import "github.com/carawaypitch/carawaypitch/quorum/quorumpb"

// peerState is the mode in which a leader sends to a peer.
type peerState uint8

const (
	// peerProbe sends one message at a time until a position is known at which
	// the peer's log matches.
	peerProbe peerState = iota
	// peerReplicate sends without waiting for acknowledgements, within
	// Config.MaxInflight and Config.MaxInflightBytes.
	peerReplicate
	// peerSnapshot sends no entries until the peer has acknowledged the
	// snapshot or the transfer is retried.
	peerSnapshot
)

// inflight is a sent message with entries that is not acknowledged yet.
type inflight struct {
	last  uint64
	bytes int
}

// peer is a leader's state for another replica.
type peer struct {
	id    ID
	state peerState
	// match is the highest index known to be on the peer's disk, next is the
	// index of the next entry to send.
	match, next uint64
	// lastHeardTick is the tick of the last message from the peer.
	lastHeardTick uint64
	// probePending is true between sending a probe and its reply.
	probePending bool
	// progressTick is the tick of the last acknowledgement or, if later, of the
	// send that started the unacknowledged messages or the snapshot.
	progressTick        uint64
	unacknowledged      []inflight
	unacknowledgedBytes int
	sentCommit          uint64
	snapshotIndex       uint64
	// readRound is the newest read round that the peer has confirmed.
	readRound uint64
}

// startProbing sends again from the last known match, one message at a time.
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

// recordAcknowledged records that the peer has the log up to index on disk.
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

// inflightFull reports whether the limits of unacknowledged messages to p are
// reached.
func (p *peer) inflightFull(c *Config) bool {
	return len(p.unacknowledged) >= c.MaxInflight || p.unacknowledgedBytes >= c.MaxInflightBytes
}
