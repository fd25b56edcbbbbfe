// Package logs writes the log of a process without blocking the process.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the log's volume and of its flush at the end.
const (
	// maxQueuedLines bounds the lines that wait to be written. Further lines are dropped and counted.
	maxQueuedLines = 2048
	// In each second, the first sampleFirst lines with the same message are written, then one in sampleThen.
	sampleFirst = 150
	sampleThen  = 20
	// flushTimeout bounds the wait for the queued lines at the end of a process.
	flushTimeout = 300 * time.Millisecond
)

// Sink queues lines and writes them in a goroutine. It is safe for concurrent use.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.loop()
	return s
}

// Write queues a line. It drops the line if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since lines are not buffered beyond the queue.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped because the queue was full.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close waits up to flushTimeout for the queued lines to be written. Write must not be called afterwards.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.lines) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) loop() {
	defer close(s.done)
	for line := range s.lines {
		_, _ = s.out.Write(line) // a failure to write the log cannot be logged
	}
}

// New returns a logger that writes JSON lines of at least the given level to sink, and that level, which may be changed
// later. Many lines with the same message in a second are sampled. It returns an error for an unknown level.
func New(sink *Sink, level string) (*zap.Logger, zap.AtomicLevel, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, l, err
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), sink, l)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThen)), l, nil
}
