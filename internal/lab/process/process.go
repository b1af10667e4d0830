// Package process runs programs as children of the lab: each with its own configuration, limits, log and folder.
//
// Promise: a child ends with the lab, also when the lab is killed (the kernel sends it SIGKILL when the thread
// that started it ends, so one thread starts all and lives as long as the lab); a child that ends by itself is
// known with its exit and the end of its log.
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

// Nursery starts children.
type Nursery struct {
	start chan func()
	done  chan struct{}
	wg    sync.WaitGroup

	mu    sync.Mutex
	alive map[*Copy]struct{}
}

// NewNursery starts the thread that children hang on.
func NewNursery() *Nursery {
	n := &Nursery{start: make(chan func()), done: make(chan struct{}), alive: map[*Copy]struct{}{}}
	go func() {
		defer close(n.done)
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine, and children with the thread
		for f := range n.start {
			f()
		}
	}()
	return n
}

// Close kills what is left and ends the thread. It kills one by one: the thread may be the process's first, which stays
// to the process's end whatever its goroutine does, and its children with it.
func (n *Nursery) Close() {
	close(n.start)
	<-n.done
	n.mu.Lock()
	for c := range n.alive {
		_ = c.Signal(syscall.SIGKILL) // it has ended, or it will
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Spec is a program to run.
type Spec struct {
	Name    string
	Path    string
	Args    []string
	Env     []string
	Dir     string // its folder, for its files and log
	Sockets int    // descriptors it may hold; 0: as the lab
}

// LogPath is the file that has the log of all children that were started in the folder.
func (s *Spec) LogPath() string { return filepath.Join(s.Dir, "log.txt") }

// Copy is one running child.
type Copy struct {
	Spec  Spec
	PID   int
	cmd   *exec.Cmd
	log   *logTail
	ended chan struct{}
	err   error

	mu    sync.Mutex
	asked bool // its end is wanted
}

// Start runs a program.
func (n *Nursery) Start(spec Spec) (*Copy, error) {
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	file, err := os.OpenFile(spec.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	c := &Copy{Spec: spec, ended: make(chan struct{}), log: &logTail{to: file, waiters: map[*lineWaiter]struct{}{}}}
	c.cmd = exec.Command(spec.Path, spec.Args...)
	c.cmd.Env, c.cmd.Dir = spec.Env, spec.Dir
	c.cmd.Stdout, c.cmd.Stderr = c.log, c.log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.cmd.WaitDelay = time.Second
	started := make(chan error, 1)
	n.start <- func() { started <- c.cmd.Start() }
	if err := <-started; err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	c.PID = c.cmd.Process.Pid
	n.mu.Lock()
	n.alive[c] = struct{}{}
	n.mu.Unlock()
	n.wg.Go(func() {
		c.err = c.cmd.Wait()
		n.mu.Lock()
		delete(n.alive, c)
		n.mu.Unlock()
		file.Close()
		close(c.ended)
	})
	if spec.Sockets > 0 {
		limit := &unix.Rlimit{Cur: uint64(spec.Sockets), Max: uint64(spec.Sockets)}
		if err := unix.Prlimit(c.PID, unix.RLIMIT_NOFILE, limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			c.Kill()
			return nil, fmt.Errorf("%s: limit of descriptors: %w", spec.Name, err)
		}
	}
	return c, nil
}

// Ended is closed when the child has ended.
func (c *Copy) Ended() <-chan struct{} { return c.ended }

// Err is how it ended; nil for a clean exit. Only after Ended.
func (c *Copy) Err() error { return c.err }

// Asked tells whether its end was wanted, by Signal or Kill.
func (c *Copy) Asked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

// Signal sends a signal; an ended child takes none.
func (c *Copy) Signal(s syscall.Signal) error {
	c.mu.Lock()
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL, syscall.SIGINT:
		c.asked = true
	}
	c.mu.Unlock()
	if err := c.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: signal %v: %w", c.Spec.Name, s, err)
	}
	return nil
}

// FillDisk makes each write of the child beyond the first bytes of a file fail from now on (with EFBIG, by its limit of
// the size of files), as a full disk would. MakeRoom ends it.
func (c *Copy) FillDisk(room uint64) error {
	return c.limitFiles(func(limit *unix.Rlimit) { limit.Cur = room })
}

// MakeRoom lets the child write again. A child that has ended needs none.
func (c *Copy) MakeRoom() error {
	return c.limitFiles(func(limit *unix.Rlimit) { limit.Cur = limit.Max })
}

// limitFiles changes the child's limit of the size of files.
func (c *Copy) limitFiles(change func(*unix.Rlimit)) error {
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
func (c *Copy) Kill() {
	_ = c.Signal(syscall.SIGKILL) // it has ended, or it will
	<-c.ended
}

// CPU is the seconds of processor time that an ended child took; 0 before.
func (c *Copy) CPU() float64 {
	select {
	case <-c.ended:
		if s := c.cmd.ProcessState; s != nil {
			return (s.UserTime() + s.SystemTime()).Seconds()
		}
	default:
	}
	return 0
}

// Tail is the end of its log.
func (c *Copy) Tail() string { return c.log.tail() }

// Await waits until a line of its log has the text, and returns that line. A child that ends first is an error
// with the end of its log.
func (c *Copy) Await(ctx context.Context, text string) (string, error) {
	w := c.log.wait(text)
	defer c.log.forget(w)
	select {
	case line := <-w.found:
		return line, nil
	case <-c.ended:
		select {
		case line := <-w.found:
			return line, nil
		default:
		}
		return "", fmt.Errorf("%s did not start (%w); its log ends:\n%s", c.Spec.Name, orNil(c.err), c.Tail())
	case <-ctx.Done():
		return "", fmt.Errorf("%s: no %q in its log: %w; it ends:\n%s", c.Spec.Name, text, ctx.Err(), c.Tail())
	}
}

func orNil(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

// Usage is what a process takes.
type Usage struct {
	RSS, Peak   int64 // bytes
	Descriptors int
	CPU         float64 // seconds so far
}

// clockTick is how the kernel counts CPU time for processes, on every Linux (USER_HZ).
const clockTick = 100

// Measure reads what a process takes now.
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
			u.Peak = n << 10
		}
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, fmt.Errorf("measure: %w", err)
	}
	// After the name, which may hold anything, come the fields from the third on.
	if f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(f) > 12 {
		user, _ := strconv.ParseFloat(f[11], 64)
		system, _ := strconv.ParseFloat(f[12], 64)
		u.CPU = (user + system) / clockTick
	}
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return u, fmt.Errorf("measure: %w", err)
	}
	u.Descriptors = len(fds)
	return u, nil
}

// logTail passes a log on to its file, keeps its end, and tells who waits for a line.
type logTail struct {
	to      io.Writer
	mu      sync.Mutex
	line    []byte
	last    []string
	waiters map[*lineWaiter]struct{}
}

type lineWaiter struct {
	text  string
	found chan string
}

const (
	keepLines = 60 // a crash's stack must not hide what was said before it
	maxLine   = 4 << 10
)

func (w *logTail) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	for rest := p; len(rest) > 0; {
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			w.line = append(w.line, rest[:min(len(rest), maxLine-min(len(w.line), maxLine))]...)
			break
		}
		line := string(append(w.line, rest[:i]...))
		w.line, rest = w.line[:0], rest[i+1:]
		w.last = append(w.last, line)
		w.last = w.last[max(len(w.last)-keepLines, 0):]
		for one := range w.waiters {
			one.see(line)
		}
	}
	return n, err
}

func (w *lineWaiter) see(line string) {
	if strings.Contains(line, w.text) {
		select {
		case w.found <- line:
		default:
		}
	}
}

// wait also sees the lines that are kept.
func (w *logTail) wait(text string) *lineWaiter {
	one := &lineWaiter{text: text, found: make(chan string, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.last {
		one.see(line)
	}
	w.waiters[one] = struct{}{}
	return one
}

func (w *logTail) forget(one *lineWaiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, one)
}

func (w *logTail) tail() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.last, "\n")
}
