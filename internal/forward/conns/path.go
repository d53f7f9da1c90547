package conns

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minHeadStart is the least time that a new connection to an endpoint gets before a peer is asked
	// to open one, too. Far endpoints get dialTimes times as long as their last connections took.
	minHeadStart = 30 * time.Millisecond
	dialTimes    = 3
	// pathRetry is the interval at which an instance tries its own path to an endpoint again
	// after it could not be reached by it.
	pathRetry = time.Second
	// noPathTime is how long an instance that is cut off tries nothing after no peer could help.
	noPathTime = 300 * time.Millisecond
	// cutOffTimeout bounds the time to open a connection while the instance is cut off.
	cutOffTimeout = 150 * time.Millisecond
	// minUnreached is the number of endpoints that an instance must have failed to reach, and have
	// heard from none since, to count as cut off from all.
	minUnreached = 2
	// checkInterval is the shortest interval between two checks of the path to an endpoint.
	checkInterval = 500 * time.Millisecond
)

// ErrNoPath means that this instance reaches no endpoint, by its own path or by a peer's.
var ErrNoPath = errors.New("conns: no path to endpoints")

// errNotReached means that an endpoint was not reached a moment ago.
var errNotReached = errors.New("conns: the endpoint was not reached a moment ago")

// paths knows which endpoints this instance does not reach by its own path. The zero value is ready
// to use.
type paths struct {
	mu           sync.Mutex
	unreached    map[string]*unreached    // by address
	heardAt      map[string]time.Time     // when an endpoint last responded by the own path, by address
	dialTime     map[string]time.Duration // how long new connections by the own path take, by address
	lastHeardAt  time.Time                // when any endpoint last did
	retryAt      time.Time                // when the own path is tried next, while the instance is cut off
	nowhereUntil time.Time                // until then, no connection is tried
	checkedAt    map[string]time.Time     // when a check of the path to an endpoint last began, by address
}

// unreached describes an endpoint that could not be reached by the own path.
type unreached struct {
	since   time.Time
	retryAt time.Time // when the own path is tried next
}

// way says how to open a connection.
type way int

const (
	ownFirst   way = iota // by the own path, and a little later by a peer too
	relayFirst            // by a peer, and if none can, by the own path
	noWay                 // not at all
)

// choose returns how to open a connection to an address now.
func (p *paths) choose(address string, now time.Time) way {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutOff := p.cutOffLocked()
	if cutOff && !p.nowhereUntil.IsZero() {
		if now.Before(p.nowhereUntil) {
			return noWay
		}
		p.nowhereUntil = now.Add(noPathTime) // this request tries, the others wait for its result
	}
	if u := p.unreached[address]; u != nil {
		if now.Before(u.retryAt) {
			return relayFirst
		}
		u.retryAt = now.Add(pathRetry)
		return ownFirst
	}
	if cutOff {
		if now.Before(p.retryAt) {
			return relayFirst
		}
		p.retryAt = now.Add(pathRetry)
	}
	return ownFirst
}

// cutOffLocked reports whether the instance is cut off from all endpoints. The caller holds
// the lock.
func (p *paths) cutOffLocked() bool {
	if len(p.unreached) < minUnreached {
		return false
	}
	for _, u := range p.unreached {
		if !p.lastHeardAt.Before(u.since) {
			return false
		}
	}
	return true
}

// cutOff reports whether the instance is cut off from all endpoints.
func (p *paths) cutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOffLocked()
}

// headStart returns the time that a new connection to an address gets before a peer is asked.
func (p *paths) headStart(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(dialTimes*p.dialTime[address], minHeadStart)
}

// noteDialTime records how long a new connection by the own path has taken.
func (p *paths) noteDialTime(address string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialTime == nil {
		p.dialTime = map[string]time.Duration{}
	}
	p.dialTime[address] = max(took, p.dialTime[address]*9/10)
}

// heard records that the endpoint at an address can be reached by the own path.
func (p *paths) heard(address string, now time.Time) (wasUnreached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heardAt == nil {
		p.heardAt = map[string]time.Time{}
	}
	p.heardAt[address], p.lastHeardAt = now, now
	p.nowhereUntil = time.Time{}
	wasUnreached = p.unreached[address] != nil
	delete(p.unreached, address)
	return wasUnreached
}

// failed records that the endpoint at an address cannot be reached by the own path.
func (p *paths) failed(address string, now time.Time) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreached == nil {
		p.unreached = map[string]*unreached{}
	}
	if p.unreached[address] != nil {
		return false
	}
	p.unreached[address] = &unreached{since: now, retryAt: now.Add(pathRetry)}
	return true
}

// forget forgets what is known of addresses that were last tried long ago.
func (p *paths) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, u := range p.unreached {
		if now.Sub(u.retryAt) > 10*pathRetry {
			delete(p.unreached, a)
		}
	}
	for _, times := range []map[string]time.Time{p.heardAt, p.checkedAt} {
		for a, at := range times {
			if now.Sub(at) > time.Minute {
				delete(times, a)
				delete(p.dialTime, a)
			}
		}
	}
}

// nowhere records that no peer could help, if the instance is cut off.
func (p *paths) nowhere(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOffLocked() {
		p.nowhereUntil = now.Add(noPathTime)
	}
}

// mayCheck reports whether the path to an address is to be checked, because the endpoint has not
// been heard from since a request was sent, and records that this happens now.
func (p *paths) mayCheck(address string, sentAt, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heardAt[address].After(sentAt) || now.Sub(p.checkedAt[address]) < checkInterval {
		return false
	}
	if p.checkedAt == nil {
		p.checkedAt = map[string]time.Time{}
	}
	p.checkedAt[address] = now
	return true
}

// dialed is the result of an attempt to open a connection.
type dialed struct {
	nc      net.Conn
	err     error
	relayed bool
}

// open opens a connection to the endpoint at an address, by the own path or by a peer.
func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	switch w := p.paths.choose(address, time.Now()); {
	case p.Relay == nil:
		nc, err := p.dialOwn(ctx, address, dialTimeout)
		if err != nil {
			return nil, err
		}
		return newConn(address, nc), nil
	case w == noWay:
		return nil, ErrNoPath
	case w == relayFirst:
		return p.race(ctx, address, 0, p.paths.headStart(address))
	default:
		return p.race(ctx, address, p.paths.headStart(address), 0)
	}
}

// attempt opens a connection in the background after a delay, or when start is called.
type attempt struct {
	timer    *time.Timer
	dial     func()
	received bool // its result was received
}

func newAttempt(delay time.Duration, dial func()) *attempt {
	return &attempt{timer: time.AfterFunc(delay, dial), dial: dial}
}

// start starts the attempt unless it has started.
func (a *attempt) start() {
	if a.timer.Stop() {
		go a.dial()
	}
}

// cancel prevents the attempt from starting, and reports whether a result of it is still to come.
func (a *attempt) cancel() bool { return !a.timer.Stop() && !a.received }

// race opens a connection by the own path after the time ownDelay and by a peer after the
// time relayDelay, or when the other way has failed, and returns the first one.
func (p *Pool) race(ctx context.Context, address string, relayDelay, ownDelay time.Duration) (*Conn, error) {
	limit := dialTimeout
	if p.paths.cutOff() {
		limit = cutOffTimeout
	}
	results := make(chan dialed, 2)
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	relay := newAttempt(relayDelay, func() {
		nc, err := p.Relay(relayCtx, address)
		results <- dialed{nc, err, true}
	})
	own := newAttempt(ownDelay, func() {
		// The result is of use after the request, too.
		nc, err := p.dialOwn(context.WithoutCancel(ctx), address, limit)
		results <- dialed{nc, err, false}
	})
	defer func() {
		pending := 0
		for _, a := range []*attempt{relay, own} {
			if a.cancel() {
				pending++
			}
		}
		if pending > 0 {
			go p.awaitLate(address, results, pending)
		}
	}()
	var errs error
	for range 2 {
		var d dialed
		select {
		case d = <-results:
		case <-ctx.Done():
			return nil, errors.CombineErrors(ctx.Err(), errs)
		}
		this, other := own, relay
		if d.relayed {
			this, other = relay, own
		}
		this.received = true
		switch {
		case d.err == nil && d.relayed:
			p.noteFailed(address)
		case d.err == nil:
			p.noteHeard(address)
		case d.relayed && errors.Is(d.err, ErrNoPath):
			p.paths.nowhere(time.Now())
		case !d.relayed:
			p.noteFailed(address)
		}
		if d.err == nil {
			c := newConn(address, d.nc)
			c.relayed = d.relayed
			return c, nil
		}
		errs = errors.CombineErrors(errs, d.err)
		other.start()
	}
	return nil, errs
}

// awaitLate receives the results that come after the request has gone on without them. It keeps a
// connection of the own path for later requests.
func (p *Pool) awaitLate(address string, results <-chan dialed, pending int) {
	for range pending {
		d := <-results
		switch {
		case d.err != nil && !d.relayed:
			p.noteFailed(address)
		case d.err != nil:
		case d.relayed:
			d.nc.Close()
		default:
			p.noteHeard(address)
			p.Put(newConn(address, d.nc))
		}
	}
}

// DialOwn opens a connection to an endpoint by the own path, for a peer. It fails with ErrNoPath
// at once while this instance is cut off.
func (p *Pool) DialOwn(ctx context.Context, address string) (net.Conn, error) {
	switch w := p.paths.choose(address, time.Now()); {
	case w == ownFirst:
	case p.paths.cutOff():
		return nil, ErrNoPath
	default:
		return nil, errNotReached
	}
	nc, err := p.dialOwn(ctx, address, cutOffTimeout)
	if err != nil {
		p.noteFailed(address)
		if p.paths.cutOff() {
			return nil, errors.CombineErrors(ErrNoPath, err)
		}
		return nil, err
	}
	p.noteHeard(address)
	return nc, nil
}

// dialOwn opens a connection by the own path within the time limit.
func (p *Pool) dialOwn(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	began := time.Now()
	nc, err := dial(ctx, address)
	if err == nil {
		p.paths.noteDialTime(address, time.Since(began))
	}
	return nc, err
}

// Check checks the path to the endpoint at an address in the background, unless the endpoint has been
// heard from since a request was sent to it.
func (p *Pool) Check(address string, sentAt time.Time) {
	if p.Relay == nil || !p.paths.mayCheck(address, sentAt, time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		c, err := p.race(ctx, address, p.paths.headStart(address), 0)
		if err == nil {
			p.Put(c)
		}
	}()
}

// Heard records that a response has come on a connection.
func (p *Pool) Heard(c *Conn) {
	if p.Relay != nil && !c.relayed {
		p.noteHeard(c.address)
	}
}

// noteHeard records that an endpoint was reached by the own path.
func (p *Pool) noteHeard(address string) {
	if p.paths.heard(address, time.Now()) && p.PathChanged != nil {
		p.PathChanged(address, true, p.paths.cutOff())
	}
}

// noteFailed records that an endpoint was not reached by the own path. Its idle connections are
// closed, because they may hang.
func (p *Pool) noteFailed(address string) {
	if p.Relay == nil || !p.paths.failed(address, time.Now()) {
		return
	}
	p.closeIdle(address)
	if p.PathChanged != nil {
		p.PathChanged(address, false, p.paths.cutOff())
	}
}
