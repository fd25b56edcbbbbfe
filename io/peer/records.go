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
	maxReplyBytes   = 512 << 10 // of one response, before base64
	maxReplyRecords = 512       // of one response
	noAge           = -1        // RecordsReply.AgeMS if no read reached the end of the log
)

// RecordsRequest requests up to Max records from an offset on.
type RecordsRequest struct {
	From int64
	Max  int
}

// RecordsReply is the response to GetRecords.
type RecordsReply struct {
	Records []oplog.Entry // consecutive from the requested offset on
	End     int64         // offset after the last record that the peer has folded
	AgeMS   int64         // time since the peer sent its last read that reached the end of the log; -1 without one
}

// RecordBuffer keeps the newest records that this entry has folded and serves GetRecords from them. It is safe for
// concurrent use.
type RecordBuffer struct {
	clock      clock.Clock
	maxRecords int
	maxBytes   int

	mu      sync.Mutex
	entries []oplog.Entry
	bytes   int       // size of the entries
	next    int64     // offset after the last entry
	freshAt time.Time // when the last read that reached the end of the log was sent
}

// NewRecordBuffer returns an empty buffer at offset next that keeps at most maxRecords records and maxBytes bytes.
func NewRecordBuffer(clk clock.Clock, next int64, maxRecords, maxBytes int) *RecordBuffer {
	return &RecordBuffer{clock: clk, next: next, maxRecords: maxRecords, maxBytes: maxBytes}
}

// Add adds a batch that was folded. A batch that does not follow the last entry, as after a snapshot, replaces all entries.
func (r *RecordBuffer) Add(b oplog.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if start := b.Next - int64(len(b.Records)); start != r.next {
		r.entries, r.bytes = nil, 0
	}
	for _, e := range b.Records {
		r.entries = append(r.entries, e)
		r.bytes += len(e.Data)
	}
	r.next = b.Next
	drop := 0
	for drop < len(r.entries) && (len(r.entries)-drop > r.maxRecords || r.bytes > r.maxBytes) {
		r.bytes -= len(r.entries[drop].Data)
		drop++
	}
	r.entries = r.entries[drop:]
	if b.Fresh() && b.SentAt.After(r.freshAt) {
		r.freshAt = b.SentAt
	}
}

// Handle is the Handler of MethodGetRecords.
func (r *RecordBuffer) Handle(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req RecordsRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.next - int64(len(r.entries))
	if req.From < first {
		return nil, &jsonrpc2.Error{Code: CodeGone, Message: "records are no longer held"}
	}
	reply := RecordsReply{Records: []oplog.Entry{}, End: r.next, AgeMS: noAge}
	if !r.freshAt.IsZero() {
		reply.AgeMS = max(0, r.clock.Now().Sub(r.freshAt).Milliseconds()+1) // rounded up
	}
	size := 0
	for i := req.From - first; i < int64(len(r.entries)) && len(reply.Records) < min(req.Max, maxReplyRecords); i++ {
		e := r.entries[i]
		if size += len(e.Data); size > maxReplyBytes && len(reply.Records) > 0 {
			break
		}
		reply.Records = append(reply.Records, e)
	}
	return reply, nil
}

// FetchRecords reads up to limit records from a peer's buffer, starting at offset from. Batch.SentAt is the time of the
// peer's own read, assuming its greatest possible age. The batch is not fresh if the peer has not reached the end of the
// log.
func FetchRecords(ctx context.Context, p *Pool, clk clock.Clock, addr string, from int64, limit int) (oplog.Batch, error) {
	sent := clk.Now()
	var reply RecordsReply
	if err := p.Call(ctx, addr, MethodGetRecords, RecordsRequest{from, limit}, &reply); err != nil {
		return oplog.Batch{}, err
	}
	b, err := reply.batch(from, limit, sent)
	return b, eris.Wrapf(err, "records from peer %s", addr)
}

// batch checks the reply to a request that was sent at the given time, and returns its records as a batch.
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
	b := oplog.Batch{SentAt: sent, Records: r.Records, Next: next, End: r.End}
	// The bound prevents an overflow of the duration. A read of that age renews no lease.
	age := time.Duration(min(r.AgeMS, math.MaxInt32)) * time.Millisecond
	if age < 0 || from > r.End {
		b.End = math.MaxInt64 // not fresh: the peer is behind this entry, or does not know whether it is at the end
		return b, nil
	}
	b.SentAt = sent.Add(-age)
	return b, nil
}
