package membership

import (
	"context"
	"log"
	"log/slog"
	"strings"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// libraryLog processes the library's log lines. Only they report that the library suspects a node or has dropped a
// packet. Warnings are logged at a limited rate, with the number of suppressed ones. All other lines are logged at
// debug level.
type libraryLog struct {
	log        *slog.Logger
	limiter    *rate.Limiter
	suppressed atomic.Uint64
	onSuspect  func(node string)
	onDrop     func(reason string)
}

func newLibraryLog(log *slog.Logger, suspect, dropped func(string)) *libraryLog {
	return &libraryLog{log: log, limiter: rate.NewLimiter(1, 5), onSuspect: suspect, onDrop: dropped}
}

// dropPrefixes are the prefixes of the library's log lines that report a dropped packet or stream, with the reasons
// under which the drops are counted.
var dropPrefixes = [...]struct{ prefix, reason string }{
	{"discarding packet with unacceptable label", "label"},
	{"discarding stream with unacceptable label", "label"},
	{"unexpected double", "label"},
	{"failed to receive", "malformed"},
	{"Failed to receive", "malformed"},
	{"Failed to decode", "malformed"},
	{"Failed to decompress", "malformed"},
	{"Failed to read remote state", "malformed"},
	{"Failed push/pull merge", "malformed"},
	{"Compound request had", "malformed"},
	{"Received invalid msgType", "malformed"},
	{"Got invalid checksum", "malformed"},
	{"cannot decode label", "malformed"},
	{"label header cannot", "malformed"},
	{"missing message type", "malformed"},
	{"msg type (", "malformed"},
	{"handler queue full", "queue"},
	{"Too many pending push/pull", "queue"},
}

// Write processes one line. log.Logger calls Write once per line.
func (l *libraryLog) Write(b []byte) (int, error) {
	level, text := "ERR", strings.TrimSpace(string(b))
	if tagged, ok := strings.CutPrefix(text, "["); ok {
		if tag, message, ok := strings.Cut(tagged, "] "); ok {
			level, text = tag, strings.TrimPrefix(message, "memberlist: ")
		}
	}
	if suspicion, ok := strings.CutPrefix(text, "Suspect "); ok && level == "INFO" {
		if node, _, ok := strings.Cut(suspicion, " has failed"); ok {
			l.onSuspect(node)
		}
	}
	if strings.Contains(text, "stream label header: EOF") {
		level = "DEBUG" // the caller sent nothing, as the probers of other members do
	}
	for _, r := range dropPrefixes {
		if level != "DEBUG" && strings.HasPrefix(text, r.prefix) {
			l.onDrop(r.reason)
			break
		}
	}
	switch {
	case level == "DEBUG" || level == "INFO":
		l.log.Log(context.Background(), slog.LevelDebug, "members: "+text)
	case l.limiter.Allow():
		l.log.Warn("members: "+text, "suppressed", l.suppressed.Swap(0))
	default:
		l.suppressed.Add(1)
		l.log.Debug("members: " + text)
	}
	return len(b), nil
}

// newStandardLogger wraps a libraryLog in the logger type that the library requires.
func newStandardLogger(l *libraryLog) *log.Logger { return log.New(l, "", 0) }
