// Package dedup decides, by idempotency keys kept in a region's entries, that a request with a key runs at most once.
package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// digest is the first half of a SHA-256 sum. SHA-256 is used because callers choose the input: with a fast hash
// such as xxhash, a tenant could construct a key that collides with another tenant's.
type digest [16]byte

// Key identifies an idempotency key within its tenant and service.
type Key digest

// Fingerprint identifies the content of a request: its method, path, query and body.
type Fingerprint digest

// NewKey returns the identity of an idempotency key within a tenant and service.
func NewKey(tenant, service, key string) Key {
	return Key(sum([]byte(tenant), []byte(service), []byte(key)))
}

// NewFingerprint returns the fingerprint of a request. Length is the body length in bytes, or -1 if unknown.
// A nil body is one that was not buffered in full; its content is then not part of the fingerprint.
func NewFingerprint(method, path, query string, length int64, body []byte) Fingerprint {
	n := binary.BigEndian.AppendUint64(nil, uint64(length)) //nolint:gosec // -1 has its own bit pattern
	return Fingerprint(sum([]byte(method), []byte(path), []byte(query), n, body))
}

// sum hashes the parts with their lengths, so that different lists of parts never hash the same bytes.
func sum(parts ...[]byte) digest {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		_, _ = h.Write(p)
	}
	return digest(h.Sum(nil)[:len(digest{})])
}

// KeyTime returns the time in a UUIDv7, or the zero time for any other key.
func KeyTime(key string) time.Time {
	if len(key) != 36 {
		return time.Time{}
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	var b [8]byte
	copy(b[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:]))).UTC() //nolint:gosec // 48 bits
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText encodes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return encodeHex(digest(k)), nil }

// UnmarshalText decodes 32 hexadecimal digits.
func (k *Key) UnmarshalText(b []byte) error { return decodeHex((*digest)(k), b) }

// MarshalText encodes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return encodeHex(digest(f)), nil }

// UnmarshalText decodes 32 hexadecimal digits.
func (f *Fingerprint) UnmarshalText(b []byte) error { return decodeHex((*digest)(f), b) }

func encodeHex(d digest) []byte { return hex.AppendEncode(nil, d[:]) }

func decodeHex(d *digest, b []byte) error {
	if len(b) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("%d bytes where 32 hexadecimal digits are expected", len(b))
	}
	_, err := hex.Decode(d[:], b)
	return err
}
