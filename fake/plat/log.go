// Package plat is a stand-in of the platform: its log, its VMs and the service that has the machines, over HTTP
// on loopback addresses. It speaks what the platform's pages say, as far as the product uses it.
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
	records [][]byte          // whole records, as appended
	newest  map[string]int    // offset of the newest record of each key
	epochs  map[string]int64  // highest epoch of each producer
	last    map[string]answer // last append of each producer
}

// answer is the answer to a producer's append.
type answer struct {
	seq, offset, end int64
}

// Log is the stand-in of the log. All its topics are kept whole.
type Log struct {
	mu    sync.Mutex
	parts map[string]*partition
	grown *sync.Cond
	// Down has every call fail, for tests.
	Down bool
	// LoseEvery has the answer of each so many appends lost after it took effect; 0 loses none.
	LoseEvery int
	// Silent has a lost answer leave its connection open, as a network does that drops packets; otherwise it is reset.
	Silent  bool
	appends int
}

// NewLog returns an empty log.
func NewLog() *Log {
	l := &Log{parts: map[string]*partition{}}
	l.grown = sync.NewCond(&l.mu)
	return l
}

// SetSilent has lost answers leave their connections open.
func (l *Log) SetSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Silent = silent
}

// Set changes the faults of the log.
func (l *Log) Set(down bool, loseEvery int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Down, l.LoseEvery = down, loseEvery
}

func (l *Log) part(topic, part string) *partition {
	key := topic + "/" + part
	p := l.parts[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, epochs: map[string]int64{}, last: map[string]answer{}}
		l.parts[key] = p
	}
	return p
}

// Put appends a keyed record, as the operator or a VM does.
func (l *Log) Put(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(topic, "0")
	rec := append(append([]byte{byte(len(key))}, key...), value...)
	p.add(rec)
	l.grown.Broadcast()
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

// Handler serves the log's calls.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", l.append)
	mux.HandleFunc("GET /log-read", l.read)
	mux.HandleFunc("GET /log-newest", l.readNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		down := l.Down
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
	q := r.URL.Query()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(q.Get("topic"), q.Get("part"))
	end := int64(len(p.records))
	a := answer{offset: end, end: end}
	if producer := q.Get("producer"); producer != "" {
		status, repeat := p.check(producer, number(q.Get("epoch")), number(q.Get("seq")))
		if status == http.StatusConflict {
			reply(w, status, map[string]any{"reason": "fenced"})
			return
		}
		if repeat != nil {
			reply(w, http.StatusOK, map[string]any{"offset": repeat.offset, "end": repeat.end})
			return
		}
	}
	if at := q.Get("at"); at != "" && number(at) != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		p.add(body[4 : 4+n])
		body = body[4+n:]
	}
	a.end = int64(len(p.records))
	if producer := q.Get("producer"); producer != "" {
		a.seq = number(q.Get("seq"))
		p.epochs[producer] = number(q.Get("epoch"))
		p.last[producer] = a
	}
	l.grown.Broadcast()
	l.appends++
	if l.LoseEvery > 0 && l.appends%l.LoseEvery == 0 {
		if l.Silent {
			l.mu.Unlock()
			<-r.Context().Done()
			l.mu.Lock()
		}
		panic(http.ErrAbortHandler) // the append took effect, and its answer is lost
	}
	reply(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
}

// check holds an append against the producer's epoch and last sequence number. It returns the first answer to a repeat.
func (p *partition) check(producer string, epoch, seq int64) (int, *answer) {
	last, known := p.last[producer]
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

// maxWait bounds how long a read waits for a record.
const maxWait = 30 * time.Second

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(number(q.Get("from")))
	until := time.Now().Add(min(time.Duration(number(q.Get("wait_ms")))*time.Millisecond, maxWait))
	wake := time.AfterFunc(time.Until(until), l.grown.Broadcast)
	defer wake.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(q.Get("topic"), q.Get("part"))
	for len(p.records) <= from && time.Now().Before(until) && !l.Down {
		l.grown.Wait()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range p.records[min(from, len(p.records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	_, _ = w.Write(out) // the reader is gone if this fails
}

// pageKeys is the number of keys on a page of the newest records.
const pageKeys = 500

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
	more := len(keys) > pageKeys
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), pageKeys)] {
		rec := p.records[p.newest[k]]
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(rec[1+len(k):]), "offset": p.newest[k],
		})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller is gone if this fails
}

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64) // a missing parameter counts as 0
	return n
}
