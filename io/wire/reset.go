package wire

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is the time after which the kernel resets a connection whose sent bytes are not acknowledged. It is shorter than
// the time after which a next owner acts, so that a call of an owner that stands still isn't delivered after it.
const unacknowledgedTimeout = 2 * time.Second

// ResetOnClose makes a connection end with a TCP reset, when it is closed and when its process ends. A closed connection would leave
// what was written to the kernel, which delivers it once a partition ends: an order that was given up would arrive after those of
// the next owner. It also bounds the time for which bytes stay unacknowledged. Connections other than TCP stay as they are.
func ResetOnClose(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetLinger(0); err != nil {
		return fmt.Errorf("set linger: %w", err)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("set timeout of unacknowledged bytes: %w", err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err := errors.Join(err, setErr); err != nil && !errors.Is(err, syscall.ENOPROTOOPT) {
		return fmt.Errorf("set timeout of unacknowledged bytes: %w", err)
	}
	return nil
}
