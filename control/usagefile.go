package control

import (
	"context"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// usageFileName is the file in the data folder, and usageFileNew its successor while it is written.
	usageFileName = "usage"
	usageFileNew  = "usage.new"
)

// usageFile keeps the use of caps over a restart of all processes at once.
//
// Use is told by entries with each poll and kept in memory; an instance that restarts has it back within a second, from the
// entries. When all processes die together nobody is left to tell, and an organisation gets its whole cap once more in the
// window that it has used up already: 1,877,958 tokens ran in 8 s of 1,790,983 tolerated. One would notice by use above a
// cap right after a loss of all machines. The file is synced, so a loss of power leaves it too.
type usageFile struct {
	fs      journal.FS // nil for an instance without a disk, which saves nothing
	dir     string
	failing bool // the last save failed
}

func newUsageFile(s settings.Control, fs journal.FS) *usageFile {
	if s.Ephemeral {
		return new(usageFile)
	}
	return &usageFile{fs: fs, dir: s.DataDir}
}

// save writes what is used now, if any cap is near. The error is that of the disk.
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

// write replaces the file in one step, so that a crash leaves the old one or the new one whole.
func (f *usageFile) write(data []byte) error {
	fresh := filepath.Join(f.dir, usageFileNew)
	if err := f.fs.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := f.fs.Create(fresh)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	if err := f.fs.Rename(fresh, filepath.Join(f.dir, usageFileName)); err != nil {
		return err
	}
	return f.fs.SyncDir(f.dir)
}

// load has use from before the start counted. A file that isn't there is no error.
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

// runUsageFile is the duty that saves use. A disk that refuses it costs exactness after a restart of everything, and
// nothing else.
func (c *Control) runUsageFile(ctx context.Context) error {
	ticker := time.NewTicker(quota.SaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.usageFile.note(c, c.usageFile.save(c.usage, now))
		}
	}
}

// note logs when saving begins to fail, and when it works again.
func (f *usageFile) note(c *Control, err error) {
	if failing := err != nil; failing != f.failing {
		f.failing = failing
		c.log.WithField("failing", failing).WithError(err).Warn("usage_saved")
	}
}
