package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// ErrTooLarge is returned for a message above the size limit.
var ErrTooLarge = errors.New("message is too large")

// stream is a jsonrpc2.ObjectStream on a connection. Its wire format is that of the library's VarintObjectCodec: the length
// of each message precedes it. That format has the smallest frames of the library's codecs, and unlike the plain one it
// allows refusing a message that is too large before reading it. The library's implementation has no size limit and
// leaves the rest of a frame that holds more than one JSON value unread.
type stream struct {
	conn    net.Conn
	r       *bufio.Reader
	limits  limits
	counter frameCounter
}

// limits bound the messages of a connection.
type limits struct {
	size    int           // of a message, in bytes
	idle    time.Duration // between two messages from the other side; 0 for no limit
	message time.Duration // from the first byte of a received message to its last
	write   time.Duration // for the write of one message
}

// frameCounter counts the bytes of each frame on the wire.
type frameCounter interface {
	countRead(size int)
	countWritten(size int)
}

func newStream(conn net.Conn, l limits, c frameCounter) *stream {
	return &stream{conn: conn, r: bufio.NewReader(conn), limits: l, counter: c}
}

// ReadObject reads the next message into v.
func (s *stream) ReadObject(v any) error {
	var idle time.Time
	if s.limits.idle > 0 {
		idle = time.Now().Add(s.limits.idle)
	}
	if err := s.conn.SetReadDeadline(idle); err != nil {
		return err
	}
	if _, err := s.r.Peek(1); err != nil {
		return err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.message)); err != nil {
		return err
	}
	data, head, err := readFrame(s.r, s.limits.size)
	if err != nil {
		return err
	}
	s.counter.countRead(head + len(data))
	return json.Unmarshal(data, v)
}

// readFrame returns the next message and the length of its frame header in bytes.
func readFrame(r *bufio.Reader, limit int) (data []byte, head int, err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if size > uint64(limit) {
		return nil, 0, fmt.Errorf("%w: %d bytes of at most %d", ErrTooLarge, size, limit)
	}
	data = make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, 0, err
	}
	return data, len(binary.AppendUvarint(nil, size)), nil
}

// WriteObject writes v as one message. It closes the connection if the write fails, since the other side may have received
// a part of the message. It must not be called concurrently.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > s.limits.size {
		return fmt.Errorf("%w: %d bytes of at most %d", ErrTooLarge, len(data), s.limits.size)
	}
	frame := append(binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data))), data...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.write)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		_ = s.conn.Close()
		return err
	}
	s.counter.countWritten(len(frame))
	return nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
