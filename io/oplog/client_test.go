package oplog

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
)

// Guards against treating an append with an unknown outcome as one that did not happen, and the reverse.
func TestAppendClassifiesFailures(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault cloud.Fault
		want  error
	}{
		{"lost response", cloud.Fault{LoseNext: 1}, ErrUnknown},
		{"reset", cloud.Fault{Outage: cloud.OutageReset}, ErrUnknown},
		{"no response", cloud.Fault{Outage: cloud.OutageDrop}, ErrUnknown},
		{"late response", cloud.Fault{DelayMS: 2000}, ErrUnknown},
		{"outage", cloud.Fault{Outage: cloud.OutageRefuse}, ErrNotAppended},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := cloud.New(cloud.Config{})
			srv := httptest.NewServer(s.Handler())
			defer srv.Close()
			s.Inject(c.fault)
			client := NewClient(Config{Base: srv.URL, AppendTimeout: 200 * time.Millisecond})
			_, err := client.Append(context.Background(), [][]byte{{1}})
			assert.ErrorIs(t, err, c.want)
			assert.Assert(t, errors.Is(err, ErrUnknown) != errors.Is(err, ErrNotAppended))
		})
	}
	srv := httptest.NewServer(nil)
	srv.Close()
	_, err := NewClient(Config{Base: srv.URL}).Append(context.Background(), [][]byte{{1}})
	assert.ErrorIs(t, err, ErrNotAppended) // connection refused
}

// responseCase is one platform response of testdata/responses.json.
type responseCase struct {
	Name   string // what the case guards against
	Read   bool   // of at most 3 records from offset 5 on; otherwise an append of 2 records
	Status int
	Body   string
	Error  string // expected: "", "expired", "ahead", "unknown", "not-appended" or "other"
}

// Guards against a wrong classification of the responses in testdata/responses.json, each of which names its case.
func TestResponseClassification(t *testing.T) {
	data, err := os.ReadFile("testdata/responses.json")
	assert.NilError(t, err)
	var cases []responseCase
	assert.NilError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		var err error
		if c.Read {
			_, err = parseRead(c.Status, []byte(c.Body), 5, 3)
		} else {
			_, err = parseAppend(c.Status, []byte(c.Body), 2)
		}
		assert.Check(t, errorClass(err) == c.Error, "%s: %v is not %q", c.Name, err, c.Error)
	}
}

// errorClass returns the class of an error as testdata/responses.json names it.
func errorClass(err error) string {
	var expired *ErrExpired
	var ahead *ErrAhead
	switch {
	case err == nil:
		return ""
	case errors.As(err, &expired):
		return "expired"
	case errors.As(err, &ahead):
		return "ahead"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	case errors.Is(err, ErrNotAppended):
		return "not-appended"
	}
	return "other"
}

// Guards against an invalid read response that crashes the reader or is accepted with a gap in the offsets.
func FuzzParseRead(f *testing.F) {
	f.Add(200, []byte(`{"First":0,"Next":7,"Records":[{"Offset":5,"Data":"YQ=="}]}`))
	f.Add(410, []byte(`{"First":6,"Next":7}`))
	f.Add(416, []byte(`{"First":0,"Next":2}`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		page, err := parseRead(status, data, 5, 3)
		if err != nil {
			return
		}
		assert.Assert(t, len(page.Records) <= 3 && page.First >= 0 && page.Next >= 5+int64(len(page.Records)))
		for i, e := range page.Records {
			assert.Equal(t, e.Offset, 5+int64(i))
		}
	})
}
