// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Put on a closed ring, and by Get once a closed ring is empty.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	// filled and freed each hold a wake-up for one waiting goroutine. A goroutine that is woken up signals the next
	// one if further values, or further free places, remain.
	filled chan struct{}
	freed  chan struct{}
	done   chan struct{} // closed by Close

	mu     sync.Mutex
	buf    []T
	head   int // index of the oldest value
	n      int
	closed bool
}

// New returns a ring that holds up to size values. It panics if size is less than 1.
func New[T any](size int) *Ring[T] {
	if size < 1 {
		panic("ring: size is less than 1")
	}
	return &Ring[T]{
		filled: make(chan struct{}, 1),
		freed:  make(chan struct{}, 1),
		done:   make(chan struct{}),
		buf:    make([]T, size),
	}
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// Cap returns the number of values that the ring can hold.
func (r *Ring[T]) Cap() int { return len(r.buf) }

// TryPut adds a value without waiting. It returns false if the ring is full or closed.
func (r *Ring[T]) TryPut(v T) bool {
	ok, _ := r.put(v)
	return ok
}

// Put adds a value, and waits while the ring is full. If it returns ErrClosed or the error of ctx, the value was not
// added.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	for {
		ok, closed := r.put(v)
		switch {
		case ok:
			return nil
		case closed:
			return ErrClosed
		}
		select {
		case <-r.freed:
		case <-r.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Ring[T]) put(v T) (ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.n == len(r.buf) {
		return false, r.closed
	}
	r.buf[(r.head+r.n)%len(r.buf)] = v
	r.n++
	r.signal()
	return true, false
}

// Get removes and returns the oldest value, and waits while the ring is empty. It returns ErrClosed if the ring is
// closed and empty, or the error of ctx.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		v, ok, closed := r.get()
		switch {
		case ok:
			return v, nil
		case closed:
			return v, ErrClosed
		}
		select {
		case <-r.filled:
		case <-r.done:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

func (r *Ring[T]) get() (v T, ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == 0 {
		return v, false, r.closed
	}
	var zero T
	v, r.buf[r.head] = r.buf[r.head], zero // release the reference to the value
	r.head = (r.head + 1) % len(r.buf)
	r.n--
	r.signal()
	return v, true, false
}

// signal wakes one goroutine in Get if there are values, and one in Put if the ring is not full. It must be called
// with mu held.
func (r *Ring[T]) signal() {
	if r.n > 0 {
		wake(r.filled)
	}
	if r.n < len(r.buf) {
		wake(r.freed)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Close makes Put fail. Get still returns the values in the ring. A second Close has no effect.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}
