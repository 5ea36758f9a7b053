package report

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
)

// reported are the beginnings of the names of the metrics that a report holds.
var reported = []string{
	"carawaypitch_refusals_total", "carawaypitch_retries_total", "carawaypitch_goodput_total", "carawaypitch_late_total",
	"carawaypitch_lost_total", "carawaypitch_wasted_prefill_tokens_total", "carawaypitch_served_tokens_total",
	"carawaypitch_preemptions_total", "carawaypitch_chart_errors_total", "carawaypitch_ring_refused_total",
	"carawaypitch_links_lost_total", "carawaypitch_link_dropped_total",
}

// SumMetrics sums the reported counters over the texts of several /metrics, sorted by name. Lines that can't be read
// are left out.
func SumMetrics(texts [][]byte) []Metric {
	sums := map[string]float64{}
	for _, text := range texts {
		lines := bufio.NewScanner(bytes.NewReader(text))
		for lines.Scan() {
			addMetric(sums, lines.Text())
		}
	}
	var all []Metric
	for _, name := range sortedKeys(sums) {
		all = append(all, Metric{Name: name, Value: sums[name]})
	}
	return all
}

func addMetric(sums map[string]float64, line string) {
	at := strings.LastIndexByte(line, ' ')
	if at < 0 || !isReported(line) {
		return
	}
	value, err := strconv.ParseFloat(line[at+1:], 64)
	if err != nil {
		return
	}
	sums[line[:at]] += value
}

func isReported(line string) bool {
	for _, name := range reported {
		if strings.HasPrefix(line, name) {
			return true
		}
	}
	return false
}
