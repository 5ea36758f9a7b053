package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// HeaderNames are the header fields of a protocol.
type HeaderNames struct {
	// RateLimit holds requests a second, a decimal number.
	RateLimit string
	// Backoff holds seconds, a decimal number, or a date. It counts in refusals only: status 429 and 503.
	Backoff string
	// Draining holds 1 where the server leaves, 0 where it doesn't.
	Draining string
}

// MalformedHeader is a header field whose value has no meaning. It changes nothing.
type MalformedHeader struct {
	Name, Value string
	Err         error
}

// maxShown bounds the bytes of a malformed value that are kept for the log.
const maxShown = 64

// Read gives what the head of an answer says that came now. Of several values of a field the one that asks most counts.
func (n HeaderNames) Read(status int, header http.Header, now time.Time) (Advice, []MalformedHeader) {
	var advice Advice
	malformed := each(header, n.RateLimit, func(value string) error {
		rate, err := ParseRate(value)
		if err == nil {
			advice.Rate = advice.Rate.stricter(rate)
		}
		return err
	})
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		malformed = append(malformed, each(header, n.Backoff, func(value string) error {
			backoff, err := ParseBackoff(value, sentAt(header, now))
			advice.Backoff = max(advice.Backoff, backoff)
			return err
		})...)
	}
	malformed = append(malformed, each(header, n.Draining, func(value string) error {
		draining, err := parseFlag(value)
		advice.Draining = advice.Draining || draining
		return err
	})...)
	return advice, malformed
}

// each reads all values of a field, and returns those that can't be read.
func each(header http.Header, name string, read func(value string) error) []MalformedHeader {
	var malformed []MalformedHeader
	for _, value := range header.Values(name) {
		if err := read(value); err != nil {
			malformed = append(malformed, newMalformed(name, value, err))
		}
	}
	return malformed
}

// sentAt is when an answer was made by its server's clock, which a date in it goes by; now if it doesn't say.
func sentAt(header http.Header, now time.Time) time.Time {
	if sent, err := http.ParseTime(header.Get("Date")); err == nil {
		return sent
	}
	return now
}

func newMalformed(name, value string, err error) MalformedHeader {
	return MalformedHeader{Name: name, Value: value[:min(len(value), maxShown)], Err: err}
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
	errNoFlag    = errors.New("neither 0 nor 1")
)

// MaxBackoff bounds how long a sender keeps away from a server for one answer.
const MaxBackoff = 10 * time.Minute

// ParseRate reads a rate in requests a second: a decimal number of at least zero, with spaces round it at most.
func ParseRate(text string) (Rate, error) {
	value, err := parseDecimal(text)
	if err != nil {
		return Rate{}, err
	}
	return Rate{Limited: true, PerSecond: value}, nil
}

// ParseBackoff reads a time to keep away: a decimal number of seconds of at least zero, or a date, from which the time since the answer
// was sent counts. A date that has passed is no time at all, and no time is longer than MaxBackoff.
func ParseBackoff(text string, sent time.Time) (time.Duration, error) {
	if date, err := http.ParseTime(strings.TrimSpace(text)); err == nil {
		return min(max(date.Sub(sent), 0), MaxBackoff), nil
	}
	seconds, err := parseDecimal(text)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(seconds, MaxBackoff.Seconds()) * float64(time.Second)), nil
}

// parseFlag reads a yes or no.
func parseFlag(text string) (bool, error) {
	switch strings.TrimSpace(text) {
	case "1":
		return true, nil
	case "0":
		return false, nil
	default:
		return false, errNoFlag
	}
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
