package settings

import "sync/atomic"

// Reloader holds settings that can be reloaded from a file while the process runs. It is safe for concurrent use.
type Reloader[T any] struct {
	current atomic.Pointer[T]
}

// NewReloader returns a Reloader with the settings of the file at path. Its errors are those of Load.
func NewReloader[T any](path string) (*Reloader[T], error) {
	r := &Reloader[T]{}
	if err := r.Reload(path); err != nil {
		return nil, err
	}
	return r, nil
}

// Get returns the current settings. Callers must not modify them.
func (r *Reloader[T]) Get() *T {
	return r.current.Load()
}

// Reload loads the file at path and replaces the current settings atomically. If loading fails, the current settings
// stay in force, and the error is that of Load.
func (r *Reloader[T]) Reload(path string) error {
	loaded, err := Load[T](path)
	if err != nil {
		return err
	}
	r.current.Store(loaded)
	return nil
}
