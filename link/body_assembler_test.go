package link

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// splitParts splits a dispatch as a link does.
func splitParts(t testing.TB, m *wire.EntryMessage) []*wire.EntryMessage {
	t.Helper()
	var all []*wire.EntryMessage
	err := splitDispatch(m, func(part *wire.EntryMessage) error {
		all = append(all, part)
		return nil
	})
	require.NoError(t, err)
	return all
}

func addPart(b *BodyAssembler, m *wire.EntryMessage) (*wire.Dispatch, error) {
	if d := m.GetDispatch(); d != nil {
		return b.AddDispatch(d)
	}
	return b.AddChunk(m.GetBody())
}

func TestInterleavedBodiesAreAssembled(t *testing.T) {
	first, second := newDispatch("r1", 100_000), newDispatch("r2", 50_000)
	p1, p2 := splitParts(t, first), splitParts(t, second)
	b := NewBodyAssembler()
	complete := map[string]*wire.Dispatch{}
	for i := range max(len(p1), len(p2)) {
		for _, p := range [][]*wire.EntryMessage{p1, p2} {
			if i >= len(p) {
				continue
			}
			d, err := addPart(b, p[i])
			require.NoError(t, err)
			if d != nil {
				complete[d.GetAttempt().GetRequest()] = d
			}
		}
	}
	require.Equal(t, first.GetDispatch().GetBody(), complete["r1"].GetBody())
	require.Equal(t, second.GetDispatch().GetBody(), complete["r2"].GetBody())
	require.Zero(t, b.Pending())
	require.Zero(t, b.bytes)
}

// Guards against a damaged body that reaches an engine, and against a body larger than the memory limit that stops the
// agent. Each case is a part that does not fit the parts before it.
func TestBodyAssemblerRefusesInvalidParts(t *testing.T) {
	chunk := func(m *wire.EntryMessage, change func(*wire.BodyChunk)) { change(m.GetBody()) }
	cases := map[string]struct {
		change func(p []*wire.EntryMessage)
		code   result.Code
	}{
		"chunk missing":  {func(p []*wire.EntryMessage) { p[1] = p[2] }, result.BadMessage},
		"chunk twice":    {func(p []*wire.EntryMessage) { p[2] = p[1] }, result.BadMessage},
		"dispatch twice": {func(p []*wire.EntryMessage) { p[1] = p[0] }, result.BadMessage},
		"empty chunk":    {func(p []*wire.EntryMessage) { chunk(p[1], func(c *wire.BodyChunk) { c.Data = nil }) }, result.BadMessage},
		"too many bytes": {func(p []*wire.EntryMessage) { p[0].GetDispatch().BodySize -= 90_000 }, result.BadMessage},
		"changed byte": {func(p []*wire.EntryMessage) {
			chunk(p[2], func(c *wire.BodyChunk) { c.Data = bytes.Clone(c.Data); c.Data[0]++ })
		}, result.BadMessage},
		"announced 16 MiB": {func(p []*wire.EntryMessage) { p[0].GetDispatch().BodySize = MaxBody + 1 }, result.BodyTooLarge},
		"short body":       {func(p []*wire.EntryMessage) { p[0].GetDispatch().Body = []byte("x") }, result.BadMessage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBodyAssembler()
			p := splitParts(t, newDispatch("r1", 100_000))
			c.change(p)
			var failure error
			for _, m := range p {
				d, err := addPart(b, m)
				require.Nil(t, d)
				if err != nil {
					failure = err
					break
				}
			}
			require.Equal(t, c.code, result.CodeOf(failure))
			m, ok := asCancel(failure)
			require.True(t, ok)
			require.Equal(t, "r1", m.GetCancel().GetAttempt().GetRequest())
		})
	}
}

func TestPendingBodiesAreBounded(t *testing.T) {
	b := NewBodyAssembler()
	refused := 0
	for i := range 2 * MaxPendingBodies / MaxBody {
		d := &wire.Dispatch{Attempt: &wire.AttemptID{Request: "r", Number: uint64(i)}, BodySize: MaxBody}
		if _, err := b.AddDispatch(d); err != nil {
			require.Equal(t, result.RingFull, result.CodeOf(err))
			refused++
		}
	}
	require.Equal(t, MaxPendingBodies/MaxBody, refused)
	b.Cancel(&wire.AttemptID{Request: "r", Number: 1})
	require.Equal(t, MaxPendingBodies/MaxBody-2, b.Pending())
}

// FuzzBodies adds parts in any order and size, and requires that a complete body equals the body that was sent.
func FuzzBodies(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, uint32(90_000), uint32(0))
	f.Add([]byte{0, 0, 1, 1, 3, 2}, uint32(70_000), uint32(1))
	f.Add([]byte{1, 0, 255, 1, 2}, uint32(40_000), uint32(33))
	f.Fuzz(func(t *testing.T, order []byte, size, cut uint32) {
		size %= 200_000
		b := NewBodyAssembler()
		sent := newDispatch("r1", int(size))
		all := splitParts(t, sent)
		for _, at := range order {
			m := all[int(at)%len(all)]
			if c := m.GetBody(); c != nil && cut > 0 && at > 200 {
				m = &wire.EntryMessage{Kind: &wire.EntryMessage_Body{Body: &wire.BodyChunk{
					Attempt: c.GetAttempt(), Offset: c.GetOffset(), Data: c.GetData()[:min(int(cut), len(c.GetData()))],
				}}}
			}
			if at == 255 {
				b.Cancel(sent.GetDispatch().GetAttempt())
			}
			if d := m.GetDispatch(); d != nil {
				m = &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: withBody(d)}}
			}
			d, err := addPart(b, m)
			require.False(t, d != nil && err != nil)
			if d != nil {
				require.True(t, bytes.Equal(sent.GetDispatch().GetBody(), d.GetBody()))
			}
			require.LessOrEqual(t, b.Pending(), 1)
		}
		b.Cancel(sent.GetDispatch().GetAttempt())
		require.Zero(t, b.bytes)
	})
}

// withBody returns a copy, since BodyAssembler sets the body of the Dispatch it is given.
func withBody(d *wire.Dispatch) *wire.Dispatch {
	c := withoutBody(d)
	c.Body = d.GetBody()
	c.BodySize = d.GetBodySize()
	return c
}
