package result

import (
	"strings"

	"github.com/go-faster/errors"
)

// Ran states whether an engine or service began a piece of work.
type Ran uint8

// The values of Ran. The zero value is RanUnknown, so that an error on which Ran is not set makes no
// promise.
const (
	// RanUnknown means that neither RanNo nor RanYes can be proved.
	RanUnknown Ran = iota
	// RanNo guarantees that no engine or service began the work, and that none will.
	RanNo
	// RanYes means that an engine or service began the work.
	RanYes
)

var ranNames = [...]string{RanUnknown: "unknown", RanNo: "no", RanYes: "yes"}

// String returns "no", "yes" or "unknown", and "unknown" for an undefined value.
func (r Ran) String() string {
	if int(r) < len(ranNames) {
		return ranNames[r]
	}
	return ranNames[RanUnknown]
}

// MarshalText returns the text of String. The error is always nil.
func (r Ran) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes the output of MarshalText. It returns an error for any other text.
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

// The sets that the rows of the table use.
const (
	onlyUnknown  RanSet = 1 << RanUnknown
	onlyNo       RanSet = 1 << RanNo
	noOrUnknown  RanSet = 1<<RanNo | 1<<RanUnknown
	yesOrUnknown RanSet = 1<<RanYes | 1<<RanUnknown
	anyValue     RanSet = 1<<RanNo | 1<<RanYes | 1<<RanUnknown
)

// Has reports whether r is in the set.
func (s RanSet) Has(r Ran) bool {
	return s&(1<<r) != 0
}

// String returns the set's values separated by commas, such as "no, unknown".
func (s RanSet) String() string {
	var names []string
	for _, r := range []Ran{RanNo, RanYes, RanUnknown} {
		if s.Has(r) {
			names = append(names, r.String())
		}
	}
	return strings.Join(names, ", ")
}

// implied returns RanNo if it is the set's only value, and RanUnknown otherwise.
func (s RanSet) implied() Ran {
	if s == onlyNo {
		return RanNo
	}
	return RanUnknown
}
