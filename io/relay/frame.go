package relay

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// FirstByte is the first byte of a connection that carries relayed calls. JSON-RPC between entries begins with the length
// of a message, which is never 0, so both share a port. The bodies are MessagePack: as JSON they took an owner more
// processor time than the calls that they replace.
const FirstByte = 0

const (
	// maxFrame bounds a frame, in bytes; an answer to a poll lists up to 500 ends.
	maxFrame = 4 << 20
	// frameTimeout bounds the write of a frame.
	frameTimeout = time.Second
	// frameHead is the length of a frame's head, which holds the length of its body.
	frameHead = 4
)

// writeFrame writes a message behind its length.
func writeFrame(conn net.Conn, m msgp.Marshaler) error {
	b, err := m.MarshalMsg(make([]byte, frameHead))
	if err != nil {
		return err
	}
	if len(b) > maxFrame {
		return fmt.Errorf("frame of %d bytes, at most %d are allowed", len(b), maxFrame)
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHead)) //nolint:gosec // bounded above
	if err := conn.SetWriteDeadline(time.Now().Add(frameTimeout)); err != nil {
		return err
	}
	_, err = conn.Write(b)
	return err
}

// readFrame reads the next message. It returns an error for one that is too large or cannot be decoded.
func readFrame(r *bufio.Reader, m msgp.Unmarshaler) error {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return fmt.Errorf("frame of %d bytes, at most %d are allowed", n, maxFrame)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	_, err := m.UnmarshalMsg(body)
	return err
}
