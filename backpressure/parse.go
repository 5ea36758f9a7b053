package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// HeaderNames are the names of a protocol's advice headers.
type HeaderNames struct {
	// RateLimit contains requests per second as a decimal number.
	RateLimit string
	// Backoff contains seconds as a decimal number, or a date. It is read only from refusals: status 429 and 503.
	Backoff string
	// Draining contains 1 if the server is about to leave, 0 if it isn't.
	Draining string
}

// MalformedHeader is a header field whose value can't be parsed. Its value is ignored.
type MalformedHeader struct {
	Name, Value string
	Err         error
}

// maxLoggedValue bounds the bytes of a malformed value that are kept for the log.
const maxLoggedValue = 64

// Read parses the advice in the header of a response that arrived at the given time. If a field has several values, the
// most restrictive one applies.
func (n HeaderNames) Read(status int, header http.Header, now time.Time) (Advice, []MalformedHeader) {
	var advice Advice
	malformed := readValues(header, n.RateLimit, func(value string) error {
		rate, err := ParseRate(value)
		if err == nil {
			advice.Rate = advice.Rate.stricter(rate)
		}
		return err
	})
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		malformed = append(malformed, readValues(header, n.Backoff, func(value string) error {
			backoff, err := ParseBackoff(value, sendTime(header, now))
			advice.Backoff = max(advice.Backoff, backoff)
			return err
		})...)
	}
	malformed = append(malformed, readValues(header, n.Draining, func(value string) error {
		draining, err := parseFlag(value)
		advice.Draining = advice.Draining || draining
		return err
	})...)
	return advice, malformed
}

// readValues parses all values of a field and returns the malformed ones.
func readValues(header http.Header, name string, read func(value string) error) []MalformedHeader {
	var malformed []MalformedHeader
	for _, value := range header.Values(name) {
		if err := read(value); err != nil {
			malformed = append(malformed, newMalformed(name, value, err))
		}
	}
	return malformed
}

// sendTime returns when the server sent a response by its own clock, which the dates in the response refer to, or now
// if the response has no valid Date field.
func sendTime(header http.Header, now time.Time) time.Time {
	if sent, err := http.ParseTime(header.Get("Date")); err == nil {
		return sent
	}
	return now
}

func newMalformed(name, value string, err error) MalformedHeader {
	return MalformedHeader{Name: name, Value: value[:min(len(value), maxLoggedValue)], Err: err}
}

// stricter returns the more restrictive of two rates in one response.
func (r Rate) stricter(other Rate) Rate {
	if !r.Limited || other.Limited && other.PerSecond < r.PerSecond {
		return other
	}
	return r
}

var (
	errNotDecimal = errors.New("not a decimal number")
	errNegative   = errors.New("negative")
	errNotFlag    = errors.New("neither 0 nor 1")
)

// MaxBackoff bounds the backoff that a single response can request. Callers wait some seconds, and a server that needs longer
// says so again to the one request that tries it then.
const MaxBackoff = time.Minute

// ParseRate parses a rate in requests per second: a decimal number of at least zero, optionally surrounded by spaces.
func ParseRate(text string) (Rate, error) {
	value, err := parseDecimal(text)
	if err != nil {
		return Rate{}, err
	}
	return Rate{Limited: true, PerSecond: value}, nil
}

// ParseBackoff parses a backoff: a decimal number of seconds of at least zero without an exponent, or a date, which is taken
// relative to the time at which the response was sent. A date in the past gives 0, and no result is longer than MaxBackoff.
func ParseBackoff(text string, sent time.Time) (time.Duration, error) {
	if date, err := http.ParseTime(strings.TrimSpace(text)); err == nil {
		return min(max(date.Sub(sent), 0), MaxBackoff), nil
	}
	if strings.ContainsAny(text, "eE") {
		// Nobody means 1e309 seconds: it is a fault of the server, and must not shut it out.
		return 0, errNotDecimal
	}
	seconds, err := parseDecimal(text)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(seconds, MaxBackoff.Seconds()) * float64(time.Second)), nil
}

// parseFlag parses a boolean, 1 or 0.
func parseFlag(text string) (bool, error) {
	switch strings.TrimSpace(text) {
	case "1":
		return true, nil
	case "0":
		return false, nil
	default:
		return false, errNotFlag
	}
}

// parseDecimal parses a decimal number of at least zero. A number too large for a float64 gives the largest float64.
func parseDecimal(text string) (float64, error) {
	text = strings.TrimSpace(text)
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, errNotDecimal
	}
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		value = math.Copysign(math.MaxFloat64, value)
	case err != nil:
		return 0, errNotDecimal
	}
	if value < 0 || math.Signbit(value) {
		return 0, errNegative
	}
	return value, nil
}
