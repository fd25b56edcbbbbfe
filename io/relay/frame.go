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

// FirstByte is the first byte of a connection that carries relayed calls. A JSON-RPC connection between entries begins
// with the length of a message, which is never 0, so both protocols can share a port. The frames hold MessagePack:
// encoding them as JSON cost an owner more CPU time than the direct calls that they replace.
const FirstByte = 0

const (
	// maxFrameBytes bounds the size of a frame. The answer to a single poll lists up to 500 run ends.
	maxFrameBytes = 4 << 20
	// frameTimeout bounds the write of one frame.
	frameTimeout = time.Second
	// frameHeaderBytes is the size of the frame header, which holds the length of the body in bytes.
	frameHeaderBytes = 4
)

// writeFrame encodes a message and writes it as one frame. It returns an error if the frame exceeds maxFrameBytes or the
// write takes longer than frameTimeout.
func writeFrame(conn net.Conn, m msgp.Marshaler) error {
	b, err := m.MarshalMsg(make([]byte, frameHeaderBytes))
	if err != nil {
		return err
	}
	if len(b) > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", len(b), maxFrameBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes)) //nolint:gosec // bounded above
	if err := conn.SetWriteDeadline(time.Now().Add(frameTimeout)); err != nil {
		return err
	}
	_, err = conn.Write(b)
	return err
}

// readFrame reads and decodes the next frame. It returns an error if the body exceeds maxFrameBytes or cannot be decoded.
func readFrame(r *bufio.Reader, m msgp.Unmarshaler) error {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", n, maxFrameBytes)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	_, err := m.UnmarshalMsg(body)
	return err
}
