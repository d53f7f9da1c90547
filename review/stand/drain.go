package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// keptClients is the number of clients that keep their connection to the machine that is stopped.
	keptClients = 12
	// firstEvents and secondEvents make the two streams that such a client reads one after the other: 5 s
	// and more, and 6 s.
	firstEvents  = 34
	secondEvents = 40
	// graceTime is graceS, and excuseTime the time after the SIGTERM up to which a request may be cut in the
	// last sixth of it.
	graceTime  = 8 * time.Second
	excuseTime = 3 * time.Second
	// clientTrip is the time from the end of an answer at the machine to the client's next request there:
	// 3 ms each way.
	clientTrip = 6 * time.Millisecond
)

// kept is a request of a client on a kept connection.
type kept struct {
	id          string
	sentAt      time.Time
	endedAt     time.Time
	reused      bool // sent on a connection that has carried a request before
	status      int
	events      int
	whole       bool
	deadlineHit bool
}

// playDrain plays the planned stop of one machine, while clients read streams one after the other on
// connections that they keep.
func playDrain(f *fleet) (bool, error) {
	engine := func(r *replica) { r.events, r.gap = streamEvents, streamGap }
	if err := f.addReplicas("models", "v1", 4, engine); err != nil {
		return false, err
	}
	if err := f.platform.configure(1_000_000_000); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(settleTime + time.Second)
	var work sync.WaitGroup
	results := make([][]kept, keptClients)
	for i := range keptClients {
		work.Go(func() {
			t := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			defer t.CloseIdleConnections()
			for n, events := range []int{firstEvents, secondEvents} {
				time.Sleep(clientTrip)
				results[i] = append(results[i], f.readKept(t, f.machines[0], fmt.Sprint("k", i, "-", n), events))
			}
		})
		time.Sleep(37 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stoppedAt := time.Now()
	if trouble != "0" {
		if err := f.machines[0].signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		f.machines[0].wait()
		f.record.say("%s has ended %.1f s after the SIGTERM", f.machines[0].name, time.Since(stoppedAt).Seconds())
	}
	work.Wait()
	return f.judgeDrain(results, stoppedAt), nil
}

// readKept reads one stream on a connection of t.
func (f *fleet) readKept(t *http.Transport, m *machine, id string, events int) kept {
	const deadline = 15 * time.Second
	k := kept{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { k.reused = i.Reused }})
	q, err := f.client.newRequest(ctx, m, http.MethodPost, "/draft/x", id, "body of "+id, deadline)
	if err != nil {
		f.record.add("client   %s: %v", id, err)
		return k
	}
	q.Header.Set(f.names["model"], "m")
	q.Header.Set(f.names["tokens"], "60,"+strconv.Itoa(stride*events))
	q.Header.Set(f.names["prefix"], fmt.Sprintf("%x:60", id))
	q.GetBody = nil
	f.record.add("send     %s to %s", id, m.name)
	resp, err := t.RoundTrip(q)
	if err != nil {
		k.endedAt = time.Now()
		f.record.add("answer   %s: none (%v)", id, err)
		return k
	}
	defer resp.Body.Close()
	k.status = resp.StatusCode
	if k.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
	} else {
		err = readEvents(resp.Body, func(event int, _ string) { k.events = event })
		k.whole = err == nil
	}
	k.endedAt, k.deadlineHit = time.Now(), ctx.Err() != nil
	f.record.add("answer   %s: %d, %d of %d events, whole %t, on a kept connection %t", id, k.status, k.events, events, k.whole, k.reused)
	return k
}

// judgeDrain reports whether the stop has cut a request that the rule does not excuse.
func (f *fleet) judgeDrain(results [][]kept, stoppedAt time.Time) bool {
	lost, excused := 0, 0
	for _, list := range results {
		for _, k := range list {
			ran := false
			for _, r := range f.platform.replicas {
				r.mu.Lock()
				ran = ran || r.runs[k.id] > 0
				r.mu.Unlock()
			}
			sent, ended := k.sentAt.Sub(stoppedAt), k.endedAt.Sub(stoppedAt)
			switch {
			case k.whole || !ran || k.deadlineHit || k.status > 0 && k.status != http.StatusOK || ended > graceTime+time.Second:
			case sent <= excuseTime && ended >= graceTime*5/6:
				excused++
			default:
				lost++
				f.record.say("%s was sent %.2f s after the SIGTERM, has run, and was cut after %d events, %.2f s after the SIGTERM", k.id, sent.Seconds(), k.events, ended.Seconds())
			}
		}
	}
	f.record.say("%d requests were cut by the stop, and %d more that the rule excuses", lost, excused)
	return lost > 0
}
