// Package logs writes a process's log without ever blocking the process.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Volume of the log.
const (
	// linesWaiting bounds the lines that wait to be written. More are dropped and counted.
	linesWaiting = 2048
	// sampleFirst lines of one message are written in each second, and one in sampleThen of the others.
	sampleFirst = 150
	sampleThen  = 20
	// flushWait bounds the wait for the last lines at the end of a process.
	flushWait = 300 * time.Millisecond
)

// Sink hands lines to a writer in a loop of its own. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, linesWaiting), done: make(chan struct{})}
	go s.loop()
	return s
}

// Write queues a line. A line that finds no room is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that found no room.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits, for a short time. Nothing may be written afterwards.
func (s *Sink) Close() {
	s.closing.Do(func() { close(s.lines) })
	timer := time.NewTimer(flushWait)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) loop() {
	defer close(s.done)
	for line := range s.lines {
		_, _ = s.out.Write(line) // a log that cannot be written has nowhere to say so
	}
}

// New returns a logger that writes JSON lines to sink from a level on, and the level, which may be changed.
// Lines of one message are thinned out when there are many in a second.
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
