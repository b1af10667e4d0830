package registry

// This file reads the requests for routes, and refuses those that cannot be.

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
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// refusal is why something is not done. Field names what is in the way: of the body, the path or the file of operators.
type refusal struct {
	status int
	after  time.Duration // when to come again; 0: not told

	Error     string          `json:"error"`
	Field     string          `json:"field,omitempty"`
	Findings  []route.Finding `json:"findings,omitempty"`  // what an older reader would read otherwise
	Processes []SchemaSupport `json:"processes,omitempty"` // that are in the way
	Others    int             `json:"others,omitempty"`    // more of them
}

func refuse(w http.ResponseWriter, f *refusal) {
	if f.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(f.after.Seconds()), 'f', 0, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f) // a caller that is gone needs nothing
}

func refusef(status int, field, format string, args ...any) *refusal {
	text := fmt.Sprintf(format, args...)
	if field != "" {
		text = field + ": " + text
	}
	return &refusal{status: status, Field: field, Error: text}
}

// refusalOf turns an error of a write into what its caller is told.
func refusalOf(err error) *refusal {
	f := &refusal{status: http.StatusInternalServerError, Error: err.Error()}
	switch {
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrNoQuorum):
		f.status, f.after = http.StatusServiceUnavailable, time.Second
	case errors.Is(err, rollout.ErrConflict):
		f.status, f.Field = http.StatusConflict, "if"
	case errors.Is(err, rollout.ErrExists), errors.Is(err, rollout.ErrBusy), errors.Is(err, rollout.ErrOver):
		f.status = http.StatusConflict
	case errors.Is(err, rollout.ErrUnknown):
		f.status = http.StatusNotFound
	case errors.Is(err, rollout.ErrInvalid):
		f.status = http.StatusBadRequest
	}
	return f
}

// off answers where routes are off.
func (r *routing) off(w http.ResponseWriter) bool {
	if r.s.o.Load().Operators != nil {
		return false
	}
	refuse(w, refusef(http.StatusNotFound, "", "routes are off: this copy's file names no operators' file"))
	return true
}

func tell(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that is gone needs nothing
}

// body decodes a body strictly: no more than so many bytes, one value, no field that is not known.
func (r *routing) body(w http.ResponseWriter, req *http.Request, most int64, v any) *refusal {
	text, f := readBody(w, req, most)
	if f == nil && len(text) == 0 {
		f = refusef(http.StatusBadRequest, "", "the body has nothing in it")
	}
	if f != nil {
		return f
	}
	return r.decode(text, v)
}

// maybe is body for a call that needs none: one with nothing in it leaves v as it is. Whether there is one its length
// does not tell, which is not known of one that comes in chunks.
func (r *routing) maybe(w http.ResponseWriter, req *http.Request, most int64, v any) *refusal {
	text, f := readBody(w, req, most)
	if f != nil || len(text) == 0 {
		return f
	}
	return r.decode(text, v)
}

// readBody gives a body without the white space around it.
func readBody(w http.ResponseWriter, req *http.Request, most int64) ([]byte, *refusal) {
	text, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusef(http.StatusBadRequest, "", "the body has more than %d bytes", most)
	case err != nil:
		return nil, refusef(http.StatusBadRequest, "", "the body cannot be read: %v", err)
	}
	return bytes.TrimSpace(text), nil
}

func (r *routing) decode(text []byte, v any) *refusal {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return refusef(http.StatusBadRequest, kind.Field, "is a %s, not what it has to be", kind.Value)
		}
		text := strings.TrimPrefix(err.Error(), "json: ")
		field, _ := strings.CutPrefix(text, "unknown field ")
		if field == text {
			return refusef(http.StatusBadRequest, "", "the body is no JSON of this call: %s", clip(text))
		}
		return refusef(http.StatusBadRequest, strings.Trim(clip(field), `"`), "there is no such field")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return refusef(http.StatusBadRequest, "", "the body has something after its end")
	}
	if bad := r.rules.check(v); bad != nil {
		return refusef(http.StatusBadRequest, bad.Field, "%s", bad.Text)
	}
	return nil
}

func checkProcess(p *route.Process) *refusal {
	switch {
	case p.Name == "" || len(p.Name) > 200:
		return refusef(http.StatusBadRequest, "name", "has %d bytes, not 1 to 200", len(p.Name))
	case p.Start <= 0:
		return refusef(http.StatusBadRequest, "start", "%d is not above 0", p.Start)
	}
	return nil
}

func checkReport(p *route.Report) *refusal {
	if err := audit.Check(p); err != nil {
		return refusef(http.StatusBadRequest, "", "%v", err)
	}
	if len(p.Schemas) == 0 || len(p.Schemas) > mostReads {
		return refusef(http.StatusBadRequest, "schemas", "are %d, not 1 to %d", len(p.Schemas), mostReads)
	}
	for i, c := range p.Counts {
		p.Counts[i].Tenant = inside(c.Tenant)
		if c.Ended < 0 || c.Failed < 0 || c.Late < 0 || c.Failed+c.Late > c.Ended || len(c.Tenant) > 200 {
			return refusef(http.StatusBadRequest, fmt.Sprintf("counts[%d]", i),
				"ended, failed and late are negative, more failed and were late than ended, or tenant has more than 200 bytes")
		}
	}
	return nil
}
