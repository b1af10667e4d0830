package routeleader

// This file decodes and validates requests of the routes API.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marblelane/internal/audit"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Rejection is an error response of the routes API. Field names the invalid field of the body, the path or the query,
// or the setting of the operators' file that the request violates.
type Rejection struct {
	status int
	after  time.Duration // value of the Retry-After header; 0 sends no such header

	Error     string                `json:"error"`
	Field     string                `json:"field,omitempty"`
	Findings  []route.Finding       `json:"findings,omitempty"`  // how readers of an older schema misread the table
	Processes []state.SchemaSupport `json:"processes,omitempty"` // processes that block the change
	Others    int                   `json:"others,omitempty"`    // number of blocking processes not in Processes
}

func writeRejection(w http.ResponseWriter, f *Rejection) {
	if f.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(f.after.Seconds()), 'f', 0, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f) // the client may have disconnected
}

func rejectf(status int, field, format string, args ...any) *Rejection {
	text := fmt.Sprintf(format, args...)
	if field != "" {
		text = field + ": " + text
	}
	return &Rejection{status: status, Field: field, Error: text}
}

// rejectionOf maps an error of a replicated write to an HTTP response.
func rejectionOf(err error) *Rejection {
	f := &Rejection{status: http.StatusInternalServerError, Error: err.Error()}
	switch {
	case errors.Is(err, listserver.ErrNotLeader), errors.Is(err, listserver.ErrNoQuorum):
		f.status, f.after = http.StatusServiceUnavailable, time.Second
	case errors.Is(err, rollout.ErrConflict):
		f.status, f.Field = http.StatusConflict, "if"
	case errors.Is(err, rollout.ErrExists), errors.Is(err, rollout.ErrBusy), errors.Is(err, rollout.ErrEnded):
		f.status = http.StatusConflict
	case errors.Is(err, rollout.ErrNotFound):
		f.status = http.StatusNotFound
	case errors.Is(err, rollout.ErrInvalid):
		f.status = http.StatusBadRequest
	}
	return f
}

// rejectIfOff responds with 404 and returns true if the routes API is off.
func (r *Routing) rejectIfOff(w http.ResponseWriter) bool {
	if r.server.Options().Operators != nil {
		return false
	}
	writeRejection(w, rejectf(http.StatusNotFound, "", "routes are off: this copy's file names no operators' file"))
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// body reads a JSON body of at most limit bytes, decodes it into v and validates it. The body must hold one value and
// no unknown fields.
func (r *Routing) body(w http.ResponseWriter, req *http.Request, limit int64, v any) *Rejection {
	text, f := readBody(w, req, limit)
	if f == nil && len(text) == 0 {
		f = rejectf(http.StatusBadRequest, "", "the body has nothing in it")
	}
	if f != nil {
		return f
	}
	return r.decode(text, v)
}

// optionalBody is like body but accepts an empty body, which leaves v unchanged. Whether the body is empty is found by
// reading it, because a chunked body has no Content-Length.
func (r *Routing) optionalBody(w http.ResponseWriter, req *http.Request, limit int64, v any) *Rejection {
	text, f := readBody(w, req, limit)
	if f != nil || len(text) == 0 {
		return f
	}
	return r.decode(text, v)
}

// readBody reads a body of at most limit bytes and trims the white space around it.
func readBody(w http.ResponseWriter, req *http.Request, limit int64) ([]byte, *Rejection) {
	text, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, rejectf(http.StatusBadRequest, "", "the body has more than %d bytes", limit)
	case err != nil:
		return nil, rejectf(http.StatusBadRequest, "", "the body cannot be read: %v", err)
	}
	return bytes.TrimSpace(text), nil
}

func (r *Routing) decode(text []byte, v any) *Rejection {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return rejectf(http.StatusBadRequest, kind.Field, "is a %s, not what it has to be", kind.Value)
		}
		text := strings.TrimPrefix(err.Error(), "json: ")
		field, _ := strings.CutPrefix(text, "unknown field ")
		if field == text {
			return rejectf(http.StatusBadRequest, "", "the body is no JSON of this call: %s", clip(text))
		}
		return rejectf(http.StatusBadRequest, strings.Trim(clip(field), `"`), "there is no such field")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return rejectf(http.StatusBadRequest, "", "the body has something after its end")
	}
	if bad := r.rules.Check(v); bad != nil {
		return rejectf(http.StatusBadRequest, bad.Field, "%s", bad.Text)
	}
	return nil
}

func checkProcess(p *route.Process) *Rejection {
	switch {
	case p.Name == "" || len(p.Name) > 200:
		return rejectf(http.StatusBadRequest, "name", "has %d bytes, not 1 to 200", len(p.Name))
	case p.Start <= 0:
		return rejectf(http.StatusBadRequest, "start", "%d is not above 0", p.Start)
	}
	return nil
}

func checkReport(p *route.Report) *Rejection {
	if err := audit.ValidateReport(p); err != nil {
		return rejectf(http.StatusBadRequest, "", "%v", err)
	}
	if len(p.Schemas) == 0 || len(p.Schemas) > maxSchemasPerProcess {
		return rejectf(http.StatusBadRequest, "schemas", "are %d, not 1 to %d", len(p.Schemas), maxSchemasPerProcess)
	}
	for i, c := range p.Counts {
		p.Counts[i].Tenant = operators.StateTenantName(c.Tenant)
		if c.Ended < 0 || c.Failed < 0 || c.Late < 0 || c.Failed+c.Late > c.Ended || len(c.Tenant) > 200 {
			return rejectf(http.StatusBadRequest, fmt.Sprintf("counts[%d]", i),
				"ended, failed and late are negative, more failed and were late than ended, or tenant has more than 200 bytes")
		}
	}
	return nil
}
