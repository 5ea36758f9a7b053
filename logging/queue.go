package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/ring"
)

// Bounds on the log lines of one process.
const (
	// queueCapacity is the number of lines that may wait to be written: several seconds' worth of a busy process. A line
	// takes about a quarter of a kilobyte.
	queueCapacity = 2048
	// infoQueueLimit is the number of waiting lines from which lines of level info and below are dropped. The rest of the
	// capacity is reserved for warnings and errors.
	infoQueueLimit = queueCapacity * 3 / 4
	// infoLinesPerSecond bounds the lines of level info and below in one second. A busy entry writes about a hundred.
	infoLinesPerSecond = 1000
	// batchBytes is the size from which no further lines are added to a batch, which is written in one call.
	batchBytes = 32 << 10
	// closeTimeout bounds how long Close waits for the writer, which blocks if the reader of the log has stopped reading.
	closeTimeout = 200 * time.Millisecond
)

// droppedEvent is the event of the line that gives the number of lines dropped before it.
const droppedEvent = "log_lines_left_out"

// AsyncHandler is a log.Handler that never blocks its callers: lines go to a bounded ring, and a goroutine writes them.
// Any number of goroutines may use it.
//
// With synchronous writes, a reader of the log that stops reading would stall the process: the pipe fills up, and the
// next line blocks the scheduler, so that the process neither answers nor logs. Lines that don't fit are dropped and
// counted, and the count is logged as a line of its own.
type AsyncHandler struct {
	w         io.Writer
	now       func() time.Time
	lines     *ring.Ring[[]byte]
	done      chan struct{}
	stop      chan struct{}
	closeOnce sync.Once

	dropped          atomic.Uint64 // lines dropped since the last droppedEvent line
	rateSecond       atomic.Int64  // Unix second that admittedInSecond counts for
	admittedInSecond atomic.Int64  // lines of level info and below in rateSecond
}

// NewAsyncHandler returns a handler that writes to w, and starts its goroutine. Close ends the goroutine.
func NewAsyncHandler(w io.Writer) *AsyncHandler {
	q := &AsyncHandler{
		w:     w,
		now:   time.Now,
		lines: ring.New[[]byte]("log", queueCapacity),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go q.run()
	return q
}

// HandleLog implements log.Handler. It never blocks and always returns nil; a line that exceeds the bounds is dropped.
func (q *AsyncHandler) HandleLog(e *log.Entry) error {
	if e.Level <= log.InfoLevel && !q.admitsInfo() || !q.lines.TryPush(appendLine(nil, e)) {
		q.dropped.Add(1)
	}
	return nil
}

// admitsInfo reports whether one more line of level info or below is within the bounds, and counts it if so.
func (q *AsyncHandler) admitsInfo() bool {
	if q.lines.Len() >= infoQueueLimit {
		return false
	}
	if second := q.now().Unix(); q.rateSecond.Swap(second) != second {
		q.admittedInSecond.Store(0)
	}
	return q.admittedInSecond.Add(1) <= infoLinesPerSecond
}

// Close writes the waiting lines and ends the goroutine. It returns after closeTimeout if the writer still blocks.
func (q *AsyncHandler) Close() {
	q.closeOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}

// run writes lines in batches until Close is called.
func (q *AsyncHandler) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines.C():
			q.writeBatch(line)
		case <-q.stop:
			q.drain()
			return
		}
	}
}

// drain writes all lines that are waiting.
func (q *AsyncHandler) drain() {
	for {
		select {
		case line := <-q.lines.C():
			q.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line and those that wait behind it, up to about batchBytes. An error of the writer can't be
// reported anywhere: the lines count as dropped.
func (q *AsyncHandler) writeBatch(first []byte) {
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
	if n := q.dropped.Swap(0); n > 0 {
		batch = appendLine(batch, &log.Entry{
			Timestamp: q.now(),
			Level:     log.WarnLevel,
			Message:   droppedEvent,
			Fields:    log.Fields{"lines": n},
		})
	}
	if _, err := q.w.Write(batch); err != nil {
		q.dropped.Add(lines)
	}
}
