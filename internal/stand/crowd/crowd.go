package crowd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Target is the server that a crowd calls.
type Target struct {
	Address string
	// Head returns the begin of the head of a caller's request, whose framing the form adds. Large
	// says that the caller asks for a large answer.
	Head func(caller int, large bool) string
	// Body is the largest legal body.
	Body string
}

// Crowd is a number of callers. Close ends their connections.
type Crowd struct {
	sending sync.WaitGroup
	reading sync.WaitGroup
	rest    time.Duration // see Wait

	mu       sync.Mutex
	conns    []net.Conn
	statuses map[int]int // of the first answer, by caller
}

// answerTime is the time for answers that nobody reads.
const answerTime = 3 * time.Second

// sendTime bounds the time that a caller may be blocked while it sends.
const sendTime = 3 * time.Second

// Start begins to play a form. Wait waits until the callers have sent what they send.
func (f Form) Start(t Target) *Crowd {
	c := &Crowd{statuses: map[int]int{}}
	if f.Deaf {
		c.rest = answerTime
	}
	for caller := range f.Size {
		c.sending.Go(func() { c.play(f, t, caller) })
	}
	return c
}

// Wait waits until all callers have sent what they send, or can't send any more, and answers that nobody reads
// have had time to come. The callers stay connected.
func (c *Crowd) Wait() {
	c.sending.Wait()
	time.Sleep(c.rest)
}

// Close ends all connections and waits until nothing is read from them any more.
func (c *Crowd) Close() {
	c.mu.Lock()
	for _, nc := range c.conns {
		nc.Close()
	}
	c.mu.Unlock()
	c.sending.Wait()
	c.reading.Wait()
}

// Statuses returns the status of the first answer to each caller that got one. It is complete after Close.
func (c *Crowd) Statuses() map[int]int { return c.statuses }

// play connects one caller and sends what it sends.
func (c *Crowd) play(f Form, t Target, caller int) {
	nc, err := net.DialTimeout("tcp", t.Address, sendTime)
	if err != nil {
		return // refused, which is allowed
	}
	if f.Deaf {
		if err := limitReads(nc); err != nil {
			nc.Close()
			return
		}
	}
	c.mu.Lock()
	c.conns = append(c.conns, nc)
	c.mu.Unlock()
	if !f.Deaf {
		c.reading.Go(func() { c.read(nc, caller) })
	}
	if err := nc.SetWriteDeadline(time.Now().Add(sendTime)); err != nil {
		return // the connection has ended, which is allowed
	}
	if err := f.send(nc, t.Head(caller, f.Large), t.Body); err != nil {
		return // the server has closed the connection or reads no more, which is allowed
	}
}

// read reads the first answer to a caller and then whatever follows.
func (c *Crowd) read(nc net.Conn, caller int) {
	br := bufio.NewReader(nc)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return // closed without an answer, which is allowed
	}
	c.mu.Lock()
	c.statuses[caller] = resp.StatusCode
	c.mu.Unlock()
	if _, err := io.Copy(io.Discard, br); err != nil {
		return // the connection has ended
	}
}
