package entry

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"sassafrasvalve/io/proxy"
)

// Guards against a deadline that is parsed as a different time than the one written.
func FuzzParseDeadline(f *testing.F) {
	for _, s := range []string{"2026-12-04T03:00:00Z", "2026-12-04T03:00:00.5+02:00", "1796353200000", "-1", "0", "", "1e12", "9223372036854775807", "٣"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		d, err := parseDeadline(s)
		if err != nil {
			return
		}
		if d.Location() != time.UTC {
			t.Fatalf("%q gave a time that is not in UTC: %v", s, d)
		}
		if again, err := parseDeadline(d.Format(time.RFC3339Nano)); d.Year() < 10_000 && (err != nil || !again.Equal(d)) {
			t.Fatalf("%q: %v is read again as %v, %v", s, d, again, err)
		}
	})
}

// Guards against an accepted request whose forwarded header lacks, repeats or forges a field that the entry or the
// worker interprets.
func FuzzRequestHeader(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nSassafrasvalve-Service: a\r\nIdempotency-Key: k\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nConnection: close,\tidempotency-key\r\nIdempotency-Key: k\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: Sassafrasvalve-Class\r\n\r\n0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nsassafrasvalve_class: x\r\nConnection: ,,Sassafrasvalve-Tenant ,\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil || checkForwardable(r, defaultHeaderBytes) != nil {
			return
		}
		out := r.Header.Clone()
		proxy.StripHop(out)
		allowed := []string{headerService, headerClass, headerTenant, headerDeadline, headerKey}
		for name, vs := range r.Header {
			switch {
			case slices.Contains(allowed, name):
				if len(vs) != 1 || len(out[name]) != 1 || out[name][0] != vs[0] {
					t.Fatalf("%s: %q is forwarded as %q", name, vs, out[name])
				}
			case isReserved(name):
				t.Fatalf("%s was accepted", name)
			}
		}
		for _, name := range []string{"Connection", "Keep-Alive", "Te", "Transfer-Encoding", "Upgrade"} {
			if out[name] != nil {
				t.Fatalf("%s is forwarded", name)
			}
		}
	})
}
