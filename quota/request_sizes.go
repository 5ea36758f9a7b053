package quota

import "sync"

// sizeWeight is the weight of the newest request in the mean request size.
const sizeWeight = 1.0 / 32

// requestSizes is the mean size of recent requests at an entry, over all organisations. The zero value is ready to use.
type requestSizes struct {
	mu    sync.Mutex
	value float64 // in units; 0 before the first request
}

func (r *requestSizes) record(units float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.value == 0 {
		r.value = units
		return
	}
	r.value += (units - r.value) * sizeWeight
}

// mean returns the mean size in units, 0 before the first request.
func (r *requestSizes) mean() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}
