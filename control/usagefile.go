package control

import (
	"context"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// usageFileName is the file in the data folder, and usageFileNew its successor while it is written.
	usageFileName = "usage"
	usageFileNew  = "usage.new"
	// usageSaveInterval is how often use is saved while any cap is near. What is used in between is assumed at the last
	// rate, as for an entry that tells nothing.
	usageSaveInterval = time.Second
	// usageSaveNear is the used part of a cap from which on use is saved. Below it a whole window more can hardly reach the
	// cap.
	usageSaveNear = 0.5
)

// usageFile keeps the use of caps over a restart of all processes at once.
//
// Use is told by entries with each poll and kept in memory; an instance that restarts has it back within a second, from the
// entries. When all processes die together nobody is left to tell, and an organisation gets its whole cap once more in the
// window that it has used up already: 1,877,958 tokens ran in 8 s of 1,790,983 tolerated. One would notice by use above a
// cap right after a loss of all machines. The file is synced, so a loss of power leaves it too.
type usageFile struct {
	fs      journal.FS
	dir     string
	failing bool // the last save failed
}

// save writes what is used now, if any cap is near. The error is that of the disk.
func (f *usageFile) save(u *usage, now time.Time) error {
	record := u.snapshot(now)
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
func (f *usageFile) load(u *usage, now time.Time) error {
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
	u.restore(record, now)
	return nil
}

// runUsageFile is the duty that saves use. A disk that refuses it costs exactness after a restart of everything, and
// nothing else.
func (c *Control) runUsageFile(ctx context.Context) error {
	ticker := time.NewTicker(usageSaveInterval)
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

// snapshot is what the entries have told, nil while no cap is near.
func (u *usage) snapshot(now time.Time) *wire.UsageRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.anyNear(now) {
		return nil
	}
	record := new(wire.UsageRecord)
	for from, entry := range u.entries {
		record.Entries = append(record.Entries, &wire.EntryUsage{
			Entry:       from.instance,
			Incarnation: from.number,
			UnixMs:      uint64(entry.at.UnixMilli()),
			WindowMs:    uint32(entry.window.Milliseconds()),
			Usage:       slices.Collect(maps.Values(entry.told)),
		})
	}
	return record
}

// anyNear tells whether a good part of any cap is used. It is called with the lock held.
func (u *usage) anyNear(now time.Time) bool {
	seen := make(map[string]bool) // organisations: each is added up once over all entries
	for _, entry := range u.entries {
		for name := range entry.told {
			if seen[name] {
				continue
			}
			seen[name] = true
			sum := u.others(incarnation{}, name, now)
			if float64(sum.GetUsed()) > usageSaveNear*u.capOf(name, entry.window) {
				return true
			}
		}
	}
	return false
}

// restore counts a record as the words of the entries that there were, each of which went on for up to an interval after it.
// An entry that lives on says its own again, in place of the one here; that of one that died counts until it has left the
// window.
func (u *usage) restore(record *wire.UsageRecord, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, one := range record.GetEntries() {
		window := time.Duration(one.GetWindowMs()) * time.Millisecond
		age := now.Sub(time.UnixMilli(int64(one.GetUnixMs())))
		if age < 0 || age >= window {
			continue
		}
		entry := &entryUsage{at: now.Add(-age), window: window, told: make(map[string]*wire.Usage), restored: true}
		for _, word := range one.GetUsage() {
			word.Used += uint64(float64(word.GetRate()) * min(age, usageSaveInterval).Seconds())
			word.Rate = 0
			entry.told[word.GetOrganisation()] = word
		}
		u.entries[incarnation{one.GetEntry(), one.GetIncarnation()}] = entry
	}
}
