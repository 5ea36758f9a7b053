package journal

import "io"

// FS is the subset of a file system that a journal uses. Tests implement it to
// simulate torn writes and the loss of unsynced data.
type FS interface {
	// MkdirAll creates a directory and its parents. It returns nil if the
	// directory exists.
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns the content of a file. It must not map the file into
	// memory, because an I/O error on a mapped file raises a signal.
	ReadFile(name string) ([]byte, error)
	// Create creates a file for appending. It fails if the file exists.
	Create(name string) (File, error)
	// Truncate truncates a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename renames oldName to newName and replaces an existing newName.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes preceding creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// Lock locks the directory exclusively until the returned Closer is closed.
	// It fails without waiting if the directory is locked.
	Lock(dir string) (io.Closer, error)
}

// File is a file opened for appending.
type File interface {
	io.Writer
	// Sync makes all preceding writes durable. After an error the content of
	// the file on disk is unknown, and a second Sync may succeed without
	// having written the lost pages.
	Sync() error
	io.Closer
}
