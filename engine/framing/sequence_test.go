package framing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a missing or repeated event that the line at a stream's end doesn't show, and against comments that count as events.
func TestSequenceOfEventIDs(t *testing.T) {
	event := func(id string) string { return "id: " + id + "\ndata: x\n\n" }
	for name, test := range map[string]struct {
		after string
		parts []string
		want  Sequence
	}{
		"none":                    {"", nil, Sequence{}},
		"whole":                   {"", []string{event("1"), ": c\n", "\r\n", event("2")}, Sequence{Events: 2, First: "1", Last: "2", last: 2, known: true}},
		"a gap":                   {"", []string{event("1"), event("3")}, Sequence{Events: 2, First: "1", Last: "3", Gaps: 1, last: 3, known: true}},
		"twice":                   {"", []string{event("1"), event("1")}, Sequence{Events: 2, First: "1", Last: "1", Gaps: 1, last: 1, known: true}},
		"goes on":                 {"4", []string{event("5")}, Sequence{Events: 1, First: "5", Last: "5", last: 5, known: true}},
		"goes on after a gap":     {"4", []string{event("6")}, Sequence{Events: 1, First: "6", Last: "6", Gaps: 1, last: 6, known: true}},
		"without IDs":             {"", []string{"data: x\n\n"}, Sequence{Events: 1, Unnamed: 1}},
		"IDs that aren't numbers": {"", []string{event("b"), event("a")}, Sequence{Events: 2, First: "b", Last: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := After(test.after, false)
			for _, part := range test.parts {
				s.Add([]byte(part))
			}
			require.Equal(t, test.want, s)
		})
	}
}
