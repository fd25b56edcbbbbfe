package entry

import (
	"context"
	"sync"
	"time"
)

// headerTimer cancels an attempt that gets no response header in time. The limit is the caller's deadline. Without
// one it is ResponseHeaderTimeout from the start of the attempt. If the caller is still sending the body by then, it is
// extended to ResponseHeaderTimeout after the caller's last progress.
// Once the header has arrived, only the idle timeouts bound the response.
type headerTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	in      *input
	wait    time.Duration
	cancel  context.CancelCauseFunc
}

func (s *Server) startHeaderTimer(q *request, in *input, cancel context.CancelCauseFunc) *headerTimer {
	t := &headerTimer{in: in, wait: s.cfg.ResponseHeaderTimeout, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.hasCallerDeadline {
		t.timer = time.AfterFunc(q.deadline.Sub(s.now()), func() { cancel(errDeadlinePassed) })
	} else {
		t.timer = time.AfterFunc(t.wait, t.expire)
	}
	return t
}

func (t *headerTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if last, eof := t.in.progress(); !eof {
		if left := time.Until(last.Add(t.wait)); left > 0 {
			t.timer.Reset(left)
			return
		}
	}
	t.cancel(errDeadlinePassed)
}

func (t *headerTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
