package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Size is a number of bytes.
type Size int64

// Units of Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

// sizeUnits holds the units in the order in which String tries them.
var sizeUnits = []struct {
	name string
	size Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// String returns the size as a whole number of the largest unit that divides it, such as "4MiB".
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s != 0 && s%unit.size == 0 {
			return strconv.FormatInt(int64(s/unit.size), 10) + unit.name
		}
	}
	return "0B"
}

// ParseSize parses a whole number followed by one of the units B, KiB, MiB and GiB, such as "4MiB". It returns an error
// for any other text and for a size that overflows Size.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || count > uint64(math.MaxInt64/unit.size) {
			return 0, errors.Errorf("want a whole number before %s, got %q", unit.name, text)
		}
		return Size(count) * unit.size, nil
	}
	return 0, errors.Errorf("want a size with a unit B, KiB, MiB or GiB, such as \"4MiB\", got %q", text)
}

// parseDuration parses a duration with a unit, such as "250ms". It rejects signs and a bare "0".
func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" || d < 0 || strings.HasPrefix(text, "+") || strings.HasPrefix(text, "-") {
		return 0, errors.Errorf("want a duration with a unit, such as \"250ms\" or \"2s\", got %q", text)
	}
	return d, nil
}
