package session

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestReporterWithoutSource(t *testing.T) {
	r := reporter{links: 3}
	require.Nil(t, r.next(atSecond(0)))
}

// Guards against reports that exceed the network budget of control when operators create many classes and each poll of each
// link carries all of them. The interval must depend on the size of the report.
func TestReportsStayWithinBudget(t *testing.T) {
	for _, classes := range []int{1, 5, 200} {
		report := &wire.EntryReport{}
		for range classes {
			report.Classes = append(report.Classes, &wire.ClassReport{Name: strings.Repeat("n", 20), Good: 1 << 20})
		}
		const links, seconds = 3, 600
		r := reporter{source: func() *wire.EntryReport { return report }, links: links}
		sent := 0
		for second := range seconds {
			sent += proto.Size(r.next(atSecond(float64(second)))) * links
		}
		first := proto.Size(report) * links
		require.NotZero(t, sent)
		require.LessOrEqual(t, sent, first+reportBudget*seconds)
	}
}

func TestReportSentWithFirstPollThenByInterval(t *testing.T) {
	report := &wire.EntryReport{Classes: []*wire.ClassReport{{Name: "a"}}}
	r := reporter{source: func() *wire.EntryReport { return report }, links: 1}
	require.NotNil(t, r.next(atSecond(0)))
	require.Nil(t, r.next(atSecond(1)))
	require.NotNil(t, r.next(atSecond(0).Add(reportInterval)))
	require.Nil(t, r.next(atSecond(0).Add(reportInterval+time.Second)))
}
