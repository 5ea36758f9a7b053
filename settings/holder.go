package settings

import "sync/atomic"

// Reloader keeps settings that can be loaded again while the process runs. Any number of goroutines may use it.
type Reloader[T any] struct {
	current atomic.Pointer[T]
}

// NewReloader loads the file. Errors are those of Load.
func NewReloader[T any](path string) (*Reloader[T], error) {
	h := &Reloader[T]{}
	if err := h.Reload(path); err != nil {
		return nil, err
	}
	return h, nil
}

// Get returns the settings in force. Don't change them.
func (h *Reloader[T]) Get() *T {
	return h.current.Load()
}

// Reload loads the file and puts all of it in force at once. If the file has any mistake, the settings stay as
// they are, and the error is that of Load.
func (h *Reloader[T]) Reload(path string) error {
	loaded, err := Load[T](path)
	if err != nil {
		return err
	}
	h.current.Store(loaded)
	return nil
}
