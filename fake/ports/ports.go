// Package ports hands out loopback addresses for the programs that tests start as separate processes.
package ports

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports lie below those that Linux assigns to outgoing connections and to listeners on port 0 (32768 and above). A
// port that was assigned by the system and closed again may be taken by another process before its program starts.
const (
	firstPort   = 10_000
	blockSize   = 1000
	blockCount  = 22
	loopback    = "127.0.0.1"
	maxAttempts = blockSize // to find a port that no other program uses
)

// block is the range of ports that this process uses. The listener on its first port keeps other test processes from
// using the same block.
type block struct {
	mu    sync.Mutex
	guard net.Listener // nil until the first call of Free
	first int
	next  int // offset of the next port within the block
}

var own block

// Free returns n addresses on which nothing listens and which no other test process gets meanwhile. It returns an error
// if all blocks of ports or all ports of the block are in use.
func Free(n int) ([]string, error) { return own.free(n) }

func (b *block) free(n int) ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.reserve(); err != nil {
		return nil, err
	}
	list := make([]string, 0, n)
	for range maxAttempts {
		if len(list) == n {
			return list, nil
		}
		b.next = b.next%(blockSize-1) + 1
		addr := fmt.Sprintf("%s:%d", loopback, b.first+b.next)
		if l, err := listen(addr); err == nil {
			_ = l.Close()
			list = append(list, addr)
		}
	}
	return nil, fmt.Errorf("only %d of %d ports are free between %d and %d", len(list), n, b.first, b.first+blockSize-1)
}

// reserve chooses a block that no other process has reserved. Without the random start all test processes would try the
// same blocks first.
func (b *block) reserve() error {
	if b.guard != nil {
		return nil
	}
	start := rand.N(blockCount)
	var err error
	for i := range blockCount {
		b.first = firstPort + (start+i)%blockCount*blockSize
		if b.guard, err = listen(fmt.Sprintf("%s:%d", loopback, b.first)); err == nil {
			return nil
		}
	}
	b.guard = nil
	return fmt.Errorf("all %d blocks of ports are reserved: %w", blockCount, err)
}

func listen(addr string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
}
