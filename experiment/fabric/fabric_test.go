package fabric

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func twoHosts() (f *Fabric, a, b *Host) {
	f = New(func(from, to string) time.Duration {
		if from != to {
			return time.Millisecond
		}
		return 0
	})
	return f, f.Host(f.NewIP(), "zone-1"), f.Host(f.NewIP(), "zone-2")
}

// connect returns both ends of a connection from a to b, and b's address.
func connect(t *testing.T, a, b *Host) (dialled, accepted net.Conn, address string) {
	t.Helper()
	listener, err := b.Listen("0.0.0.0:9100")
	require.NoError(t, err)
	address = listener.Addr().String()
	dialled, err = a.Dial(context.Background(), address)
	require.NoError(t, err)
	accepted, err = listener.Accept()
	require.NoError(t, err)
	return dialled, accepted, address
}

func TestBytesKeepTheirOrderBothWays(t *testing.T) {
	_, a, b := twoHosts()
	dialled, accepted, address := connect(t, a, b)
	assert.Equal(t, "10.0.0.3:9100", address)
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	for _, ends := range [][2]net.Conn{{dialled, accepted}, {accepted, dialled}} {
		go func() { _, _ = ends[0].Write(sent) }()
		got := make([]byte, len(sent))
		_, err := io.ReadFull(ends[1], got)
		require.NoError(t, err)
		assert.Equal(t, sent, got)
	}
}

func TestCloseComesAfterWhatWasSent(t *testing.T) {
	_, a, b := twoHosts()
	dialled, accepted, _ := connect(t, a, b)
	_, err := dialled.Write([]byte("last words"))
	require.NoError(t, err)
	require.NoError(t, dialled.Close())
	got, err := io.ReadAll(accepted)
	require.NoError(t, err)
	assert.Equal(t, "last words", string(got))
}

// Symptom: a dead instance still answers, or its successor can't be reached.
// Sequence: a host is killed with connections open; another host takes its address.
// Cause: connections, listeners or the address were left behind.
func TestKillLeavesNothing(t *testing.T) {
	f, a, b := twoHosts()
	dialled, accepted, address := connect(t, a, b)
	b.Kill()
	_, err := dialled.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = accepted.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = a.Dial(context.Background(), address)
	require.Error(t, err)
	_, err = b.Dial(context.Background(), address)
	require.Error(t, err)
	_, err = b.Listen("0.0.0.0:1")
	require.Error(t, err)
	connect(t, a, f.Host(b.ip, "zone-2"))
}

// Symptom: a host that is cut off loses bytes, so that a partition looks like a broken connection.
// Sequence: bytes are written while the host is cut off; the cut heals.
// Cause: they were dropped instead of held back, as TCP's retransmission does.
func TestCutHoldsBytesBack(t *testing.T) {
	_, a, b := twoHosts()
	dialled, accepted, address := connect(t, a, b)
	b.Cut()
	_, err := dialled.Write([]byte("held"))
	require.NoError(t, err)
	impatient, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = a.Dial(impatient, address)
	require.Error(t, err)
	b.Heal()
	got := make([]byte, 4)
	_, err = io.ReadFull(accepted, got)
	require.NoError(t, err)
	assert.Equal(t, "held", string(got))
}

// Guards against a partition that cuts a host off from all others instead of one, or that loses bytes.
func TestPartHoldsBytesBackBetweenTwoHosts(t *testing.T) {
	f, a, b := twoHosts()
	c := f.Host(f.NewIP(), "zone-1")
	dialled, accepted, address := connect(t, a, b)
	f.Part(b.ip, a.ip)
	f.Part(a.ip, b.ip)
	_, err := dialled.Write([]byte("held"))
	require.NoError(t, err)
	impatient, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = a.Dial(impatient, address)
	require.Error(t, err)
	other, err := c.Dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, other.Close())
	f.Join(a.ip, b.ip)
	got := make([]byte, 4)
	_, err = io.ReadFull(accepted, got)
	require.NoError(t, err)
	assert.Equal(t, "held", string(got))
	f.Join(a.ip, b.ip)
}
