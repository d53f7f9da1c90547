package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a caller has got.
type answer struct {
	status   int // 0 for none
	events   int
	software map[string]int // events by the software version that wrote them
	whole    bool
}

// callers sends each request on a connection of its own.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// look sends an idempotent request to an instance.
func (f *fleet) look(in *instance, id, path string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+in.Listen+"/l/"+path, nil)
	if err != nil {
		return
	}
	r.Host = "h.example"
	r.Header.Set(names.ID, id)
	r.Header.Set(names.Deadline, "600")
	r.Header.Set("Authorization", "Bearer k1")
	f.rec.add("request %s sent to %s", id, in.Name)
	resp, err := callers.Do(r)
	if err != nil {
		f.rec.add("request %s: no answer: %v", id, err)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	f.rec.add("request %s: status %d, whole %t", id, resp.StatusCode, err == nil)
}

// send sends a request for a stream to an instance and reads the answer to its end.
func (f *fleet) send(in *instance, id, tokens, parts string) answer {
	return f.takeUp(in, id, tokens, parts, "", 0)
}

// takeUp is send for a stream that the request with the ID resumes has begun, if that is not empty, and of which the caller
// has a number of events.
func (f *fleet) takeUp(in *instance, id, tokens, parts, resumes string, events int) answer {
	a := answer{software: map[string]int{}}
	r, err := http.NewRequest(http.MethodPost, "http://"+in.Listen+"/s/x", strings.NewReader("body of "+id))
	if err != nil {
		return a
	}
	r.Host = "h.example"
	r.Header.Set(names.ID, id)
	r.Header.Set(names.Deadline, "15000")
	r.Header.Set(names.Tokens, tokens)
	r.Header.Set(names.Parts, parts)
	r.Header.Set(names.Model, "m")
	r.Header.Set("Authorization", "Bearer k1")
	if resumes != "" {
		r.Header.Set(names.Resumes, resumes)
		r.Header.Set("Last-Event-Id", itoa(events))
	}
	f.rec.add("request %s sent to %s", id, in.Name)
	resp, err := callers.Do(r)
	if err != nil {
		f.rec.add("request %s: no answer: %v", id, err)
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if _, version, ok := strings.Cut(lines.Text(), " of software "); ok {
			a.events++
			a.software[version]++
		}
	}
	a.whole = lines.Err() == nil
	f.rec.add("request %s: status %d, %d events %v, whole %t", id, a.status, a.events, a.software, a.whole)
	return a
}

func itoa(n int) string { return strconv.Itoa(n) }
