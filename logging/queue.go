package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/ring"
)

// Bounds of the lines of one process.
const (
	// queueLines is how many lines may wait for the writer: some seconds of a busy process. A line takes a quarter of a
	// kilobyte.
	queueLines = 2048
	// ordinaryLines is how many may wait before lines of level info are left out. What remains is for warnings and errors.
	ordinaryLines = queueLines * 3 / 4
	// linesPerSecond bounds the lines of level info in one second. A busy entry writes about a hundred.
	linesPerSecond = 1000
	// batchBytes is how much is written at a time at most.
	batchBytes = 32 << 10
	// closeWait is how long Close waits for a reader that has stopped reading.
	closeWait = 200 * time.Millisecond
)

// leftOutEvent is the event of the line that says how many lines were left out before it.
const leftOutEvent = "log_lines_left_out"

// AsyncHandler is a handler that never makes its callers wait: lines go to a bounded ring, and a goroutine writes them.
//
// Were lines written by the duties themselves, a reader of the log that stops reading would stop them: the pipe fills
// up, and the next line blocks the scheduler. One would notice it as a process that answers nothing and logs nothing.
// What doesn't fit is left out and counted, and the count is a line of its own.
type AsyncHandler struct {
	w     io.Writer
	now   func() time.Time
	lines *ring.Ring[[]byte]
	done  chan struct{}
	stop  chan struct{}
	once  sync.Once

	leftOut atomic.Uint64 // since the last line that told
	second  atomic.Int64  // of the bound on lines
	written atomic.Int64  // lines of level info in that second
}

// NewAsyncHandler returns a handler that writes to w. Close ends its goroutine.
func NewAsyncHandler(w io.Writer) *AsyncHandler {
	q := &AsyncHandler{
		w:     w,
		now:   time.Now,
		lines: ring.New[[]byte]("log", queueLines),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go q.write()
	return q
}

// HandleLog implements log.Handler. It never waits and never fails.
func (q *AsyncHandler) HandleLog(e *log.Entry) error {
	if e.Level <= log.InfoLevel && !q.admits() || !q.lines.TryPush(appendLine(nil, e)) {
		q.leftOut.Add(1)
	}
	return nil
}

// admits tells whether one more line of level info is within the bounds.
func (q *AsyncHandler) admits() bool {
	if q.lines.Len() >= ordinaryLines {
		return false
	}
	if second := q.now().Unix(); q.second.Swap(second) != second {
		q.written.Store(0)
	}
	return q.written.Add(1) <= linesPerSecond
}

// Close writes what waits and ends the goroutine. It gives up on a reader that has stopped reading.
func (q *AsyncHandler) Close() {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(closeWait):
	}
}

// write writes what is there in one call for many lines.
func (q *AsyncHandler) write() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines.C():
			q.writeFrom(line)
		case <-q.stop:
			q.drain()
			return
		}
	}
}

func (q *AsyncHandler) drain() {
	for {
		select {
		case line := <-q.lines.C():
			q.writeFrom(line)
		default:
			return
		}
	}
}

// writeFrom writes a line and those that wait behind it. An error of the writer has nowhere to be told: the lines count
// as left out.
func (q *AsyncHandler) writeFrom(first []byte) {
	batch, lines := first, uint64(1)
	for len(batch) < batchBytes {
		select {
		case line := <-q.lines.C():
			batch = append(batch, line...)
			lines++
			continue
		default:
		}
		break
	}
	if n := q.leftOut.Swap(0); n > 0 {
		batch = appendLine(batch, &log.Entry{
			Timestamp: q.now(),
			Level:     log.WarnLevel,
			Message:   leftOutEvent,
			Fields:    log.Fields{"lines": n},
		})
	}
	if _, err := q.w.Write(batch); err != nil {
		q.leftOut.Add(lines)
	}
}
