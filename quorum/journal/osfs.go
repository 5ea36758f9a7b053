package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// File modes grant access to the owner only, since the log holds callers' data.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// lockName is the name of the file that Lock locks.
const lockName = "lock"

// osFS implements FS with the file system of the operating system.
type osFS struct{}

// OS returns the file system of the operating system.
func OS() FS { return osFS{} }

// MkdirAll implements FS.
func (osFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadDir implements FS.
func (osFS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
}

// Truncate implements FS.
func (osFS) Truncate(name string, size int64) (err error) {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename implements FS.
func (osFS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove implements FS.
func (osFS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (osFS) SyncDir(dir string) (err error) {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return f.Sync()
}

// Lock implements FS with flock(2). The kernel releases the lock when the
// process exits.
func (osFS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
