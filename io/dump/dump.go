// Package dump reads, writes and folds the records that the entries have stored in the platform's log, for operators.
package dump

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"sassafrasvalve/platform"
)

// Record is the newest record of a key in a partition.
type Record struct {
	Topic string
	Part  int
	Key   string
	Value []byte
}

// Reader reads the newest records of a partition.
type Reader interface {
	Newest(topic string, part int, deadline time.Time) (platform.Page, error)
}

// Read reads all records that the decisions of the entries depend on: those of the operator, of the VMs and of the
// entries themselves. It returns an error if a partition cannot be read before the deadline.
func Read(r Reader, deadline time.Time) ([]Record, error) {
	var all []Record
	add := func(topic string, part int) error {
		page, err := r.Newest(topic, part, deadline)
		if err != nil {
			return fmt.Errorf("read partition %d of topic %q: %w", part, topic, err)
		}
		for _, rec := range page.Records {
			all = append(all, Record{Topic: topic, Part: part, Key: rec.Key, Value: rec.Value})
		}
		return nil
	}
	for _, topic := range []string{platform.TopicOperator, platform.TopicVMs, platform.TopicOwners, platform.TopicShards} {
		if err := add(topic, 0); err != nil {
			return nil, err
		}
	}
	for _, s := range Fold(all).Shards {
		if err := add(platform.TopicJobs, s.Part); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Write writes records as JSON lines, in the format that Parse reads.
func Write(w io.Writer, all []Record) error {
	enc := json.NewEncoder(w)
	for i := range all {
		if err := enc.Encode(&all[i]); err != nil {
			return fmt.Errorf("write record %q: %w", all[i].Key, err)
		}
	}
	return nil
}

// maxLineBytes bounds a line of a dump. A line holds a record of up to 256 KB in base64, and its names.
const maxLineBytes = 1 << 20

// Parse reads records in the format that Write writes. It returns an error with the number of the first invalid line.
func Parse(r io.Reader) ([]Record, error) {
	var all []Record
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var s Record
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, fmt.Errorf("line %d is not a stored record: %w", n, err)
		}
		all = append(all, s)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the dump: %w", err)
	}
	return all, nil
}
