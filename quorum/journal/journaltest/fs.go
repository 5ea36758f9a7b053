// Package journaltest provides an in-memory file system that simulates crashes
// and I/O errors. It distinguishes written data from synced data.
package journaltest

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/go-faster/errors"
)

// ErrCrashed is returned by every change after the one set with FS.StopAt, and
// by files that were opened before a crash, kill or wipe.
var ErrCrashed = errors.New("journaltest: crashed")

// inode is the content of a file. A crash may lose the bytes after the first
// synced ones, or some of them.
type inode struct {
	data   []byte
	synced int
}

// FS implements journal.FS. It is safe for concurrent use.
type FS struct {
	mu sync.Mutex
	// visible maps the paths that a process sees to their content, durable the
	// paths that survive a crash.
	visible, durable map[string]*inode
	// pendingDirChanges are the changes of directory entries since the last
	// SyncDir, in order.
	pendingDirChanges []func(files map[string]*inode)
	lockedDirs        map[string]bool
	// epoch is incremented by each crash, kill and wipe. Files and locks of an
	// earlier epoch are invalid.
	epoch int

	changes       int
	stopAt        int
	stopKeepBytes int
	injectedFault func(op string, name string) error
}

// New returns an empty file system.
func New() *FS {
	return &FS{
		visible:    map[string]*inode{},
		durable:    map[string]*inode{},
		lockedDirs: map[string]bool{},
	}
}

// Steps returns the number of changes since the last restart or StopAt: writes,
// syncs, creations, truncations, renames and removals.
func (f *FS) Steps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes
}

// StopAt resets the counter of changes and makes the change with number step,
// counted from 1, the last one that succeeds; later ones fail with ErrCrashed.
// If the last one is a write, only its first keepBytes bytes are written, and
// it returns ErrCrashed. A step of zero removes the limit.
func (f *FS) StopAt(step, keepBytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes, f.stopAt, f.stopKeepBytes = 0, step, keepBytes
}

// SetFault makes a change fail with the error that fault returns for it. If
// fault returns nil, or is nil itself, the change is carried out. op is write,
// sync, create, truncate, rename, remove or syncdir.
func (f *FS) SetFault(fault func(op, name string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injectedFault = fault
}

// Kill simulates the end of the process: locks are released and open files
// become invalid, but no written data is lost.
func (f *FS) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart()
}

// Crash simulates a power failure. Of the unsynced bytes at the end of each file
// it keeps the first ones, as many as keep returns. Unsynced changes of
// directory entries are lost.
func (f *FS) Crash(keep func(unsynced int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash(func() bool { return false }, keep)
}

// CrashRandom is like Crash, but keeps a random part of the unsynced bytes of
// each file, some with a flipped bit, and a random subset of the unsynced
// changes of directory entries.
func (f *FS) CrashRandom(r *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.visible)) {
		if n := f.visible[name]; len(n.data) > n.synced && r.IntN(4) == 0 {
			n.data[n.synced+r.IntN(len(n.data)-n.synced)] ^= 1 << r.IntN(8)
		}
	}
	// POSIX does not guarantee an order among unsynced changes of directory
	// entries.
	f.crash(func() bool { return r.IntN(2) == 0 }, func(unsynced int) int { return r.IntN(unsynced + 1) })
}

// crash implements Crash and CrashRandom. dirChangeSurvives decides for each
// unsynced change of a directory entry.
func (f *FS) crash(dirChangeSurvives func() bool, keep func(int) int) {
	for _, change := range f.pendingDirChanges {
		if dirChangeSurvives() {
			change(f.durable)
		}
	}
	f.pendingDirChanges = nil
	f.visible = maps.Clone(f.durable)
	for _, name := range slices.Sorted(maps.Keys(f.visible)) {
		n := f.visible[name]
		n.data = n.data[:n.synced+keep(len(n.data)-n.synced)]
		n.synced = len(n.data)
	}
	f.restart()
}

// restart invalidates open files, releases locks and resets the counter of
// changes and the limit set with StopAt.
func (f *FS) restart() {
	f.epoch++
	f.lockedDirs = map[string]bool{}
	f.changes, f.stopAt, f.stopKeepBytes = 0, 0, 0
}

// Wipe removes all files, like the replacement of the disk.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.visible, f.durable, f.pendingDirChanges = map[string]*inode{}, map[string]*inode{}, nil
	f.restart()
}

// Content returns a copy of a file's bytes, or nil if the file does not exist.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.visible[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// SetContent replaces the synced content of a file, to simulate damage; nil
// removes the file. It does not count as a change.
func (f *FS) SetContent(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if data == nil {
		delete(f.visible, name)
		delete(f.durable, name)
		return
	}
	n := &inode{data: slices.Clone(data), synced: len(data)}
	f.visible[name], f.durable[name] = n, n
}

// countChange counts a change. If it returns an error, the caller must not make
// the change.
func (f *FS) countChange(op, name string) error {
	if f.injectedFault != nil {
		if err := f.injectedFault(op, name); err != nil {
			return err
		}
	}
	if f.stopAt > 0 && f.changes >= f.stopAt {
		return ErrCrashed
	}
	f.changes++
	return nil
}

// changeDir applies a change of directory entries and keeps it until SyncDir.
func (f *FS) changeDir(change func(map[string]*inode)) {
	change(f.visible)
	f.pendingDirChanges = append(f.pendingDirChanges, change)
}

// MkdirAll implements journal.FS. Directories exist implicitly.
func (f *FS) MkdirAll(string) error { return nil }

// ReadDir implements journal.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for path := range f.visible {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements journal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.visible[name]
	if n == nil {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return slices.Clone(n.data), nil
}

// Create implements journal.FS.
func (f *FS) Create(name string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChange("create", name); err != nil {
		return nil, err
	}
	if f.visible[name] != nil {
		return nil, errors.Wrap(fs.ErrExist, name)
	}
	n := &inode{}
	f.changeDir(func(files map[string]*inode) { files[name] = n })
	return &file{fs: f, inode: n, name: name, epoch: f.epoch}, nil
}

// Truncate implements journal.FS.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChange("truncate", name); err != nil {
		return err
	}
	n := f.visible[name]
	if n == nil {
		return errors.Wrap(fs.ErrNotExist, name)
	}
	n.data = n.data[:size]
	n.synced = len(n.data)
	return nil
}

// Rename implements journal.FS.
func (f *FS) Rename(oldName, newName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChange("rename", oldName); err != nil {
		return err
	}
	n := f.visible[oldName]
	if n == nil {
		return errors.Wrap(fs.ErrNotExist, oldName)
	}
	f.changeDir(func(files map[string]*inode) {
		delete(files, oldName)
		files[newName] = n
	})
	return nil
}

// Remove implements journal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChange("remove", name); err != nil {
		return err
	}
	if f.visible[name] == nil {
		return errors.Wrap(fs.ErrNotExist, name)
	}
	f.changeDir(func(files map[string]*inode) { delete(files, name) })
	return nil
}

// SyncDir implements journal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChange("syncdir", dir); err != nil {
		return err
	}
	for _, change := range f.pendingDirChanges {
		change(f.durable)
	}
	f.pendingDirChanges = nil
	return nil
}

// Lock implements journal.FS.
func (f *FS) Lock(dir string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lockedDirs[dir] {
		return nil, errors.New("journaltest: directory is locked")
	}
	f.lockedDirs[dir] = true
	return &dirLock{fs: f, dir: dir, epoch: f.epoch}, nil
}

// dirLock is a lock on a directory.
type dirLock struct {
	fs    *FS
	dir   string
	epoch int
}

// Close releases the lock.
func (u *dirLock) Close() error {
	u.fs.mu.Lock()
	defer u.fs.mu.Unlock()
	if u.epoch == u.fs.epoch {
		delete(u.fs.lockedDirs, u.dir)
	}
	return nil
}

// file implements journal.File. It is valid in the epoch in which it was opened.
type file struct {
	fs    *FS
	inode *inode
	name  string
	epoch int
}

// Write implements io.Writer.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return 0, ErrCrashed
	}
	if err := f.fs.countChange("write", f.name); err != nil {
		return 0, err
	}
	if f.fs.changes == f.fs.stopAt {
		p = p[:min(f.fs.stopKeepBytes, len(p))]
		f.inode.data = append(f.inode.data, p...)
		return len(p), ErrCrashed
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

// Sync implements journal.File.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return ErrCrashed
	}
	if err := f.fs.countChange("sync", f.name); err != nil {
		return err
	}
	f.inode.synced = len(f.inode.data)
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
