package admin

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
)

// decode reads the JSON body of a request of at most limit bytes into out. Its error is a *refusal.
// It refuses unknown fields, so that the request of a newer client is not carried out in part.
func (s *Server) decode(r *http.Request, limit int64, out any) error {
	// A browser sends this type to another site only after a CORS preflight.
	if kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return refuse(http.StatusUnsupportedMediaType, "the body must be JSON: set Content-Type to application/json")
	}
	if limit > maxSmallBodyBytes {
		select {
		case s.largeBodies <- struct{}{}:
			defer func() { <-s.largeBodies }()
		case <-r.Context().Done():
			return refuse(http.StatusServiceUnavailable, "the request was given up before its body was read")
		}
	}
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, limit))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("more data follows the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", limit)
	}
	return refuse(http.StatusBadRequest, "the body is not the expected JSON: %v", err)
}
