package plan

import (
	"encoding/json"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// Duration is written as a string with a unit, such as "1.5ms".
type Duration time.Duration

// Std returns it as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalJSON refuses bare numbers: nobody can see whether 5 means seconds or milliseconds.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("want a string with a unit, such as \"5s\", got %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("want a duration, such as \"5s\", got %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the form that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// At returns the value that a part u of the distribution, 0 to 1, lies below.
func (r Range) At(u float64) int {
	if r.Max <= r.Min {
		return r.Min
	}
	low, high := math.Log(float64(max(r.Min, 1))), math.Log(float64(r.Max))
	return int(math.Round(math.Exp(low + u*(high-low))))
}

// Mean returns the mean of the distribution.
func (r Range) Mean() float64 {
	low, high := float64(max(r.Min, 1)), float64(r.Max)
	if high <= low {
		return float64(r.Min)
	}
	return (high - low) / math.Log(high/low)
}

// SharedTokens is the length of the prompt's beginning that others share.
func (w Work) SharedTokens() int {
	if w.Prefixes == 0 {
		return 0
	}
	return w.PrefixTokens
}
