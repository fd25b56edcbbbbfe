package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// checksumDigits is the length of the hexadecimal xxhash before the JSON of a record.
// Without the checksum, a record with a flipped digit in a number would decode as valid.
const checksumDigits = 16

// Encode returns the encoding of a record in the log: its checksum, a space and its JSON.
func Encode(r Record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %q: %w", r.ID, err)
	}
	return append(fmt.Appendf(nil, "%0*x ", checksumDigits, xxhash.Sum64(body)), body...), nil
}

// Decode decodes a record of the log. It returns an error if the checksum
// does not match or the JSON is not a record.
func Decode(data []byte) (Record, error) {
	head, body, ok := bytes.Cut(data, []byte(" "))
	if !ok || len(head) != checksumDigits {
		return Record{}, fmt.Errorf("record of %d bytes has no checksum", len(data))
	}
	sum, err := strconv.ParseUint(string(head), 16, 64)
	if err != nil {
		return Record{}, fmt.Errorf("record checksum: %w", err)
	}
	if got := xxhash.Sum64(body); got != sum {
		return Record{}, fmt.Errorf("record checksum is %x, its data has %x", sum, got)
	}
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}

// payload states whether a record has the payload field of a kind.
type payload struct {
	kind Kind
	set  bool
}

// payloads returns an element for each kind, in the order of their indexes in snapshots.
func (r Record) payloads() []payload {
	return []payload{
		{KindConfigure, r.Configure != nil},
		{KindJoin, r.Join != nil},
		{KindSuspect, r.Suspect != nil},
		{KindEvict, r.Evict != nil},
		{KindFence, r.Fence != nil},
		{KindLeave, r.Leave != nil},
		{KindAck, r.Ack != nil},
		{KindObserve, r.Observe != nil},
		{KindDrain, r.Drain != nil},
		{KindAssign, r.Assign != nil},
		{KindReboot, r.Reboot != nil},
		{KindActivate, r.Activate != nil},
		{KindFail, r.Fail != nil},
		{KindRemove, r.Remove != nil},
		{KindWave, r.Wave != nil},
		{KindJob, r.Job != nil},
		{KindJobStart, r.JobStart != nil},
		{KindJobDone, r.JobDone != nil},
		{KindSnapshot, r.Snapshot != nil},
	}
}

// check returns an error unless the record has an ID and only the payload of its kind.
func (r Record) check() error {
	if r.ID == "" {
		return fmt.Errorf("record of kind %s has no ID", r.Kind)
	}
	for _, p := range r.payloads() {
		if p.set != (p.kind == r.Kind) {
			return fmt.Errorf("record of kind %s: payload %s must be set: %t", r.Kind, p.kind, p.kind == r.Kind)
		}
	}
	return nil
}

func knownKind(k Kind) bool { return kindIndex(k) >= 0 }

// kindIndex returns the index of a kind in payloads, or -1 for an unknown kind.
// Snapshots store the index, so new kinds must be appended to the list.
func kindIndex(k Kind) int {
	for i, p := range (Record{}).payloads() {
		if p.kind == k {
			return i
		}
	}
	return -1
}
