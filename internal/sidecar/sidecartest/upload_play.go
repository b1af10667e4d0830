package sidecartest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Stops of the sidecar within an UploadPlay.
const (
	StopNone    = "none"
	StopTerm    = "SIGTERM"
	StopUpgrade = "upgrade" // a newer process starts at the same address, then the older one gets SIGTERM
)

const (
	playLength      = 6 * time.Second // during which clients begin requests
	playClients     = 24
	maxUploadSize   = 3 << 20
	crowdSize       = 300 // idle connections
	maxClientPauses = 400 * time.Millisecond
)

// UploadPlay is a series of requests from several clients to servers that are slow or stop, with what else happens
// meanwhile. It is drawn from a seed.
type UploadPlay struct {
	MemoryMB, Sockets   int
	Objective, Deadline time.Duration // of all classes
	Servers             []PlayServer
	Clients             [][]Upload // requests of each client, one after the other
	Crowd               int        // idle connections that are opened first
	Stop                string
	StopAt              time.Duration
	Reloads             []time.Duration // when SIGHUP is sent
	Terms               int             // how often SIGTERM is sent
}

// PlayServer is how a server reads, at first and from a time on.
type PlayServer struct {
	Pace, Later   ReadPace
	LaterAt       time.Duration
	ReceiveBuffer int
}

// uploadDrawing draws an UploadPlay.
type uploadDrawing struct{ *rand.Rand }

// DrawUploads returns the play of a seed.
func DrawUploads(seed uint64) *UploadPlay {
	d := uploadDrawing{rand.New(rand.NewPCG(seed, 50))}
	play := &UploadPlay{
		MemoryMB: pick(d, 32, 64, 192), Sockets: pick(d, 256, 512, 1024),
		Deadline: pick(d, 800*time.Millisecond, 1500*time.Millisecond, 3*time.Second),
		Stop:     pick(d, StopNone, StopTerm, StopUpgrade), StopAt: d.between(time.Second, 4*time.Second), Terms: 1 + d.IntN(3),
	}
	play.Objective = play.Deadline * 2 / 5
	play.Servers = []PlayServer{{}} // one is sound
	for range 1 + d.IntN(3) {
		play.Servers = append(play.Servers, d.server())
	}
	for range d.IntN(4) {
		play.Reloads = append(play.Reloads, d.between(time.Second, playLength))
	}
	if d.Float64() < 0.3 {
		play.Crowd = crowdSize
	}
	for c := range playClients {
		play.Clients = append(play.Clients, d.client(c, play.Deadline))
	}
	return play
}

// pick returns one of several values.
func pick[T any](d uploadDrawing, values ...T) T { return values[d.IntN(len(values))] }

// between returns a duration between two bounds.
func (d uploadDrawing) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.Int64N(int64(to-from)))
}

// pace draws how a server reads.
func (d uploadDrawing) pace() ReadPace {
	switch d.IntN(3) {
	case 0:
		return ReadPace{BytesPerSecond: 40_000 + d.IntN(400_000)}
	case 1:
		return ReadPace{StopAfter: 2_000 + d.IntN(150_000)}
	}
	return ReadPace{}
}

func (d uploadDrawing) server() PlayServer {
	return PlayServer{
		Pace: d.pace(), Later: d.pace(), LaterAt: d.between(0, playLength), ReceiveBuffer: pick(d, 0, 4<<10, 64<<10),
	}
}

// client draws the requests of a client, which take about as long as the play.
func (d uploadDrawing) client(number int, deadline time.Duration) (uploads []Upload) {
	for spent := time.Duration(0); spent < playLength; {
		u := Upload{
			ID: fmt.Sprintf("%08x%08x", number, len(uploads)), Class: pick(d, "unsafe", "unsafe", "keyed", "safe"),
			Timeout: time.Duration((0.4 + 0.6*d.Float64()) * float64(deadline)), StartAfter: d.between(0, maxClientPauses),
		}
		if u.Class == "keyed" {
			u.Lines = "Idempotency-Key: " + u.ID + "\r\n"
		}
		if u.Class != "safe" {
			if d.IntN(8) == 0 {
				u.Lines += "Expect: 100-continue\r\n"
			}
			u.Size = int(100 * math.Pow(maxUploadSize/100, d.Float64()))
			u.Chunked = d.IntN(2) == 0
			u.Piece = pick(d, 0, 0, 1_000, 9_000, 40_000)
			u.BytesPerSecond = pick(d, 0, 0, 70_000+d.IntN(800_000))
			u.SendBuffer = pick(d, 0, 0, 16<<10)
			if u.BytesPerSecond > 0 {
				u.Size = min(u.Size, 3*u.BytesPerSecond)
			}
			if d.Float64() < 0.05 {
				u.StopAfter = 1 + d.IntN(u.Size-1)
			}
		}
		uploads = append(uploads, u)
		spent += u.StartAfter + u.writeTime() + u.Timeout/2
	}
	return uploads
}

// OutcomeCounts counts requests by their outcome. It is safe for concurrent use.
type OutcomeCounts struct {
	mu       sync.Mutex
	ByStatus map[int]int   // 0: the connection was refused or closed
	Latest   time.Duration // the longest time from when an answer was due to when it came
}

// NewOutcomeCounts returns counts of no requests.
func NewOutcomeCounts() *OutcomeCounts { return &OutcomeCounts{ByStatus: map[int]int{}} }

// Add counts the outcome of a request.
func (c *OutcomeCounts) Add(o UploadOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ByStatus[o.Status]++
	if o.Status != 0 && o.Upload.StopAfter == 0 {
		c.Latest = max(c.Latest, o.Took-o.Upload.Timeout)
	}
}

// UploadClient sends one request at a time, on a connection that it keeps as long as it can.
type UploadClient struct {
	Addr   string
	MayNew func() bool // reports whether the client opens new connections
	conn   net.Conn
}

// Do sends a request and waits for its answer. If the end of the kept connection crosses the request, it is sent once more
// on a new one.
func (c *UploadClient) Do(u Upload) UploadOutcome {
	time.Sleep(u.StartAfter)
	if c.conn != nil {
		if o := c.sendOn(u); !o.Unheard {
			return o
		}
	}
	if !c.MayNew() {
		return UploadOutcome{Upload: u, Rejected: true}
	}
	conn, err := net.Dial("tcp", c.Addr)
	if err != nil {
		return UploadOutcome{Upload: u, Rejected: true, Err: err}
	}
	c.conn = conn
	return c.sendOn(u)
}

// sendOn sends a request on the kept connection, and closes it if it carries no further one.
func (c *UploadClient) sendOn(u Upload) UploadOutcome {
	o := u.SendOn(c.conn)
	if o.Closes {
		c.Close()
	}
	return o
}

// Close closes the kept connection, if there is one.
func (c *UploadClient) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
