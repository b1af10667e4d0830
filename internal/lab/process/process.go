// Package process runs programs as child processes of the lab, each with its own limits, log and directory.
//
// A child ends with the lab, also when the lab is killed: the kernel sends it SIGKILL when the thread that started
// it ends (Pdeathsig), so one thread starts all children and runs as long as the lab. For a child that exits, its
// exit status and the last lines of its log are available.
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

// Supervisor starts children and kills those that are left at the end.
type Supervisor struct {
	startCalls chan func()
	done       chan struct{}
	wg         sync.WaitGroup

	mu      sync.Mutex
	running map[*Child]struct{}
}

// NewSupervisor starts the thread that is the parent of all children.
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

// Close kills the running children and ends the thread. It kills each child, as the end of the thread may not: the main
// thread of a process stays until the process exits.
func (s *Supervisor) Close() {
	close(s.startCalls)
	<-s.done
	s.mu.Lock()
	for c := range s.running {
		_ = c.Signal(syscall.SIGKILL) // it has ended, or it will
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Spec is a program to run.
type Spec struct {
	Name           string
	Path           string
	Args           []string
	Env            []string
	Dir            string // working directory, also of its log
	MaxDescriptors int    // limit of open file descriptors; 0: the lab's own
}

// LogPath is the log file, shared by all children that were started in Dir.
func (s *Spec) LogPath() string { return filepath.Join(s.Dir, "log.txt") }

// Child is one started process.
type Child struct {
	Spec  Spec
	PID   int
	cmd   *exec.Cmd
	log   *logTail
	ended chan struct{}
	err   error

	mu            sync.Mutex
	stopRequested bool // a signal that ends it was sent
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
			return nil, fmt.Errorf("%s: limit of descriptors: %w", spec.Name, err)
		}
	}
	return c, nil
}

// Ended is closed when the child has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Err is the error of the exit; nil for exit status 0. Call it only after Ended is closed.
func (c *Child) Err() error { return c.err }

// StopRequested tells whether Signal or Kill has asked the child to end.
func (c *Child) StopRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopRequested
}

// Signal sends a signal; it does nothing if the child has ended.
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

// FillDisk simulates a full disk: from now on a write beyond the first maxFileBytes of a file fails with EFBIG, by the
// child's RLIMIT_FSIZE. FreeDisk ends it.
func (c *Child) FillDisk(maxFileBytes uint64) error {
	return c.setFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = maxFileBytes })
}

// FreeDisk ends FillDisk. It does nothing if the child has ended.
func (c *Child) FreeDisk() error {
	return c.setFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = limit.Max })
}

// setFileSizeLimit changes the child's RLIMIT_FSIZE.
func (c *Child) setFileSizeLimit(change func(*unix.Rlimit)) error {
	var limit unix.Rlimit
	err := unix.Prlimit(c.PID, unix.RLIMIT_FSIZE, nil, &limit)
	if err == nil {
		change(&limit)
		err = unix.Prlimit(c.PID, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("%s: limit of file sizes: %w", c.Spec.Name, err)
	}
	return nil
}

// Kill ends the child and waits for it.
func (c *Child) Kill() {
	_ = c.Signal(syscall.SIGKILL) // it has ended, or it will
	<-c.ended
}

// CPU is the processor time of an ended child in seconds; 0 before it has ended.
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

// LogTail is the last lines of the child's log.
func (c *Child) LogTail() string { return c.log.text() }

// AwaitLog waits for a log line that contains the text, and returns it. If the child ends first, the error has the last
// lines of its log.
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
		return "", fmt.Errorf("%s did not start (%w); its log ends:\n%s", c.Spec.Name, exitError(c.err), c.LogTail())
	case <-ctx.Done():
		return "", fmt.Errorf("%s: no %q in its log: %w; it ends:\n%s", c.Spec.Name, text, ctx.Err(), c.LogTail())
	}
}

func exitError(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

// Usage is the resource usage of a process.
type Usage struct {
	RSS, PeakRSS int64 // bytes
	Descriptors  int
	CPU          float64 // seconds so far
}

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ, 100 on Linux).
const clockTicksPerSecond = 100

// Measure reads the current resource usage of a process from /proc.
func Measure(pid int) (Usage, error) {
	var u Usage
	dir := "/proc/" + strconv.Itoa(pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, fmt.Errorf("measure: %w", err)
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
		return u, fmt.Errorf("measure: %w", err)
	}
	// The second field, the program's name, may contain spaces and parentheses; the third follows the last one.
	if f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(f) > 12 {
		user, _ := strconv.ParseFloat(f[11], 64)
		system, _ := strconv.ParseFloat(f[12], 64)
		u.CPU = (user + system) / clockTicksPerSecond
	}
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return u, fmt.Errorf("measure: %w", err)
	}
	u.Descriptors = len(fds)
	return u, nil
}

// logTail writes a log to its file, keeps its last lines, and notifies those who wait for a line.
type logTail struct {
	file        io.Writer
	mu          sync.Mutex
	partialLine []byte
	lastLines   []string
	waiters     map[*lineWaiter]struct{}
}

type lineWaiter struct {
	text  string
	found chan string
}

const (
	tailLines    = 60 // enough for the lines before a crash's stack trace
	maxLineBytes = 4 << 10
)

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

func (w *lineWaiter) offer(line string) {
	if strings.Contains(line, w.text) {
		select {
		case w.found <- line:
		default:
		}
	}
}

// addWaiter also searches the last lines already written.
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

func (w *logTail) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.lastLines, "\n")
}
