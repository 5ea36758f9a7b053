package link

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/carawaypitch/carawaypitch/wire"
)

// streamKind identifies one of the two streams of a link.
type streamKind uint8

const (
	messagesStream streamKind = iota
	bulkStream
)

// BodyDigest returns the digest of a dispatched body, an xxhash64.
func BodyDigest(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// entryMessageStream returns the stream for a message by its size. Only a Dispatch has a body that can be long.
func entryMessageStream(message *wire.EntryMessage) streamKind {
	if len(message.GetDispatch().GetBody()) > MaxShortMessage {
		return bulkStream
	}
	return messagesStream
}

// tooLarge reports whether a message cannot be sent, since the peer would close the connection on it.
func tooLarge(message *wire.EntryMessage) bool {
	if body := message.GetDispatch().GetBody(); len(body) > MaxShortMessage {
		return len(body) > MaxBody
	}
	return proto.Size(message) > MaxMessage
}

// withoutBody returns a copy of d that shares all fields except the body, which is empty.
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
// It passes other messages to send unchanged.
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

// streamChoices holds the stream of the frames of each attempt, until the attempt's Over. It is not safe for concurrent
// use.
type streamChoices map[attemptKey]streamKind

type attemptKey struct {
	request string
	number  uint64
}

func keyOf(id *wire.AttemptID) attemptKey {
	return attemptKey{request: id.GetRequest(), number: id.GetNumber()}
}

// choose returns the stream for a message.
//
// Without the stored choice, a long frame and a short one after it would take different streams and could be swapped, and
// an Over could arrive before the last frame of its attempt. The answer would then look incomplete.
func (l streamChoices) choose(message *wire.AgentMessage, size int) streamKind {
	switch kind := message.GetKind().(type) {
	case *wire.AgentMessage_Frame:
		return l.chooseForFrame(keyOf(kind.Frame.GetAttempt()), size)
	case *wire.AgentMessage_Over:
		key := keyOf(kind.Over.GetAttempt())
		chosen := l[key]
		if kind.Over.GetProof() != wire.Proof_PROOF_UNPROVEN {
			delete(l, key)
		}
		return chosen
	default:
		return messagesStream
	}
}

func (l streamChoices) chooseForFrame(key attemptKey, size int) streamKind {
	if chosen, ok := l[key]; ok {
		return chosen
	}
	chosen := messagesStream
	if size > MaxShortMessage {
		chosen = bulkStream
	}
	l[key] = chosen
	return chosen
}
