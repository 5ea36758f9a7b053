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

// gatedWriter is a reader of the log that reads only once it is opened.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *gatedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Symptom: an entry answers nobody any more, and writes no line that says why. Sequence: whoever reads the log stops
// reading; the pipe is full; a duty writes its next line. Cause: lines written by those who make them.
func TestReaderThatStoppedReadingCostsLinesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &gatedWriter{open: make(chan struct{})}
		q := NewAsyncHandler(w)
		logger := &log.Logger{Handler: q, Level: log.InfoLevel}
		for range 4 * queueLines {
			logger.Info("ordinary")
		}
		logger.Warn("kept")
		close(w.open)
		synctest.Wait()
		q.Close()
		require.Contains(t, w.String(), "event=kept", "room is kept for warnings")
		require.Contains(t, w.String(), "event="+leftOutEvent)
		require.LessOrEqual(t, strings.Count(w.String(), "event=ordinary"), linesPerSecond)
	})
}

func TestLinesOfASecondAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		q := NewAsyncHandler(&out)
		logger := &log.Logger{Handler: q, Level: log.InfoLevel}
		for range 2 {
			for range linesPerSecond + 50 {
				logger.Info("ordinary")
				synctest.Wait()
			}
			time.Sleep(time.Second)
		}
		logger.Info("last")
		synctest.Wait()
		q.Close()
		require.Equal(t, 2*linesPerSecond, strings.Count(out.String(), "event=ordinary"))
		require.Contains(t, out.String(), "lines=50")
	})
}

func TestCloseDoesNotWaitForAReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &gatedWriter{open: make(chan struct{})}
		q := NewAsyncHandler(w)
		(&log.Logger{Handler: q, Level: log.InfoLevel}).Info("a")
		synctest.Wait()
		began := time.Now()
		q.Close()
		require.Equal(t, closeWait, time.Since(began))
		close(w.open)
	})
}

func TestWriterThatFailsCountsAsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		require.NoError(t, r.CloseWithError(errors.New("gone")))
		q := NewAsyncHandler(w)
		require.NoError(t, q.HandleLog(&log.Entry{Level: log.WarnLevel}))
		synctest.Wait()
		require.EqualValues(t, 1, q.leftOut.Load())
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
