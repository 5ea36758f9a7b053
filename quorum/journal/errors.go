package journal

import (
	"syscall"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
)

// fail wraps the error of a write or sync: result.DiskFull where the disk or
// the quota is full, else result.SyncFailed.
func fail(err error, doing string) error {
	code := result.SyncFailed
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		code = result.DiskFull
	}
	return result.Wrap(err, code, "journal: %s", doing)
}

func damaged(format string, args ...any) error {
	return result.New(result.JournalDamaged, "journal: "+format, args...)
}
