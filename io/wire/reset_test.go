package wire

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestClosedConnectionIsReset guards against a call that arrives after it was given up: the connection ends with its bytes still on their
// way, because it is closed, or because its process stands still and cannot close it.
func TestClosedConnectionIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, ResetOnClose(conn))
	peer, err := l.Accept()
	assert.NilError(t, err)
	defer peer.Close()

	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var boundMs int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		boundMs, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, err)
	assert.Equal(t, int64(boundMs), unacknowledgedTimeout.Milliseconds())

	_, err = conn.Write([]byte("order"))
	assert.NilError(t, err)
	_, err = io.ReadFull(peer, make([]byte, len("order")))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.NilError(t, peer.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = peer.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// TestOtherConnectionsStayAsTheyAre guards against a connection that is refused because it is not TCP.
func TestOtherConnectionsStayAsTheyAre(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	assert.NilError(t, ResetOnClose(a))
}
