package ring

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against values that are lost, repeated or returned out of order, by comparing random calls with a slice.
func TestRingMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		r, model, closed := New[int](size), []int(nil), false
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				v := rapid.Int().Draw(t, "v")
				ok := r.TryPut(v)
				assert.Equal(t, ok, !closed && len(model) < size)
				if ok {
					model = append(model, v)
				}
			},
			"get": func(t *rapid.T) {
				v, err := r.Get(cancelled)
				switch {
				case len(model) > 0:
					assert.NilError(t, err)
					assert.Equal(t, v, model[0])
					model = model[1:]
				case closed:
					assert.ErrorIs(t, err, ErrClosed)
				default:
					assert.ErrorIs(t, err, context.Canceled)
				}
			},
			"close": func(*rapid.T) {
				r.Close()
				closed = true
			},
			"": func(t *rapid.T) { assert.Equal(t, r.Len(), len(model)) },
		})
	})
}

// Guards against lost wake-ups and lost or repeated values when many goroutines put and get.
func TestConcurrentPutAndGetKeepEachValue(t *testing.T) {
	const producers, each = 4, 2000
	r := New[int](3)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var put, got sync.WaitGroup
	var mu sync.Mutex
	seen := map[int]bool{}
	for p := range producers {
		put.Go(func() {
			for i := range each {
				assert.Check(t, r.Put(ctx, p*each+i))
			}
		})
		got.Go(func() {
			for {
				v, err := r.Get(ctx)
				if err != nil {
					assert.Check(t, errors.Is(err, ErrClosed), "%v", err)
					return
				}
				mu.Lock()
				assert.Check(t, !seen[v])
				seen[v] = true
				mu.Unlock()
			}
		})
	}
	put.Wait()
	r.Close()
	got.Wait()
	assert.Equal(t, len(seen), producers*each)
}

// Guards against goroutines that wait forever in Put or Get on a closed ring.
func TestCloseWakesAll(t *testing.T) {
	full, empty := New[int](1), New[int](1)
	assert.Assert(t, full.TryPut(1))
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { assert.Check(t, errors.Is(full.Put(context.Background(), 2), ErrClosed)) })
		wg.Go(func() {
			_, err := empty.Get(context.Background())
			assert.Check(t, errors.Is(err, ErrClosed))
		})
	}
	time.Sleep(20 * time.Millisecond)
	full.Close()
	empty.Close()
	wg.Wait()
}

// Guards against a goroutine that waits although the ring has a value or a free place. It comes about when two
// goroutines have found the ring empty (or full) but do not wait yet, and two values are put (or removed) in between:
// the channel holds only one wake-up.
func TestWakeUpIsPassedOn(t *testing.T) {
	r := New[int](2)
	assert.Assert(t, r.TryPut(1) && r.TryPut(2))
	for range 2 {
		assert.Equal(t, len(r.filled), 1)
		<-r.filled
		_, ok, _ := r.get()
		assert.Assert(t, ok)
	}
	for i := range 2 {
		assert.Equal(t, len(r.freed), 1)
		<-r.freed
		ok, _ := r.put(i)
		assert.Assert(t, ok)
	}
}
