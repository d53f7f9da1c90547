package escrow

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

// happens returns true with the given probability, from 0 to 1. The probability
// is passed by pointer and read under the lock, since an event may change it at
// any time.
func (c *cluster) happens(probability *float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < *probability
}

// randomBetween returns a random duration from from to to, both included.
func (c *cluster) randomBetween(from, to time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from + time.Duration(c.random.Int64N(int64(to-from)+1))
}

// connected reports whether two zones can reach each other.
func (c *cluster) connected(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cutLinks[[2]string{a, b}] && !c.cutLinks[[2]string{b, a}]
}

// sleep waits for d and reports whether that time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reachStore simulates the network path of a call to the store. While the store
// is down the call fails after a millisecond. If the zone can't reach the store,
// the call hangs until ctx ends.
func (p *proc) reachStore(ctx context.Context) error {
	c := p.cluster
	if !p.waitRunning() {
		return errNoReply
	}
	c.mu.Lock()
	down, slow, cut := c.storeDown, c.storeDelay, c.cutFromStore[p.zone]
	c.mu.Unlock()
	if down {
		sleep(ctx, time.Millisecond)
		return errNoReply
	}
	if cut {
		<-ctx.Done()
		return errNoReply
	}
	if !sleep(ctx, c.randomBetween(time.Millisecond, 3*time.Millisecond)+slow) {
		return errNoReply
	}
	return nil
}

// store returns the simulated store as p reaches it. Replies may be lost, and a
// write whose caller gave up may still take effect.
func (p *proc) store() Store {
	c := p.cluster
	return Store{
		Read: func(ctx context.Context, _ string) (*Ledger, int64, error) {
			if err := p.reachStore(ctx); err != nil {
				return nil, 0, err
			}
			l, version := c.read()
			if !p.waitRunning() {
				return nil, 0, errNoReply
			}
			return l, version, nil
		},
		Write: func(ctx context.Context, _ string, version int64, l *Ledger) error {
			if err := p.reachStore(ctx); err != nil {
				if evenOdds := 0.5; c.happens(&evenOdds) {
					// The caller gave up, but the store may still receive the write.
					c.write(version, l)
				}
				return err
			}
			err := c.write(version, l)
			if !p.waitRunning() || c.happens(&c.ackLoss) {
				return errNoReply
			}
			return err
		},
	}
}

// read decodes the stored ledger and returns it with its version. It simulates
// neither delays nor failures.
func (c *cluster) read() (*Ledger, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &Ledger{}
	if err := json.Unmarshal(c.data, l); err != nil {
		panic(err)
	}
	return l, c.version
}

// write stores l if version is the version of the stored ledger. Otherwise it
// returns ErrConflict. It simulates neither delays nor other failures.
func (c *cluster) write(version int64, l *Ledger) error {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version != c.version {
		return ErrConflict
	}
	c.data = data
	c.version++
	c.writes++
	return nil
}

// writeCount returns the number of successful writes of the ledger so far.
// Holders may write at any time, also when no request is open.
func (c *cluster) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// topUp pays amount into the ledger, as an operator does, and into the central
// ledger.
func (c *cluster) topUp(id string, amount int64) {
	for {
		l, version := c.read()
		if err := l.TopUp(id, amount); err != nil {
			panic(err)
		}
		if c.write(version, l) == nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.central.paid += amount
}

// deliver sends a message from p to a process, where call handles it, and
// returns the reply. The message or the reply may be lost, which is reported as
// errNoReply. call may run twice, as for a message that arrives twice.
func deliver[T any](ctx context.Context, p *proc, process string, call func(h *Holder) (T, error)) (T, error) {
	var zero T
	c := p.cluster
	c.mu.Lock()
	target := c.everyProc[process]
	c.mu.Unlock()
	if target == nil || !p.waitRunning() {
		return zero, errNoReply
	}
	if !c.connected(p.zone, target.zone) || c.happens(&c.messageLoss) {
		<-ctx.Done()
		return zero, errNoReply
	}
	if !sleep(ctx, c.randomBetween(200*time.Microsecond, 2*time.Millisecond)) || !target.waitRunning() {
		return zero, errNoReply
	}
	if c.happens(&c.duplication) {
		if _, err := call(target.holder); err != nil {
			return zero, err
		}
	}
	reply, err := call(target.holder)
	if !sleep(ctx, c.randomBetween(200*time.Microsecond, 2*time.Millisecond)) || !c.connected(p.zone, target.zone) || c.happens(&c.messageLoss) || !p.waitRunning() {
		return zero, errNoReply
	}
	return reply, err
}

// peers returns the functions by which the holder of p reaches the other
// holders of the cluster.
func (p *proc) peers() Peers {
	c := p.cluster
	return Peers{
		Live:        func() []string { return p.livePeers(false) },
		ZoneMembers: p.zoneMembers,
		Witnesses:   func() []string { return p.livePeers(true) },
		Silent:      func(process string) bool { return p.silent(process) != c.happens(&c.wrongSilence) },
		Request: func(ctx context.Context, process string, req TransferRequest) (TransferReply, error) {
			return deliver(ctx, p, process, func(h *Holder) (TransferReply, error) { return h.HandleRequest(ctx, req), nil })
		},
		Deliver: func(ctx context.Context, process string, t Transfer) (TransferAck, error) {
			return deliver(ctx, p, process, func(h *Holder) (TransferAck, error) { return h.HandleTransfer(t) })
		},
		RaiseMarks: func(ctx context.Context, process string, marks []Mark) ([]string, error) {
			return deliver(ctx, p, process, func(h *Holder) ([]string, error) {
				var sealed []string
				for _, m := range marks {
					if err := h.Witness().Raise(m.ID, m.Limit); err != nil {
						sealed = append(sealed, m.ID)
					}
				}
				return sealed, nil
			})
		},
		Seal: func(ctx context.Context, process, id string) (int64, error) {
			return deliver(ctx, p, process, func(h *Holder) (int64, error) { return h.Witness().Seal(id) })
		},
	}
}

// livePeers returns the IDs of the current processes of the other instances
// that are not silent for p. If witnesses is true, it returns at most three of
// them, to be the witnesses of a share.
func (p *proc) livePeers(witnesses bool) []string {
	c := p.cluster
	c.mu.Lock()
	procs := slices.Clone(c.procs)
	c.mu.Unlock()
	var names []string
	for _, q := range procs {
		if q != nil && q != p && !p.silent(q.name) {
			names = append(names, q.name)
		}
	}
	if witnesses {
		return names[:min(3, len(names))]
	}
	return names
}

// zoneMembers returns the IDs of the live processes of p's zone, including p.
// It returns nil if each holder of the cluster draws from the ledger.
func (p *proc) zoneMembers() []string {
	c := p.cluster
	c.mu.Lock()
	zoned := c.zoned
	c.mu.Unlock()
	if !zoned {
		return nil
	}
	names := []string{p.name}
	for _, name := range p.livePeers(false) {
		c.mu.Lock()
		q := c.everyProc[name]
		c.mu.Unlock()
		if q.zone == p.zone {
			names = append(names, name)
		}
	}
	return names
}

// silent reports whether a process is crashed, paused, unknown or unreachable
// from p.
func (p *proc) silent(process string) bool {
	c := p.cluster
	c.mu.Lock()
	target := c.everyProc[process]
	c.mu.Unlock()
	if target == nil || !c.connected(p.zone, target.zone) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-target.running:
		return target.dead
	default:
		return true
	}
}
