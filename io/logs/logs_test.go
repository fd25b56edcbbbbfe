package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks while its mutex is held.
type blockedWriter struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

// TestSinkNeverBlocks guards against a process that stalls because the reader of its log blocks.
func TestSinkNeverBlocks(t *testing.T) {
	w := &blockedWriter{}
	w.mu.Lock()
	s := NewSink(w)
	start := time.Now()
	for range 3 * maxQueuedLines {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Assert(t, s.Dropped() >= maxQueuedLines, "%d lines dropped", s.Dropped())
	w.mu.Unlock()
	s.Close()
	assert.Assert(t, strings.Count(w.out.String(), "line\n") >= maxQueuedLines)
}

// TestRepeatedMessagesAreSampled guards against a log whose volume grows with the load.
func TestRepeatedMessagesAreSampled(t *testing.T) {
	w := &blockedWriter{}
	s := NewSink(w)
	log, _, err := New(s, "info")
	assert.NilError(t, err)
	for i := range 1000 {
		log.Info("the same message", zap.Int("i", i))
	}
	s.Close()
	n := strings.Count(w.out.String(), "\n")
	assert.Assert(t, n >= sampleFirst && n < 400, "%d lines", n)
}

// TestUnknownLevelIsRejected guards against an unknown level that is silently replaced by another.
func TestUnknownLevelIsRejected(t *testing.T) {
	_, _, err := New(NewSink(&blockedWriter{}), "loud")
	assert.ErrorContains(t, err, "loud")
}
