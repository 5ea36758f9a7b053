package control

import "github.com/carawaypitch/carawaypitch/wire"

// adviceJSON is what a backend server asks of all processes that send it requests.
type adviceJSON struct {
	Server      string  `json:"server"`
	RateLimited bool    `json:"rate_limited"`
	RatePerS    float64 `json:"rate_per_s"`
	Draining    bool    `json:"draining"`
}

func adviceStatus(records []*wire.ServerAdvice) []adviceJSON {
	out := []adviceJSON{}
	for _, record := range records {
		out = append(out, adviceJSON{
			Server:      record.GetServer(),
			RateLimited: record.GetRateLimited(),
			RatePerS:    record.GetRatePerS(),
			Draining:    record.GetDraining(),
		})
	}
	return out
}
