package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// stalledWriter blocks all writes until resume is closed, as a pipe does whose reader has stopped reading.
type stalledWriter struct {
	resume chan struct{}
	mu     sync.Mutex
	text   bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.resume
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *stalledWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Guards against a process that neither answers nor logs because the reader of its log has stopped reading: the pipe
// fills up, and a synchronous write of the next line blocks the scheduler.
func TestStalledReaderDropsLinesWithoutBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stalledWriter{resume: make(chan struct{})}
		q := NewAsyncHandler(w)
		logger := &log.Logger{Handler: q, Level: log.InfoLevel}
		for range 4 * queueCapacity {
			logger.Info("ordinary")
		}
		logger.Warn("kept")
		close(w.resume)
		synctest.Wait()
		q.Close()
		require.Contains(t, w.String(), "event=kept", "capacity is reserved for warnings")
		require.Contains(t, w.String(), "event="+droppedEvent)
		require.LessOrEqual(t, strings.Count(w.String(), "event=ordinary"), infoLinesPerSecond)
	})
}

// Guards against a process that floods its log: lines of level info above the rate are dropped and counted.
func TestInfoLinesPerSecondAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		q := NewAsyncHandler(&out)
		logger := &log.Logger{Handler: q, Level: log.InfoLevel}
		for range 2 {
			for range infoLinesPerSecond + 50 {
				logger.Info("ordinary")
				synctest.Wait()
			}
			time.Sleep(time.Second)
		}
		logger.Info("last")
		synctest.Wait()
		q.Close()
		require.Equal(t, 2*infoLinesPerSecond, strings.Count(out.String(), "event=ordinary"))
		require.Contains(t, out.String(), "lines=50")
	})
}

// Guards against a process that can't exit because the reader of its log has stopped reading.
func TestCloseTimesOutOnStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stalledWriter{resume: make(chan struct{})}
		q := NewAsyncHandler(w)
		(&log.Logger{Handler: q, Level: log.InfoLevel}).Info("a")
		synctest.Wait()
		start := time.Now()
		q.Close()
		require.Equal(t, closeTimeout, time.Since(start))
		close(w.resume)
	})
}

// Guards against lines that are lost in a failed write without being counted.
func TestFailedWriteCountsAsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		require.NoError(t, r.CloseWithError(errors.New("gone")))
		q := NewAsyncHandler(w)
		require.NoError(t, q.HandleLog(&log.Entry{Level: log.WarnLevel}))
		synctest.Wait()
		require.EqualValues(t, 1, q.dropped.Load())
		q.Close()
	})
}

func BenchmarkQueue(b *testing.B) {
	q := NewAsyncHandler(io.Discard)
	defer q.Close()
	logger := &log.Logger{Handler: q, Level: log.InfoLevel}
	b.ReportAllocs()
	for b.Loop() {
		logger.WithField("request", "5f3a").WithField("ms", 12).Info("request_answered")
	}
}
