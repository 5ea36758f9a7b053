package capacity

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	if IsFarSide() {
		if err := ServeFarSide(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func TestFit(t *testing.T) {
	line := Fit([]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	assert.InDelta(t, 2, line.Slope, 1e-12)
	assert.InDelta(t, 3, line.Intercept, 1e-12)
	assert.InDelta(t, 0, line.Residual, 1e-12)
	assert.InDelta(t, 43, line.At(20), 1e-12)

	// Distances from the line y = 2 are 1, 1, 1 and 1.
	line = Fit([]Point{{0, 1}, {0, 3}, {1, 1}, {1, 3}})
	assert.InDelta(t, 0, line.Slope, 1e-12)
	assert.InDelta(t, 0.5, line.Residual, 1e-12)

	assert.True(t, math.IsNaN(Fit([]Point{{1, 1}}).Slope))
}

func TestNetworkCountsBothDirections(t *testing.T) {
	n := new(Network)
	listener, err := n.Listen(loopback)
	require.NoError(t, err)
	defer listener.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("hello"))
	}()
	conn, err := n.Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Read(make([]byte, 16))
	require.NoError(t, err)
	<-written // bytes count once the write has returned, which may be after they were read
	usage, err := n.Usage()
	require.NoError(t, err)
	assert.EqualValues(t, 5, usage.In)
	assert.EqualValues(t, 5, usage.Out)
}

func TestRate(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	earlier := Usage{At: start, CPU: time.Second, In: 10, Out: 20}
	later := Usage{At: start.Add(2 * time.Second), CPU: 2 * time.Second, In: 30, Out: 120}
	assert.Equal(t, Rate{Cores: 0.5, In: 10, Out: 50}, later.Since(earlier))
}

func TestFarSideAnswersInOrder(t *testing.T) {
	orders := strings.NewReader(`{"Do":"agents","Count":2}` + "\n" + `{"Do":"nonsense"}`)
	var replies strings.Builder
	require.NoError(t, ServeFarSide(orders, &replies))
	lines := strings.Split(strings.TrimSpace(replies.String()), "\n")
	require.Len(t, lines, 2)
	assert.Contains(t, lines[0], "127.0.0.1:")
	assert.Contains(t, lines[1], `unknown order \"nonsense\"`)
}

// The readings of the letter have the daemons that it names.
func TestSizes(t *testing.T) {
	assert.Equal(t, 390, Beside().Entries+Beside().Controls)
	assert.Equal(t, 1700, Beside().Agents)
	assert.Equal(t, 390, Total().Entries+Total().Controls+Total().Agents)
}
