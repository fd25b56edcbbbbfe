package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"sassafrasvalve/core/retry"
)

// HeaderPrefix is the prefix of all header fields that this program defines.
const HeaderPrefix = "Sassafrasvalve-"

// HeaderRequestID carries the request ID to the worker and to the caller. Connections to a
// worker that repeats the ID in its responses are reused; see Forwarder.
const HeaderRequestID = HeaderPrefix + "Request-Id"

// hopByHop lists the hop-by-hop fields (RFC 9110, section 7.6.1), including obsolete
// ones that some peers still send.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHop removes the hop-by-hop fields, including those listed in Connection.
func StripHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripOwn removes the header fields that this program sets itself, so that
// a peer cannot forge them in a message that is forwarded.
func StripOwn(h http.Header) {
	for name := range h {
		switch {
		case name == retry.HeaderVerdict, name == retry.HeaderNotRun, name == HeaderRequestID,
			len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix):
			delete(h, name)
		}
	}
}

// requestHeader returns the header fields that are sent to the worker.
func (f *Forwarder) requestHeader(a *Attempt) http.Header {
	in := a.In
	h := in.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	trailers := acceptsTrailers(h)
	StripHop(h)
	for _, name := range []string{retry.HeaderVerdict, retry.HeaderNotRun, "Content-Length"} {
		h.Del(name)
	}
	h.Set(HeaderRequestID, a.ID)
	if trailers {
		h.Set("Te", "trailers")
	}
	h.Add("Via", fmt.Sprintf("%d.%d %s", in.ProtoMajor, in.ProtoMinor, f.cfg.ViaName))
	if ip, _, err := net.SplitHostPort(in.RemoteAddr); err == nil {
		if prior := h["X-Forwarded-For"]; len(prior) > 0 {
			ip = strings.Join(prior, ", ") + ", " + ip
		}
		h.Set("X-Forwarded-For", ip)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps the transport from adding its own
	}
	if a.Length == 0 {
		h.Del("Expect")
		if _, ok := in.Header["Content-Length"]; ok || hasBody(in.Method) {
			// The transport replaces Content-Length by its own framing, which would be chunked
			// for a body of unknown length. A field in this lower-case spelling is written unchanged.
			h["content-length"] = []string{"0"}
		}
	}
	return h
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func acceptsTrailers(h http.Header) bool {
	for _, v := range h["Te"] {
		for part := range strings.SplitSeq(v, ",") {
			name, _, _ := strings.Cut(part, ";")
			if strings.EqualFold(textproto.TrimString(name), "trailers") {
				return true
			}
		}
	}
	return false
}
