package journal

import (
	"syscall"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/go-faster/errors"
)

// ioError wraps the error of a file operation with result.DiskFull if the disk
// or the quota is full, and with result.SyncFailed otherwise. operation names
// the failed operation in the message.
func ioError(err error, operation string) error {
	code := result.SyncFailed
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		code = result.DiskFull
	}
	return result.Wrap(err, code, "journal: %s", operation)
}

// damagedError returns an error with the code result.JournalDamaged.
func damagedError(format string, args ...any) error {
	return result.New(result.JournalDamaged, "journal: "+format, args...)
}
