package load

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a stream with an event left out, repeated or of another run, or with the end mark before its last event, that is
// counted as in order or under another way.
func TestOrderOfStreamsIsToldByWay(t *testing.T) {
	at := func(run, version string, position int) string {
		return fmt.Sprintf(`data: {"id":%q,"system_fingerprint":%q,"choices":[{"text":"x"}],"position":%d}`+"\n\n", run, version, position)
	}
	const done = "data: [DONE]\n\n"
	tests := []struct {
		name, body string
		repeatable bool
		want       Order
	}{
		{"in order", at("a", "v1", 0) + at("a", "v1", 1) + at("a", "v1", 2) + done, false, Order{}},
		{"missing", at("a", "v1", 0) + at("a", "v1", 2) + done, false, Order{Missing: true}},
		{"first missing", at("a", "v1", 1) + at("a", "v1", 2) + done, false, Order{Missing: true}},
		{"twice", at("a", "v1", 0) + at("a", "v1", 0) + at("a", "v1", 1) + at("a", "v1", 2) + done, false, Order{Twice: true}},
		{"two runs", at("a", "v1", 0) + at("b", "v1", 1) + at("b", "v1", 2) + done, false, Order{Joined: true}},
		{"two runs that may follow", at("a", "v1", 0) + at("b", "v1", 1) + at("b", "v1", 2) + done, true, Order{}},
		{"two versions", at("a", "v1", 0) + at("b", "v2", 1) + at("b", "v2", 2) + done, true, Order{Joined: true}},
		{"end mark too early", at("a", "v1", 0) + at("a", "v1", 1) + done, false, Order{FalseEnd: true}},
		{"ordinary end without mark", at("a", "v1", 0), false, Order{FalseEnd: true}},
	}
	for _, test := range tests {
		a := asked(true)
		a.Class.Repeatable = test.repeatable
		o := verdict(a, 200, "text/event-stream", test.body, false, false)
		assert.Equal(t, test.want, o.Order, test.name)
	}
}
