package link

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/carawaypitch/carawaypitch/wire"
)

// lane says which of the two streams carries a message.
type lane uint8

const (
	laneMessages lane = iota
	laneBulk
)

// BodyDigest is the digest of a dispatched body, xxhash64.
func BodyDigest(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// entryLane chooses the stream by size. Only a Dispatch has a body that can be long.
func entryLane(message *wire.EntryMessage) lane {
	if len(message.GetDispatch().GetBody()) > MaxShortMessage {
		return laneBulk
	}
	return laneMessages
}

// tooLarge tells whether a message can't be sent, since the peer would drop the connection on it.
func tooLarge(message *wire.EntryMessage) bool {
	if body := message.GetDispatch().GetBody(); len(body) > MaxShortMessage {
		return len(body) > MaxBody
	}
	return proto.Size(message) > MaxMessage
}

// withoutBody returns a copy of d that shares all fields but the body, which is empty.
func withoutBody(d *wire.Dispatch) *wire.Dispatch {
	header := new(wire.Dispatch)
	into := header.ProtoReflect()
	d.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Name() != "body" {
			into.Set(field, value)
		}
		return true
	})
	header.BodySize = uint64(len(d.GetBody()))
	return header
}

// splitDispatch calls send with the parts of a long Dispatch: first the Dispatch without its body, then the chunks.
// Other messages are passed on as they are.
func splitDispatch(message *wire.EntryMessage, send func(*wire.EntryMessage) error) error {
	d := message.GetDispatch()
	if len(d.GetBody()) <= MaxShortMessage {
		return send(message)
	}
	header := &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: withoutBody(d)}}
	if err := send(header); err != nil {
		return err
	}
	for offset := 0; offset < len(d.GetBody()); offset += MaxChunkBytes {
		end := min(offset+MaxChunkBytes, len(d.GetBody()))
		chunk := &wire.BodyChunk{
			Attempt: d.GetAttempt(),
			Server:  d.GetServer(),
			Offset:  uint64(offset),
			Data:    d.GetBody()[offset:end],
		}
		if err := send(&wire.EntryMessage{Kind: &wire.EntryMessage_Body{Body: chunk}}); err != nil {
			return err
		}
	}
	return nil
}

// agentLanes remembers which stream the frames of each attempt go on, until the attempt's Over. It isn't safe for
// use by several goroutines.
type agentLanes map[attemptKey]lane

type attemptKey struct {
	request string
	number  uint64
}

func keyOf(id *wire.AttemptID) attemptKey {
	return attemptKey{request: id.GetRequest(), number: id.GetNumber()}
}

// choose returns the stream for a message.
//
// Without the memory, a long frame and the short one after it would take different streams and could swap places,
// and an Over could come before the last frame of its attempt. The answer would then look incomplete.
func (l agentLanes) choose(message *wire.AgentMessage, size int) lane {
	switch kind := message.GetKind().(type) {
	case *wire.AgentMessage_Frame:
		return l.frame(keyOf(kind.Frame.GetAttempt()), size)
	case *wire.AgentMessage_Over:
		key := keyOf(kind.Over.GetAttempt())
		chosen := l[key]
		if kind.Over.GetProof() != wire.Proof_PROOF_UNPROVEN {
			delete(l, key)
		}
		return chosen
	default:
		return laneMessages
	}
}

func (l agentLanes) frame(key attemptKey, size int) lane {
	if chosen, ok := l[key]; ok {
		return chosen
	}
	chosen := laneMessages
	if size > MaxShortMessage {
		chosen = laneBulk
	}
	l[key] = chosen
	return chosen
}
