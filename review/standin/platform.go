package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what happens in a case to record.txt, one line each, with the milliseconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &Record{file: file, start: time.Now()}
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.1f  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

var (
	tempDir     string // the temporary folder of the case
	processesMu sync.Mutex
	processes   []*Sidecar
)

// endProcesses kills all processes that the case started.
func endProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, s := range processes {
		_ = syscall.Kill(-s.cmd.Process.Pid, syscall.SIGKILL)
		<-s.ended
	}
	processes = nil
}

// cannotRun ends the case with 2: it could not run.
func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	endProcesses()
	_ = os.RemoveAll(tempDir)
	os.Exit(2)
}

// Sidecar is one process started with the run line of the deploy file.
type Sidecar struct {
	cmd      *exec.Cmd
	Listen   string
	ended    chan struct{}
	exitText string
}

// Limits are the limits of a sidecar's configuration.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

var defaultLimits = Limits{Cores: 1, MemoryMB: 128, Sockets: 1024}

// freeAddr returns a free address on a loopback host.
func freeAddr(host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		cannotRun("no free port on %s: %v", host, err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runLine returns the run line of the deploy file.
func runLine(root string) string {
	data, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			text, err := strconv.Unquote(strings.TrimSpace(rest))
			if err == nil {
				return text
			}
		}
	}
	cannotRun("the deploy file has no run line")
	return ""
}

// startSidecar starts a sidecar and waits until it is ready.
func startSidecar(rec *Record, root, dir, name string, limits Limits, settings any, discovery string, known []Target) *Sidecar {
	return startSidecarAt(rec, root, dir, name, freeAddr("127.0.0.1"), "", limits, settings, discovery, known)
}

// startSidecarAt starts a sidecar at an address, with a management address unless that is empty.
func startSidecarAt(rec *Record, root, dir, name, listen, management string, limits Limits, settings any, discovery string, known []Target) *Sidecar {
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"management": management, "limits": limits, "known": List{Rev: 1, All: true, Targets: known}, "settings": settings,
	})
	if err != nil {
		cannotRun("configuration: %v", err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, config, 0o644); err != nil {
		cannotRun("configuration: %v", err)
	}
	tmp := filepath.Join(dir, name+".tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		cannotRun("temporary folder: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", runLine(root))
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME="+name, "NODE_LISTEN="+listen,
		"NODE_DISCOVERY="+discovery, "NODE_MANAGEMENT="+management, "TMPDIR="+tmp)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	s := &Sidecar{cmd: cmd, Listen: listen, ended: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		s.exitText = fmt.Sprint(cmd.ProcessState, " ", err)
		rec.Add("sidecar %s ended: %s", name, s.exitText)
		close(s.ended)
	}()
	processesMu.Lock()
	processes = append(processes, s)
	processesMu.Unlock()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		url := "http://" + listen + "/health/ready"
		if management != "" {
			url = "http://" + management + "/healthcheck"
		}
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(deadline) {
			cannotRun("%s is not ready", name)
		}
	}
	rec.Add("sidecar %s is ready at %s, process %d", name, listen, cmd.Process.Pid)
	return s
}

// Target is a server in discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is an object of discovery.
type List struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Discovery is the agent of a sidecar's machine. It answers at once with what it holds.
type Discovery struct {
	rec  *Record
	Addr string

	mu      sync.Mutex
	rev     int
	changes []change // in order
	changed chan struct{}
}

type change struct {
	rev    int
	target Target
}

func startDiscovery(rec *Record, targets []Target) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("discovery: %v", err)
	}
	d := &Discovery{rec: rec, Addr: l.Addr().String(), rev: 1, changed: make(chan struct{})}
	d.Change(targets...)
	go http.Serve(l, d)
	return d
}

// Change publishes changed entries under one revision.
func (d *Discovery) Change(targets ...Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, t := range targets {
		d.changes = append(d.changes, change{d.rev, t})
		d.rec.Add("discovery rev %d: %s %s at %s boot_ms %d", d.rev, t.UID, t.State, t.Endpoint, t.BootMS)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the entries changed after a revision, or the whole list.
func (d *Discovery) since(after int) (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Rev: d.rev, All: after < 0, Targets: []Target{}}
	latest := map[string]Target{}
	var order []string
	for _, c := range d.changes {
		if c.rev <= after {
			continue
		}
		if _, ok := latest[c.target.UID]; !ok {
			order = append(order, c.target.UID)
		}
		latest[c.target.UID] = c.target
	}
	for _, uid := range order {
		if t := latest[uid]; !list.All || t.State != "Gone" {
			list.Targets = append(list.Targets, t)
		}
	}
	return list, d.changed
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		list, _ := d.since(-1)
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after <= 1 { // the list before the first revision is not known: the whole list
		after = -1
	}
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher).Flush
	for {
		list, changed := d.since(after)
		if list.All || len(list.Targets) > 0 {
			if json.NewEncoder(w).Encode(list) != nil {
				return
			}
			flush()
		}
		after = list.Rev
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				if _, err := w.Write([]byte("\n")); err != nil {
					return
				}
				flush()
			case <-r.Context().Done():
				return
			}
		}
	}
}

// StockServer accepts connections and passes each complete request to Handle.
type StockServer struct {
	Name   string
	Target Target
	rec    *Record
	l      net.Listener
	// OnConn is called with each new connection before anything is read; it may block. nil: nothing.
	OnConn func(c net.Conn)
	// Handle serves a request and reports whether the connection goes on.
	Handle func(c net.Conn, r *Request) bool
}

// Request is a request that a stock server has read completely.
type Request struct {
	*http.Request
	ID   string
	Body []byte
}

func listenStock(rec *Record, name string, zone string) *StockServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("stock server: %v", err)
	}
	return &StockServer{Name: name, rec: rec, l: l, Target: Target{
		UID: name, Endpoint: l.Addr().String(), Zone: zone, Model: "standard", PodGroup: 1, State: "Ready", Capacity: 1,
	}}
}

// Serve accepts connections until the case ends.
func (s *StockServer) Serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *StockServer) serveConn(c net.Conn) {
	defer c.Close()
	if s.OnConn != nil {
		s.OnConn(c)
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			s.rec.Add("%s: request %s broke off after %d bytes of its body: %v", s.Name, r.Header.Get("X-Request-ID"), len(body), err)
			return
		}
		if !s.Handle(c, &Request{r, r.Header.Get("X-Request-ID"), body}) {
			return
		}
	}
}

// answer200 writes a 200 with a body, and reports whether the connection goes on.
func answer200(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}
