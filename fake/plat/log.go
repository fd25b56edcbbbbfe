// Package plat is a fake of the platform for tests. It serves the log, the VMs and the list of machines over HTTP on
// loopback addresses, and implements the part of the documented protocols that the product uses.
package plat

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// partition is one partition of a topic.
type partition struct {
	records    [][]byte               // as appended: length of the key, key, value
	newest     map[string]int         // offset of the newest record by key, without removed keys
	epochs     map[string]int64       // highest epoch by producer
	lastAppend map[string]appendReply // reply to the newest append by producer
}

// appendReply is the reply to an append: the offset of the first record and the end of the partition afterwards.
type appendReply struct {
	seq, offset, end int64
}

// Log is a fake of the log. It keeps all records of all topics.
type Log struct {
	mu       sync.Mutex
	parts    map[string]*partition
	appended *sync.Cond // signalled after each append
	// Down makes every call fail with status 503.
	Down bool
	// LoseEvery n loses the reply of every n-th append after it took effect; 0 loses none.
	LoseEvery int
	// Silent leaves the connection of a lost reply open, as a network that drops packets does. Otherwise the
	// connection is reset.
	Silent      bool
	downParts   map[string]bool // partitions that answer with status 503, as TOPIC/PART
	appendCount int
}

// NewLog returns an empty log.
func NewLog() *Log {
	l := &Log{parts: map[string]*partition{}, downParts: map[string]bool{}}
	l.appended = sync.NewCond(&l.mu)
	return l
}

// SetSilent sets whether the connection of a lost reply stays open.
func (l *Log) SetSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Silent = silent
}

// SetFaults sets the faults of the log: whether it is down, and how often a reply is lost.
func (l *Log) SetFaults(down bool, loseEvery int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Down, l.LoseEvery = down, loseEvery
}

// SetPartDown sets whether all calls to a partition fail with status 503.
func (l *Log) SetPartDown(topic string, part int, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downParts[topic+"/"+strconv.Itoa(part)] = down
}

// ClearPartsDown ends the faults of single partitions.
func (l *Log) ClearPartsDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.downParts)
}

func (l *Log) part(topic, part string) *partition {
	key := topic + "/" + part
	p := l.parts[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, epochs: map[string]int64{}, lastAppend: map[string]appendReply{}}
		l.parts[key] = p
	}
	return p
}

// Put appends a keyed record to partition 0 of a topic, as the operator or a VM does. An empty value removes the key.
func (l *Log) Put(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(topic, "0")
	rec := append(append([]byte{byte(len(key))}, key...), value...)
	p.add(rec)
	l.appended.Broadcast()
}

func (p *partition) add(rec []byte) {
	n := int(rec[0])
	key := string(rec[1 : 1+n])
	if len(rec) == 1+n {
		delete(p.newest, key)
	} else {
		p.newest[key] = len(p.records)
	}
	p.records = append(p.records, rec)
}

// Handler returns the HTTP handler of the log.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", l.append)
	mux.HandleFunc("GET /log-read", l.read)
	mux.HandleFunc("GET /log-newest", l.readNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		l.mu.Lock()
		down := l.Down || l.downParts[q.Get("topic")+"/"+q.Get("part")]
		l.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !withinLimits(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(q.Get("topic"), q.Get("part"))
	end := int64(len(p.records))
	a := appendReply{offset: end, end: end}
	if producer := q.Get("producer"); producer != "" {
		status, repeat := p.check(producer, parseInt(q.Get("epoch")), parseInt(q.Get("seq")))
		if status == http.StatusConflict {
			writeJSON(w, status, map[string]any{"reason": "fenced"})
			return
		}
		if repeat != nil {
			writeJSON(w, http.StatusOK, map[string]any{"offset": repeat.offset, "end": repeat.end})
			return
		}
	}
	if at := q.Get("at"); at != "" && parseInt(at) != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		p.add(body[4 : 4+n])
		body = body[4+n:]
	}
	a.end = int64(len(p.records))
	if producer := q.Get("producer"); producer != "" {
		a.seq = parseInt(q.Get("seq"))
		p.epochs[producer] = parseInt(q.Get("epoch"))
		p.lastAppend[producer] = a
	}
	l.appended.Broadcast()
	l.appendCount++
	if l.LoseEvery > 0 && l.appendCount%l.LoseEvery == 0 {
		if l.Silent {
			l.mu.Unlock()
			<-r.Context().Done()
			l.mu.Lock()
		}
		panic(http.ErrAbortHandler) // the append took effect, but its reply is lost
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
}

// Limits on the sizes of a record and of all records of an append, in bytes.
const (
	maxRecordBytes = 262_144
	maxCallBytes   = 2_097_152
)

// withinLimits reports whether the body of an append holds whole records within the limits.
func withinLimits(body []byte) bool {
	if len(body) > maxCallBytes {
		return false
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > maxRecordBytes || n > len(body)-4 {
			return false
		}
		body = body[4+n:]
	}
	return len(body) == 0
}

// check compares an append with the producer's epoch and last sequence number. It returns the status of the append,
// and the reply to the first attempt if the append is a repeat.
func (p *partition) check(producer string, epoch, seq int64) (int, *appendReply) {
	last, known := p.lastAppend[producer]
	switch {
	case epoch < p.epochs[producer]:
		return http.StatusConflict, nil
	case epoch > p.epochs[producer] || !known:
		return http.StatusOK, nil
	case seq == last.seq:
		return http.StatusOK, &last
	case seq != last.seq+1:
		return http.StatusConflict, nil
	}
	return http.StatusOK, nil
}

// maxWait bounds the time for which a read waits for a record.
const maxWait = 30 * time.Second

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(parseInt(q.Get("from")))
	until := time.Now().Add(min(time.Duration(parseInt(q.Get("wait_ms")))*time.Millisecond, maxWait))
	wake := time.AfterFunc(time.Until(until), l.appended.Broadcast)
	defer wake.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(q.Get("topic"), q.Get("part"))
	for len(p.records) <= from && time.Now().Before(until) && !l.Down {
		l.appended.Wait()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range p.records[min(from, len(p.records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	_, _ = w.Write(out) // fails only if the reader has disconnected
}

// keysPerPage is the maximum number of keys in one response with the newest records.
const keysPerPage = 500

func (l *Log) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(q.Get("topic"), q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > keysPerPage
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), keysPerPage)] {
		rec := p.records[p.newest[k]]
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(rec[1+len(k):]), "offset": p.newest[k],
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

func parseInt(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64) // a missing parameter counts as 0
	return n
}
