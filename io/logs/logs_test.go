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

// stuck is a writer that does not return until it is let go.
type stuck struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

// TestSinkNeverBlocks guards against a process that stands still because nobody reads its log.
func TestSinkNeverBlocks(t *testing.T) {
	w := &stuck{}
	w.mu.Lock()
	s := NewSink(w)
	begun := time.Now()
	for range 3 * linesWaiting {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begun) < time.Second)
	assert.Assert(t, s.Dropped() >= linesWaiting, "%d lines dropped", s.Dropped())
	w.mu.Unlock()
	s.Close()
	assert.Assert(t, strings.Count(w.out.String(), "line\n") >= linesWaiting)
}

// TestManyLinesAreThinnedOut guards against a log whose volume grows with the load.
func TestManyLinesAreThinnedOut(t *testing.T) {
	w := &stuck{}
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

// TestLevelIsChecked guards against an unknown level that is taken for another.
func TestLevelIsChecked(t *testing.T) {
	_, _, err := New(NewSink(&stuck{}), "loud")
	assert.ErrorContains(t, err, "loud")
}
