package result

import (
	"strings"

	"github.com/go-faster/errors"
)

// Ran says whether an engine or service began a piece of work.
type Ran uint8

// The values of Ran. The zero value is RanUnknown, so that an error which forgot to say promises nothing.
const (
	// RanUnknown means that neither of the others can be proved.
	RanUnknown Ran = iota
	// RanNo is a promise: no engine or service began the work, and none will.
	RanNo
	// RanYes means that an engine or service began the work.
	RanYes
)

var ranNames = [...]string{RanUnknown: "unknown", RanNo: "no", RanYes: "yes"}

// String returns "no", "yes" or "unknown".
func (r Ran) String() string {
	if int(r) < len(ranNames) {
		return ranNames[r]
	}
	return ranNames[RanUnknown]
}

// MarshalText returns the same as String.
func (r Ran) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText reads what MarshalText wrote. Any other text is an error.
func (r *Ran) UnmarshalText(text []byte) error {
	for value, name := range ranNames {
		if name == string(text) {
			*r = Ran(value)
			return nil
		}
	}
	return errors.Errorf("ran: want no, yes or unknown, got %q", text)
}

// RanSet is a set of Ran values.
type RanSet uint8

// The sets that rows of the table use.
const (
	onlyUnknown RanSet = 1 << RanUnknown
	onlyNo      RanSet = 1 << RanNo
	noOrUnknown RanSet = 1<<RanNo | 1<<RanUnknown
	begun       RanSet = 1<<RanYes | 1<<RanUnknown
	anyRan      RanSet = 1<<RanNo | 1<<RanYes | 1<<RanUnknown
)

// Has tells whether r is in the set.
func (s RanSet) Has(r Ran) bool {
	return s&(1<<r) != 0
}

// String lists the set's values, such as "no, unknown".
func (s RanSet) String() string {
	var names []string
	for _, r := range []Ran{RanNo, RanYes, RanUnknown} {
		if s.Has(r) {
			names = append(names, r.String())
		}
	}
	return strings.Join(names, ", ")
}

// implied returns the set's only value, or RanUnknown if there are several.
func (s RanSet) implied() Ran {
	if s == onlyNo {
		return RanNo
	}
	return RanUnknown
}
