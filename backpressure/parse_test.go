package backpressure

import (
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testNames = Names{RateLimit: "Rate-Limit"}

func TestRates(t *testing.T) {
	for _, c := range []struct {
		text string
		want float64
		err  error
	}{
		{text: "2.8", want: 2.8},
		{text: " 1 ", want: 1},
		{text: "\t12.50", want: 12.5},
		{text: ".5", want: 0.5},
		{text: "1e2", want: 100},
		{text: "0", want: 0},
		{text: "0.0000000001", want: 1e-10},
		{text: "1e999", want: math.MaxFloat64},
		{text: "", err: errNoDecimal},
		{text: "-1", err: errNegative},
		{text: "-0", err: errNegative},
		{text: "-1e999", err: errNegative},
		{text: "NaN", err: errNoDecimal},
		{text: "+Inf", err: errNoDecimal},
		{text: "0x10", err: errNoDecimal},
		{text: "1_000", err: errNoDecimal},
		{text: "1 2", err: errNoDecimal},
		{text: "2,5", err: errNoDecimal},
		{text: "Thu, 01 Jan 1970 00:00:00 GMT", err: errNoDecimal},
	} {
		rate, err := ParseRate(c.text)
		if c.err != nil {
			require.ErrorIs(t, err, c.err, "%q", c.text)
			require.Zero(t, rate)
			continue
		}
		require.NoError(t, err, "%q", c.text)
		require.Equal(t, Rate{Limited: true, PerSecond: c.want}, rate, "%q", c.text)
	}
}

func TestLowestOfTwoRatesCounts(t *testing.T) {
	for _, values := range [][]string{{"5", "2"}, {"2", "5"}, {"2", "x"}, {"x", "2"}} {
		advice, _ := testNames.Read(http.Header{"Rate-Limit": values})
		require.Equal(t, Rate{Limited: true, PerSecond: 2}, advice.Rate, "%q", values)
	}
}

func TestMalformedRateIsReportedAndChangesNothing(t *testing.T) {
	advice, malformed := testNames.Read(http.Header{"Rate-Limit": {strings.Repeat("x", 1000)}})
	require.True(t, advice.IsZero())
	require.Len(t, malformed, 1)
	require.Len(t, malformed[0].Value, maxShown)
}

func TestAnswerWithoutHeadersSaysNothing(t *testing.T) {
	advice, malformed := testNames.Read(http.Header{"Content-Type": {"text/plain"}})
	require.True(t, advice.IsZero())
	require.Empty(t, malformed)
}

func FuzzRate(f *testing.F) {
	for _, text := range []string{"1", "0", "-1", "1e400", "NaN", " 2.5 ", "0x1p-2", "", "1,2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, err := ParseRate(text)
		if err != nil {
			assert.Zero(t, rate)
			return
		}
		assert.True(t, rate.Limited)
		assert.False(t, math.IsNaN(rate.PerSecond) || math.IsInf(rate.PerSecond, 0) || rate.PerSecond < 0)
	})
}
