package entry

import (
	"context"
	"sync"
	"time"
)

// watch ends an attempt that gets no response header in time: at the caller's deadline, or without one
// after the response wait, counted from the caller's last progress in sending the body.
// Once the header has come, nothing bounds the response but the idle times.
type watch struct {
	mu     sync.Mutex
	timer  *time.Timer
	ended  bool
	in     *input
	wait   time.Duration
	cancel context.CancelCauseFunc
}

func (s *Server) watch(q *request, in *input, cancel context.CancelCauseFunc) *watch {
	w := &watch{in: in, wait: s.cfg.ResponseWait, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.explicit {
		w.timer = time.AfterFunc(q.deadline.Sub(s.now()), func() { cancel(errDeadline) })
	} else {
		w.timer = time.AfterFunc(w.wait, w.expire)
	}
	return w
}

func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if last, eof := w.in.progress(); !eof {
		if left := time.Until(last.Add(w.wait)); left > 0 {
			w.timer.Reset(left)
			return
		}
	}
	w.cancel(errDeadline)
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}
