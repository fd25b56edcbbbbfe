package peer

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/io/oplog"
)

const (
	maxRelayBytes   = 512 << 10 // of one response, before base64
	maxRelayRecords = 512       // of one response
	noAge           = -1
)

// RecordsRequest asks for the records from an offset on.
type RecordsRequest struct {
	From int64
	Max  int
}

// RecordsReply is the response to GetRecords.
type RecordsReply struct {
	Records []oplog.Entry // consecutive from the wanted offset on
	End     int64         // offset that the peer has folded up to, exclusive
	AgeMS   int64         // since the peer's last read that reached the end of the log began; -1 without one
}

// RecordBuffer keeps the newest records that this entry has folded, and serves GetRecords from them.
type RecordBuffer struct {
	clock   clock.Clock
	records int // limit
	size    int // limit in bytes

	mu      sync.Mutex
	entries []oplog.Entry
	bytes   int
	next    int64
	fresh   time.Time // when the last read that reached the end of the log began
}

// NewRecordBuffer returns an empty buffer at offset next that keeps up to the given number of records and bytes.
func NewRecordBuffer(clk clock.Clock, next int64, records, size int) *RecordBuffer {
	return &RecordBuffer{clock: clk, next: next, records: records, size: size}
}

// Add takes a batch after it was folded. A batch that does not follow on, as after a snapshot, replaces all others.
func (t *RecordBuffer) Add(b oplog.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if start := b.Next - int64(len(b.Records)); start != t.next {
		t.entries, t.bytes = nil, 0
	}
	for _, e := range b.Records {
		t.entries = append(t.entries, e)
		t.bytes += len(e.Data)
	}
	t.next = b.Next
	drop := 0
	for drop < len(t.entries) && (len(t.entries)-drop > t.records || t.bytes > t.size) {
		t.bytes -= len(t.entries[drop].Data)
		drop++
	}
	t.entries = t.entries[drop:]
	if b.Fresh() && b.Began.After(t.fresh) {
		t.fresh = b.Began
	}
}

// Handle is the Handler of MethodGetRecords.
func (t *RecordBuffer) Handle(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req RecordsRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.next - int64(len(t.entries))
	if req.From < first {
		return nil, &jsonrpc2.Error{Code: CodeGone, Message: "records are no longer held"}
	}
	reply := RecordsReply{Records: []oplog.Entry{}, End: t.next, AgeMS: noAge}
	if !t.fresh.IsZero() {
		reply.AgeMS = max(0, t.clock.Now().Sub(t.fresh).Milliseconds()+1) // rounded up
	}
	size := 0
	for i := req.From - first; i < int64(len(t.entries)) && len(reply.Records) < min(req.Max, maxRelayRecords); i++ {
		e := t.entries[i]
		if size += len(e.Data); size > maxRelayBytes && len(reply.Records) > 0 {
			break
		}
		reply.Records = append(reply.Records, e)
	}
	return reply, nil
}

// FetchRecords reads up to limit records of a peer's buffer from an offset on. The batch began when the peer's
// own read did, at the latest possible age; it is not fresh if the peer has not reached the end of the log.
func FetchRecords(ctx context.Context, p *Pool, clk clock.Clock, addr string, from int64, limit int) (oplog.Batch, error) {
	sent := clk.Now()
	var reply RecordsReply
	if err := p.Call(ctx, addr, MethodGetRecords, RecordsRequest{from, limit}, &reply); err != nil {
		return oplog.Batch{}, err
	}
	b, err := reply.batch(from, limit, sent)
	return b, eris.Wrapf(err, "records from peer %s", addr)
}

// batch checks a reply to a request for records that was sent at a time.
func (r *RecordsReply) batch(from int64, limit int, sent time.Time) (oplog.Batch, error) {
	if len(r.Records) > limit {
		return oplog.Batch{}, eris.Errorf("%d records of at most %d", len(r.Records), limit)
	}
	for i, e := range r.Records {
		if e.Offset != from+int64(i) {
			return oplog.Batch{}, eris.Errorf("record %d from offset %d on has offset %d", i, from, e.Offset)
		}
	}
	next := from + int64(len(r.Records))
	if len(r.Records) > 0 && next > r.End {
		return oplog.Batch{}, eris.Errorf("records end at %d, past the peer's end at %d", next, r.End)
	}
	b := oplog.Batch{Began: sent, Records: r.Records, Next: next, End: r.End}
	// The bound keeps the age from overflowing a duration. A read of that age renews no lease.
	age := time.Duration(min(r.AgeMS, math.MaxInt32)) * time.Millisecond
	if age < 0 || from > r.End {
		b.End = math.MaxInt64 // not fresh: the peer knows less than this entry, or not whether it is at the end
		return b, nil
	}
	b.Began = sent.Add(-age)
	return b, nil
}
