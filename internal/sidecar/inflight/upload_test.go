package inflight

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// Until more than the first part is sent, each attempt reads the body from its start.
func TestUpload_readAgain(t *testing.T) {
	upload := NewUpload(-1, []byte("first"))
	buf := make([]byte, 16)
	for range 2 {
		reader := upload.NewReader()
		if n, err := reader.Read(buf); string(buf[:n]) != "first" || err != nil {
			t.Errorf("%q, %v", buf[:n], err)
		}
		reader.Stop()
		if _, err := reader.Read(buf); !errors.Is(err, ErrBodyNotNeeded) {
			t.Errorf("after Stop: %v", err)
		}
	}
	if upload.Consumed() {
		t.Error("the first part counts as consumed")
	}
	fed := make(chan error, 1)
	go func() { fed <- upload.Feed(strings.NewReader(" and more")) }()
	body, err := io.ReadAll(upload.NewReader())
	if err != nil || string(body) != "first and more" {
		t.Errorf("%q, %v", body, err)
	}
	if err := <-fed; err != nil || !upload.Consumed() || upload.Failed() || upload.CompletedAt().IsZero() {
		t.Errorf("fed: %v, consumed %v, broken %v, completed at %v", err, upload.Consumed(), upload.Failed(), upload.CompletedAt())
	}
}

// Abort ends the feeder's wait and all reads.
func TestUpload_abort(t *testing.T) {
	upload := NewUpload(-1, nil)
	put := make(chan bool, 1)
	go func() { put <- upload.Put([]byte("more"), nil) }()
	upload.Abort()
	if <-put {
		t.Error("bytes are wanted after Abort")
	}
	if _, err := upload.NewReader().Read(make([]byte, 1)); !errors.Is(err, ErrBodyNotNeeded) {
		t.Errorf("read after Abort: %v", err)
	}
}

// A body that breaks off is broken, and its readers get the error.
func TestUpload_broken(t *testing.T) {
	upload := NewUpload(-1, nil)
	if err := upload.Feed(io.MultiReader(strings.NewReader(""), errReader{})); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("feeder: %v", err)
	}
	if _, err := upload.NewReader().Read(make([]byte, 1)); !errors.Is(err, io.ErrUnexpectedEOF) || !upload.Failed() {
		t.Errorf("reader: %v, broken %v", err, upload.Failed())
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// The client's time runs from the last byte of a streamed body.
func TestCall_UploadTimeLeft(t *testing.T) {
	call := Call{Timeout: time.Minute, Outbound: &Outbound{Upload: NewUpload(-1, nil)}}
	if left := call.UploadTimeLeft(); left != time.Minute {
		t.Errorf("%v before the last byte", left)
	}
	call.Outbound.Upload.SetCompletedAt(time.Now().Add(-2 * time.Minute))
	if left := call.UploadTimeLeft(); left > -time.Minute {
		t.Errorf("%v two minutes after the last byte", left)
	}
}

// One caller of Finish answers.
func TestCall_Finish(t *testing.T) {
	var call Call
	if call.Finished() || !call.Finish() || call.Finish() || !call.Finished() {
		t.Error("not exactly the first Finish is true")
	}
}

// A client that has gone does not come back, and is not checked again.
func TestCall_ClientLeft(t *testing.T) {
	checks, gone := 0, false
	call := Call{PollDisconnect: func() bool { checks++; return gone }}
	if call.ClientDisconnected() || call.DisconnectSeen() {
		t.Error("gone before it is")
	}
	gone = true
	if call.DisconnectSeen() || !call.ClientDisconnected() {
		t.Error("not checked")
	}
	gone = false
	if !call.ClientDisconnected() || !call.DisconnectSeen() || checks != 2 {
		t.Errorf("back again, %d checks", checks)
	}
}
