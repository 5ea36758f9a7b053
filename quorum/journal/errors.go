package journal

import (
	"syscall"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
)

// ioError wraps the error of a write or sync: result.DiskFull where the disk or
// the quota is full, else result.SyncFailed.
func ioError(err error, operation string) error {
	code := result.SyncFailed
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		code = result.DiskFull
	}
	return result.Wrap(err, code, "journal: %s", operation)
}

func damagedError(format string, args ...any) error {
	return result.New(result.JournalDamaged, "journal: "+format, args...)
}
