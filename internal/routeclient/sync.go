package routeclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"marblelane/internal/route"
)

var (
	errAnew    = errors.New("the service asks for the watch to be begun anew")
	errMoved   = errors.New("the list services are at other addresses now")
	errSilent  = errors.New("no line in time")
	errLineBig = fmt.Errorf("a line of more than %d bytes", mostText)
	errBig     = fmt.Errorf("an answer of more than %d bytes", mostAnswer)
)

// backoffs are those between tries that fail, growing up to most and jittered by half, all of them within the two.
type backoffs struct {
	backoff.ExponentialBackOff
	least, most time.Duration
}

func (s *Client) newBackoff(most time.Duration) *backoffs {
	p := &backoffs{least: s.timings.pauseLeast, most: most}
	p.InitialInterval, p.MaxInterval, p.Multiplier, p.RandomizationFactor = 2*p.least, most, 2, 0.5
	return p
}

func (p *backoffs) next() time.Duration { return min(max(p.NextBackOff(), p.least), p.most) }

// rest waits, no longer than until the early signal; false: ctx has ended.
func rest(ctx context.Context, wait time.Duration, early <-chan struct{}) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-early:
	}
	return ctx.Err() == nil
}

// follow keeps a watch of the table at one copy after another.
func (s *Client) follow(ctx context.Context) {
	pause := s.newBackoff(s.timings.pauseMost)
	var at endpointCursor
	for {
		told, err := s.watch(ctx, &at)
		if ctx.Err() != nil {
			return
		}
		at.next()
		s.cfg.Log.Warn("routes: watch ended", "error", err)
		if err == errMoved || err == errAnew {
			continue // who asks for it bounds how often
		}
		if told {
			pause.Reset()
		}
		if !rest(ctx, pause.next(), nil) {
			return
		}
	}
}

// watch follows the table at one copy until that fails. Told: it has said something that could be read.
func (s *Client) watch(ctx context.Context, at *endpointCursor) (told bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.mu.Lock()
	addr, held := at.addr(s), s.held
	s.breakWatch = cancel
	s.mu.Unlock()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	guard := time.AfterFunc(s.timings.silence, func() { cancel(errSilent) })
	defer guard.Stop()
	query := url.Values{
		"schema": {strconv.Itoa(s.schema)}, "watch": {"1"}, "after": {strconv.FormatInt(held, 10)},
	}
	where := url.URL{Scheme: "http", Host: addr, Path: route.TablePath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, where.String(), nil)
	if err != nil {
		return false, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, refusal(resp)
	}
	for in := bufio.NewReader(resp.Body); ; {
		text, err := line(in)
		if err != nil {
			return told, err
		}
		guard.Reset(s.timings.silence)
		if len(text) > 0 {
			if err := s.read(text); err != nil {
				return told, err
			}
		}
		told = true
	}
}

// line gives the next line, without white space around it. What has no end of line is half of one, and nothing.
func line(in *bufio.Reader) ([]byte, error) {
	var text []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(text)+len(part) > mostText+1 {
			return nil, errLineBig
		}
		text = append(text, part...)
		switch {
		case err == nil:
			return bytes.TrimSpace(text), nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF // a watch has no end
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// read takes a document in. One that cannot be read changes nothing but what is said of it; an error is not the
// document's.
func (s *Client) read(text []byte) error {
	t, err := route.Read(s.schema, text)
	if err == nil {
		return s.take(t)
	}
	var head struct {
		Rev int64 `json:"rev"`
	}
	if json.Unmarshal(text, &head) != nil {
		head.Rev = 0
	}
	s.mu.Lock()
	news := head.Rev > max(s.held, s.unread)
	if news {
		s.unread = head.Rev
	} else if head.Rev <= 0 && !s.garbled {
		s.garbled, news = true, true
	}
	held := s.held
	s.mu.Unlock()
	if news {
		s.cfg.Log.Error("routes: a document cannot be read, the last one that could be stays",
			"revision", head.Rev, "held", held, "schema", s.schema, "error", err)
	}
	return nil
}
