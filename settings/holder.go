package settings

import "sync/atomic"

// Holder keeps settings that can be loaded again while the process runs. Any number of goroutines may use it.
type Holder[T any] struct {
	current atomic.Pointer[T]
}

// NewHolder loads the file. Errors are those of Load.
func NewHolder[T any](path string) (*Holder[T], error) {
	h := &Holder[T]{}
	if err := h.Reload(path); err != nil {
		return nil, err
	}
	return h, nil
}

// Get returns the settings in force. Don't change them.
func (h *Holder[T]) Get() *T {
	return h.current.Load()
}

// Reload loads the file and puts all of it in force at once. If the file has any mistake, the settings stay as
// they are, and the error is that of Load.
func (h *Holder[T]) Reload(path string) error {
	loaded, err := Load[T](path)
	if err != nil {
		return err
	}
	h.current.Store(loaded)
	return nil
}
