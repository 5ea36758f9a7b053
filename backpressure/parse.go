package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Names are the header fields of a protocol.
type Names struct {
	// RateLimit holds requests a second, a decimal number.
	RateLimit string
}

// Malformed is a header field whose value has no meaning. It changes nothing.
type Malformed struct {
	Name, Value string
	Err         error
}

// maxShown bounds the bytes of a malformed value that are kept for the log.
const maxShown = 64

// Read gives what the head of an answer says.
func (n Names) Read(header http.Header) (Advice, []Malformed) {
	var advice Advice
	var malformed []Malformed
	for _, value := range header.Values(n.RateLimit) {
		rate, err := ParseRate(value)
		if err != nil {
			malformed = append(malformed, newMalformed(n.RateLimit, value, err))
			continue
		}
		advice.Rate = advice.Rate.stricter(rate)
	}
	return advice, malformed
}

func newMalformed(name, value string, err error) Malformed {
	return Malformed{Name: name, Value: value[:min(len(value), maxShown)], Err: err}
}

// stricter joins two values of one answer.
func (r Rate) stricter(other Rate) Rate {
	if !r.Limited || other.Limited && other.PerSecond < r.PerSecond {
		return other
	}
	return r
}

var (
	errNoDecimal = errors.New("no decimal number")
	errNegative  = errors.New("negative")
)

// ParseRate reads a rate in requests a second: a decimal number of at least zero, with spaces round it at most.
func ParseRate(text string) (Rate, error) {
	value, err := parseDecimal(text)
	if err != nil {
		return Rate{}, err
	}
	return Rate{Limited: true, PerSecond: value}, nil
}

// parseDecimal reads a decimal number of at least zero. One too large for a float64 is the largest.
func parseDecimal(text string) (float64, error) {
	text = strings.TrimSpace(text)
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, errNoDecimal
	}
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		value = math.Copysign(math.MaxFloat64, value)
	case err != nil:
		return 0, errNoDecimal
	}
	if value < 0 || math.Signbit(value) {
		return 0, errNegative
	}
	return value, nil
}
