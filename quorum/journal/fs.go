package journal

import "io"

// FS is the part of a file system that a journal needs. A test's FS loses what
// was not synced and tears writes.
type FS interface {
	// MkdirAll creates a folder with its parents; an existing one is no error.
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns the content of a file. It must read, not map: a mapped
	// file turns an I/O error into a signal.
	ReadFile(name string) ([]byte, error)
	// Create creates a file that must not exist.
	Create(name string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// Lock takes the folder for this process until the result is closed.
	Lock(dir string) (io.Closer, error)
}

// File is a file that is appended to.
type File interface {
	io.Writer
	// Sync makes everything written durable. After an error the file's state
	// on disk is unknown, and a second Sync may succeed without having
	// written the lost pages.
	Sync() error
	io.Closer
}
