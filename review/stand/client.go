package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream is what a client has of one stream, over its tries.
type stream struct {
	name     string
	first    string // attempt ID that brought the first event
	last     int    // ID of the last whole event
	versions []string
	whole    bool
	broken   string // why the stream is broken, empty if it is not
}

// mixed reports whether the stream holds events of two software versions.
func (s *stream) mixed() bool { return len(s.versions) > 1 }

// add adds one event.
func (s *stream) add(id int, version string) {
	if id != s.last+1 {
		s.broken = fmt.Sprintf("event %d after %d", id, s.last)
	}
	s.last = id
	if n := len(s.versions); n == 0 || s.versions[n-1] != version {
		s.versions = append(s.versions, version)
	}
}

// client stands in for the clients. Each try is on a new connection.
type client struct {
	names  names
	record *record
	key    string
}

// transport makes one connection for one try, which may take one second.
func transport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}

// newRequest makes one client attempt.
func (c *client) newRequest(ctx context.Context, m *machine, method, path, id, body string, deadline time.Duration) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Host = "calls.example"
	q.Header.Set(c.names["attempt"], id)
	q.Header.Set(c.names["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+c.key)
	return q, nil
}

// read sends one client attempt for a stream to a machine and adds the events to it. It returns the
// status, 0 if there was no answer.
func (c *client) read(m *machine, id string, s *stream, prompt, output int, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := c.newRequest(ctx, m, http.MethodPost, "/draft/x", id, "body of "+s.name, deadline)
	if err != nil {
		c.record.add("client   %s: %v", id, err)
		return 0
	}
	q.Header.Set(c.names["model"], "m")
	q.Header.Set(c.names["tokens"], fmt.Sprintf("%d,%d", prompt, output))
	q.Header.Set(c.names["prefix"], fmt.Sprintf("%x:%d", s.name, prompt))
	if s.first != "" {
		q.Header.Set(c.names["lastEvent"], strconv.Itoa(s.last))
		q.Header.Set(c.names["resumes"], s.first)
	}
	c.record.add("send     %s to %s, stream %s after event %d", id, m.name, s.name, s.last)
	t := transport()
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(q)
	if err != nil {
		c.record.add("answer   %s: none (%v)", id, err)
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
		c.record.add("answer   %s: %d %s", id, resp.StatusCode, strings.TrimSpace(string(text)))
		return resp.StatusCode
	}
	err = readEvents(resp.Body, func(event int, version string) {
		if s.first == "" {
			s.first = id
		}
		s.add(event, version)
		c.record.add("event    %s: %d of %s", id, event, version)
	})
	s.whole = err == nil
	c.record.add("answer   %s: 200, whole %t, events up to %d of %v", id, s.whole, s.last, s.versions)
	return resp.StatusCode
}

// readEvents calls found with each whole event. Its error says that the answer has not ended as it
// should.
func readEvents(body io.Reader, found func(id int, version string)) error {
	br := bufio.NewReader(body)
	id, version := 0, ""
	for {
		line, err := br.ReadString('\n')
		if err == io.EOF && line == "" && id == 0 {
			return nil
		}
		if err != nil {
			return fmt.Errorf("the stream ends inside an event: %w", err)
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && id > 0:
			found(id, version)
			id, version = 0, ""
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			words := strings.Fields(line)
			version = words[len(words)-1]
		}
	}
}
