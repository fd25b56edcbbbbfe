package ports

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// lastAssignable is the highest port that the system does not assign by itself.
const lastAssignable = 32_767

// TestTwoProcessesGetDifferentPorts guards against programs that find their port taken at their start: a port was chosen
// and closed again, and another test process, or an outgoing connection, got it in between.
func TestTwoProcessesGetDifferentPorts(t *testing.T) {
	var a, b block
	first, err := a.free(300)
	assert.NilError(t, err)
	second, err := b.free(300)
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = a.guard.Close()
		_ = b.guard.Close()
	})
	used := map[string]bool{}
	for _, addr := range append(first, second...) {
		assert.Check(t, !used[addr], "%s is given out twice", addr)
		used[addr] = true
		tcp, err := net.ResolveTCPAddr("tcp", addr)
		assert.NilError(t, err)
		assert.Check(t, tcp.Port <= lastAssignable, "the system may assign %s to another process", addr)
	}
}

// TestUsedPortIsLeftOut guards against an address on which another program listens already.
func TestUsedPortIsLeftOut(t *testing.T) {
	var b block
	list, err := b.free(1)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = b.guard.Close() })
	l, err := listen(list[0])
	assert.NilError(t, err)
	defer l.Close()
	again, err := b.free(blockSize - 2)
	assert.NilError(t, err)
	for _, addr := range again {
		assert.Check(t, addr != list[0])
	}
	_, err = b.free(blockSize - 1)
	assert.ErrorContains(t, err, "ports are free")
}
