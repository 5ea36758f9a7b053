package control

import (
	"context"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// usageFileName is the file in the data folder, and usageFileNew the file that is written before it replaces it.
	usageFileName = "usage"
	usageFileNew  = "usage.new"
)

// usageFile preserves the usage of caps over a restart of all processes at once.
//
// Entries report usage with each poll, and it is kept in memory. An instance that restarts gets it back from the
// entries within a second. If all processes end together, nothing is left to report it, and an organisation gets its
// whole cap again in a window in which it has already used it up: 1,877,958 tokens run in 8 s where 1,790,983 are
// tolerated. The symptom is usage above a cap right after all machines were lost. The file is synced, so it also
// survives a power loss.
type usageFile struct {
	fs      journal.FS // nil for an instance without a disk, which saves nothing
	dir     string
	failing bool // whether the last save failed
}

func newUsageFile(s settings.Control, fs journal.FS) *usageFile {
	if s.Ephemeral {
		return new(usageFile)
	}
	return &usageFile{fs: fs, dir: s.DataDir}
}

// save writes the present usage, if any cap is close to being used up. Errors are those of the disk.
func (f *usageFile) save(u *quota.Ledger, now time.Time) error {
	if f.fs == nil {
		return nil
	}
	record := u.Snapshot(now)
	if record == nil {
		return nil
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "usage: encode")
	}
	if err := f.write(data); err != nil {
		return errors.Wrap(err, "usage: save")
	}
	return nil
}

// write replaces the file atomically, so that a crash leaves either the old file or the new one complete.
func (f *usageFile) write(data []byte) error {
	temporary := filepath.Join(f.dir, usageFileNew)
	if err := f.fs.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := f.fs.Create(temporary)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := f.fs.Rename(temporary, filepath.Join(f.dir, usageFileName)); err != nil {
		return err
	}
	return f.fs.SyncDir(f.dir)
}

// load restores the usage that was saved before a restart. A missing file is not an error.
func (f *usageFile) load(u *quota.Ledger, now time.Time) error {
	if f.fs == nil {
		return nil
	}
	data, err := f.fs.ReadFile(filepath.Join(f.dir, usageFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "usage: load")
	}
	record := new(wire.UsageRecord)
	if err := proto.Unmarshal(data, record); err != nil {
		return errors.Wrap(err, "usage: decode")
	}
	u.Restore(record, now)
	return nil
}

// runUsageFile is the loop that saves usage. If the disk refuses it, usage is inexact after a restart of all processes;
// nothing else is affected.
func (c *Control) runUsageFile(ctx context.Context) error {
	pause.Every(ctx, quota.SaveInterval, func(now time.Time) {
		c.usageFile.logTransition(c, c.usageFile.save(c.usage, now))
	})
	return nil
}

// logTransition logs when saving starts to fail, and when it works again.
func (f *usageFile) logTransition(c *Control, err error) {
	if failing := err != nil; failing != f.failing {
		f.failing = failing
		c.log.WithField("failing", failing).WithError(err).Warn("usage_saved")
	}
}
