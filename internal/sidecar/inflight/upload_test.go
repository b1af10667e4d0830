package inflight

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// Each attempt reads the body from its start, until one has read more than the prefix.
func TestUpload_readAgain(t *testing.T) {
	upload := NewUpload(-1, []byte("first"))
	buf := make([]byte, 16)
	for range 2 {
		reader := upload.NewReader()
		if n, err := reader.Read(buf); string(buf[:n]) != "first" || err != nil {
			t.Errorf("read %q, error %v, want the prefix", buf[:n], err)
		}
		reader.Stop()
		if _, err := reader.Read(buf); !errors.Is(err, ErrBodyNotNeeded) {
			t.Errorf("read after Stop: error %v, want ErrBodyNotNeeded", err)
		}
	}
	if upload.Consumed() {
		t.Error("the upload is consumed after only its prefix was read")
	}
	fed := make(chan error, 1)
	go func() { fed <- upload.Feed(strings.NewReader(" and more")) }()
	body, err := io.ReadAll(upload.NewReader())
	if err != nil || string(body) != "first and more" {
		t.Errorf("read %q, error %v, want the whole body", body, err)
	}
	if err := <-fed; err != nil || !upload.Consumed() || upload.Failed() || upload.CompletedAt().IsZero() {
		t.Errorf("Feed: %v, consumed %v, failed %v, completed at %v", err, upload.Consumed(), upload.Failed(), upload.CompletedAt())
	}
}

// Abort makes a blocked Put return false, and makes reads fail.
func TestUpload_abort(t *testing.T) {
	upload := NewUpload(-1, nil)
	put := make(chan bool, 1)
	go func() { put <- upload.Put([]byte("more"), nil) }()
	upload.Abort()
	if <-put {
		t.Error("Put returned true after Abort")
	}
	if _, err := upload.NewReader().Read(make([]byte, 1)); !errors.Is(err, ErrBodyNotNeeded) {
		t.Errorf("read after Abort: error %v, want ErrBodyNotNeeded", err)
	}
}

// If receiving the body fails, the upload has failed and its readers get the error.
func TestUpload_failed(t *testing.T) {
	upload := NewUpload(-1, nil)
	if err := upload.Feed(io.MultiReader(strings.NewReader(""), errReader{})); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("Feed: %v", err)
	}
	if _, err := upload.NewReader().Read(make([]byte, 1)); !errors.Is(err, io.ErrUnexpectedEOF) || !upload.Failed() {
		t.Errorf("Read: %v, failed %v", err, upload.Failed())
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// The client's timeout starts at the last byte of a streamed body.
func TestCall_UploadTimeLeft(t *testing.T) {
	call := Call{Timeout: time.Minute, Outbound: &Outbound{Upload: NewUpload(-1, nil)}}
	if left := call.UploadTimeLeft(); left != time.Minute {
		t.Errorf("%v left before the last byte, want the whole timeout", left)
	}
	call.Outbound.Upload.SetCompletedAt(time.Now().Add(-2 * time.Minute))
	if left := call.UploadTimeLeft(); left > -time.Minute {
		t.Errorf("%v left two minutes after the last byte", left)
	}
}

// Finish returns true for its first caller only.
func TestCall_Finish(t *testing.T) {
	var call Call
	if call.Finished() || !call.Finish() || call.Finish() || !call.Finished() {
		t.Error("Finish did not return true exactly once, or Finished does not match")
	}
}

// Once a client is known to have disconnected it stays so, and its connection is no longer polled.
func TestCall_ClientDisconnected(t *testing.T) {
	polls, disconnected := 0, false
	call := Call{PollDisconnect: func() bool { polls++; return disconnected }}
	if call.ClientDisconnected() || call.DisconnectSeen() {
		t.Error("the client is reported as disconnected before it is")
	}
	disconnected = true
	if call.DisconnectSeen() || !call.ClientDisconnected() {
		t.Error("DisconnectSeen polls the connection, or ClientDisconnected does not")
	}
	disconnected = false
	if !call.ClientDisconnected() || !call.DisconnectSeen() || polls != 2 {
		t.Errorf("the client is reported as connected again, or the number of polls is %d, want 2", polls)
	}
}
