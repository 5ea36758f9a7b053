package sched

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/demand"
	"github.com/carawaypitch/carawaypitch/wire"
)

// simControl is the control instance of a simulated load: it adds up the reports of the entries and answers each.
type simControl struct {
	ledger   *demand.Ledger
	sequence uint64
	// shares are the cumulated shares of the callers that entries get.
	shares []float64
	// bytes and messages of the reports and answers.
	reportBytes, answerBytes, messages int
}

// Parameters of the simulated exchange with control.
const (
	simReportInterval = 500 * time.Millisecond
	// simAnswerDelay is the time from a report to the arrival of its answer.
	simAnswerDelay = 30 * time.Millisecond
	// unevenExponent gives the first of eight entries four times the share of the last.
	unevenExponent = 0.7
)

// drawEntry draws the entry that a caller reaches.
func (m *simulation) drawEntry(random *rand.Rand) int {
	if m.load.skew > 0 && m.inBurst(m.now) && random.Float64() < m.load.skew {
		return 0
	}
	if !m.load.uneven {
		return random.IntN(m.load.entries)
	}
	if m.control.shares == nil {
		total := 0.0
		for i := range m.load.entries {
			total += math.Pow(float64(i+1), -unevenExponent)
			m.control.shares = append(m.control.shares, total)
		}
	}
	at := random.Float64() * m.control.shares[m.load.entries-1]
	i, _ := slices.BinarySearch(m.control.shares, at)
	return min(i, m.load.entries-1)
}

// exchangeDemand lets each entry report every simReportInterval, the entries spread over it.
func (m *simulation) exchangeDemand() {
	if !m.load.fleet {
		return
	}
	if m.control.ledger == nil {
		m.control.ledger = demand.NewLedger()
	}
	elapsed := m.now.Sub(m.start)
	if lost := m.load.controlLostAt; lost > 0 && elapsed >= lost {
		return
	}
	for i := range m.entries {
		offset := time.Duration(i) * simReportInterval / time.Duration(len(m.entries)) / simStep * simStep
		if (elapsed-offset)%simReportInterval != 0 || elapsed < offset {
			continue
		}
		m.control.sequence++
		report := &wire.DemandReport{Sequence: m.control.sequence, Pools: m.entries[i].DemandReport()}
		from := demand.Incarnation{Instance: m.entryName(i), Number: 1}
		sent := m.now
		m.control.ledger.Record(from, report, m.now)
		summary := m.control.ledger.Summary(from, len(m.entries)-1, m.now)
		m.control.reportBytes += proto.Size(report)
		m.control.answerBytes += proto.Size(summary)
		m.control.messages++
		m.after(simAnswerDelay, func() { m.send(i, FleetDemand{Summary: summary, At: sent}) })
	}
}

func (m *simulation) entryName(i int) string {
	return "entry-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
}
