// Package process runs programs as child processes of the lab, each with its own limits, log and directory.
//
// A child ends with the lab, even when the lab is killed: the kernel sends it SIGKILL when the thread that started it
// ends (Pdeathsig). One thread therefore starts all children and runs as long as the lab. After a child has exited,
// its exit status and the last lines of its log are available.
package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Supervisor starts child processes and kills those that still run when it is closed.
type Supervisor struct {
	startCalls chan func()    // calls for the parent thread to execute
	done       chan struct{}  // closed when the parent thread has executed its last call
	wg         sync.WaitGroup // one goroutine per running child, which waits for its exit

	mu      sync.Mutex
	running map[*Child]struct{}
}

// NewSupervisor returns a supervisor and starts the thread that is the parent of all its children. The caller must
// call Close.
func NewSupervisor() *Supervisor {
	s := &Supervisor{startCalls: make(chan func()), done: make(chan struct{}), running: map[*Child]struct{}{}}
	go func() {
		defer close(s.done)
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine, and children with the thread
		for f := range s.startCalls {
			f()
		}
	}()
	return s
}

// Close kills the running children, waits for them, and ends the parent thread. It kills each child itself: if the
// parent thread is the main thread of the process, it stays until the process exits and Pdeathsig does not apply.
func (s *Supervisor) Close() {
	close(s.startCalls)
	<-s.done
	s.mu.Lock()
	for c := range s.running {
		_ = c.Signal(syscall.SIGKILL) // fails only if the child has ended
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Spec describes a program to run.
type Spec struct {
	Name           string // name of the child in error messages
	Path           string
	Args           []string
	Env            []string // variables of the form key=value; nil: the lab's own environment
	Dir            string   // working directory and folder of the log; created if missing
	MaxDescriptors int      // limit of open file descriptors; 0: the lab's own limit
}

// LogPath returns the path of the log file, which all children started in Dir append to.
func (s *Spec) LogPath() string { return filepath.Join(s.Dir, "log.txt") }

// Child is one started process.
type Child struct {
	Spec  Spec
	PID   int
	cmd   *exec.Cmd
	log   *logTail
	ended chan struct{} // closed when the process has exited
	err   error         // error of the exit; valid after ended is closed

	mu            sync.Mutex
	stopRequested bool // true once Signal has sent SIGTERM, SIGKILL or SIGINT
}

// Start starts a program and applies its descriptor limit.
func (s *Supervisor) Start(spec Spec) (*Child, error) {
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	file, err := os.OpenFile(spec.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	c := &Child{Spec: spec, ended: make(chan struct{}), log: &logTail{file: file, waiters: map[*lineWaiter]struct{}{}}}
	c.cmd = exec.Command(spec.Path, spec.Args...)
	c.cmd.Env, c.cmd.Dir = spec.Env, spec.Dir
	c.cmd.Stdout, c.cmd.Stderr = c.log, c.log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.cmd.WaitDelay = time.Second
	started := make(chan error, 1)
	s.startCalls <- func() { started <- c.cmd.Start() }
	if err := <-started; err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	c.PID = c.cmd.Process.Pid
	s.mu.Lock()
	s.running[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		c.err = c.cmd.Wait()
		s.mu.Lock()
		delete(s.running, c)
		s.mu.Unlock()
		file.Close()
		close(c.ended)
	})
	if spec.MaxDescriptors > 0 {
		limit := &unix.Rlimit{Cur: uint64(spec.MaxDescriptors), Max: uint64(spec.MaxDescriptors)}
		if err := unix.Prlimit(c.PID, unix.RLIMIT_NOFILE, limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			c.Kill()
			return nil, fmt.Errorf("%s: set descriptor limit: %w", spec.Name, err)
		}
	}
	return c, nil
}

// Ended returns a channel that is closed when the child has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Err returns the error of the exit, or nil for exit status 0. It must be called only after Ended is closed.
func (c *Child) Err() error { return c.err }

// StopRequested reports whether Signal or Kill sent a signal that ends the child.
func (c *Child) StopRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopRequested
}

// Signal sends a signal to the child. It does nothing if the child has ended.
func (c *Child) Signal(s syscall.Signal) error {
	c.mu.Lock()
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL, syscall.SIGINT:
		c.stopRequested = true
	}
	c.mu.Unlock()
	if err := c.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: signal %v: %w", c.Spec.Name, s, err)
	}
	return nil
}

// FillDisk simulates a full disk until FreeDisk: it sets the child's RLIMIT_FSIZE, so that a write beyond the first
// maxFileBytes of a file fails with EFBIG.
func (c *Child) FillDisk(maxFileBytes uint64) error {
	return c.setFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = maxFileBytes })
}

// FreeDisk reverts FillDisk. It does nothing if the child has ended.
func (c *Child) FreeDisk() error {
	return c.setFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = limit.Max })
}

// setFileSizeLimit changes the child's RLIMIT_FSIZE. It does nothing if the child has ended.
func (c *Child) setFileSizeLimit(change func(*unix.Rlimit)) error {
	var limit unix.Rlimit
	err := unix.Prlimit(c.PID, unix.RLIMIT_FSIZE, nil, &limit)
	if err == nil {
		change(&limit)
		err = unix.Prlimit(c.PID, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("%s: set file size limit: %w", c.Spec.Name, err)
	}
	return nil
}

// Kill sends SIGKILL to the child and waits until it has ended.
func (c *Child) Kill() {
	_ = c.Signal(syscall.SIGKILL) // fails only if the child has ended
	<-c.ended
}

// CPU returns the processor time that an ended child used, in seconds, or 0 if it has not ended.
func (c *Child) CPU() float64 {
	select {
	case <-c.ended:
		if s := c.cmd.ProcessState; s != nil {
			return (s.UserTime() + s.SystemTime()).Seconds()
		}
	default:
	}
	return 0
}

// LogTail returns the last lines of the child's log, at most tailLines.
func (c *Child) LogTail() string { return c.log.text() }

// AwaitLog waits for a log line that contains a text, and returns the line. Lines already logged count as well. If the
// child or ctx ends first, the error contains the last lines of the log.
func (c *Child) AwaitLog(ctx context.Context, text string) (string, error) {
	w := c.log.addWaiter(text)
	defer c.log.removeWaiter(w)
	select {
	case line := <-w.found:
		return line, nil
	case <-c.ended:
		select {
		case line := <-w.found:
			return line, nil
		default:
		}
		return "", fmt.Errorf("%s did not start (%w); last log lines:\n%s", c.Spec.Name, exitError(c.err), c.LogTail())
	case <-ctx.Done():
		return "", fmt.Errorf("%s: wait for %q in the log: %w; last log lines:\n%s", c.Spec.Name, text, ctx.Err(), c.LogTail())
	}
}

// exitError returns the error of an exit, also for exit status 0.
func exitError(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

// Usage is the resource usage of a process.
type Usage struct {
	RSS, PeakRSS int64   // resident memory and its peak, in bytes
	Descriptors  int     // number of open file descriptors
	CPU          float64 // processor time used so far, in seconds
}

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ, 100 on Linux).
const clockTicksPerSecond = 100

// Measure reads the current resource usage of a process from /proc.
func Measure(pid int) (Usage, error) {
	var u Usage
	dir := "/proc/" + strconv.Itoa(pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, fmt.Errorf("measure process: %w", err)
	}
	for line := range bytes.Lines(status) {
		f := strings.Fields(string(line))
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			u.RSS = n << 10
		case "VmHWM:":
			u.PeakRSS = n << 10
		}
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, fmt.Errorf("measure process: %w", err)
	}
	// The second field, the program's name in parentheses, may itself contain spaces and parentheses. The third field
	// follows the last closing parenthesis.
	if f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(f) > 12 {
		user, _ := strconv.ParseFloat(f[11], 64)
		system, _ := strconv.ParseFloat(f[12], 64)
		u.CPU = (user + system) / clockTicksPerSecond
	}
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return u, fmt.Errorf("measure process: %w", err)
	}
	u.Descriptors = len(fds)
	return u, nil
}

// logTail writes a log to its file, keeps the last lines in memory, and notifies waiters of matching lines.
type logTail struct {
	file        io.Writer
	mu          sync.Mutex
	partialLine []byte // the start of a line whose end was not written yet, at most maxLineBytes
	lastLines   []string
	waiters     map[*lineWaiter]struct{}
}

// lineWaiter waits for the first log line that contains a text.
type lineWaiter struct {
	text  string
	found chan string // buffered channel that receives the line
}

const (
	tailLines    = 60      // kept lines of a log: enough to include the lines before a crash's stack trace
	maxLineBytes = 4 << 10 // limit of partialLine; bytes beyond it are dropped until the write that ends the line
)

// Write writes to the log file and processes the lines that p completes.
func (w *logTail) Write(p []byte) (int, error) {
	n, err := w.file.Write(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	for remaining := p; len(remaining) > 0; {
		i := bytes.IndexByte(remaining, '\n')
		if i < 0 {
			w.partialLine = append(w.partialLine, remaining[:min(len(remaining), maxLineBytes-min(len(w.partialLine), maxLineBytes))]...)
			break
		}
		line := string(append(w.partialLine, remaining[:i]...))
		w.partialLine, remaining = w.partialLine[:0], remaining[i+1:]
		w.lastLines = append(w.lastLines, line)
		w.lastLines = w.lastLines[max(len(w.lastLines)-tailLines, 0):]
		for waiter := range w.waiters {
			waiter.offer(line)
		}
	}
	return n, err
}

// offer delivers a line to the waiter if it contains the text and no earlier line matched.
func (w *lineWaiter) offer(line string) {
	if strings.Contains(line, w.text) {
		select {
		case w.found <- line:
		default:
		}
	}
}

// addWaiter registers a waiter for a text and first checks the last lines already written.
func (w *logTail) addWaiter(text string) *lineWaiter {
	waiter := &lineWaiter{text: text, found: make(chan string, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.lastLines {
		waiter.offer(line)
	}
	w.waiters[waiter] = struct{}{}
	return waiter
}

func (w *logTail) removeWaiter(waiter *lineWaiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, waiter)
}

// text returns the last lines of the log.
func (w *logTail) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.lastLines, "\n")
}
