package escrow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoReply is the error of a simulated call to the store or a peer that got
// no reply.
var errNoReply = errors.New("simulated call got no reply")

// cluster runs holders on a simulated store and simulated messages. It counts
// the amounts that requests actually spend, independently of the holders and
// their ledger. For comparison it also makes the same requests to a central
// ledger that has no delays and no failures.
type cluster struct {
	mu     sync.Mutex
	random *rand.Rand
	zones  []string // zone of each instance, by instance number

	data          []byte // the stored ledger, encoded
	version       int64
	writes        int // successful writes of the ledger
	storeDown     bool
	storeDelay    time.Duration      // added to each call to the store
	ackLoss       float64            // probability that the reply to a write is lost
	cutFromStore  map[string]bool    // zones that can't reach the store
	cutLinks      map[[2]string]bool // pairs of zones that can't reach each other
	messageLoss   float64            // probability that a message between peers is lost
	duplication   float64            // probability that a message between peers arrives twice
	wrongSilence  float64            // probability that Peers.Silent is wrong
	zoned         bool               // one holder in each zone, the home, draws from the ledger for the whole zone
	procs         []*proc            // the current process of each instance
	everyProc     map[string]*proc   // all processes ever started, also crashed ones, by process ID
	policy        Policy
	scheme        scheme
	central       totals // counters of the central ledger
	actual        totals // counters of all holders together
	requested     int
	refused       int
	falseRefusals int // refused requests for which the rest of the budget would have sufficed; see countRefusal
	lostRefusals  int // refused requests that the central ledger admitted
	violations    []error
	writtenOff    []WriteOff // as reported to Holder.WrittenOff
	tasks         sync.WaitGroup
}

// totals holds the counters of the central ledger, or of all holders together,
// in micro-units. The central ledger admits or refuses each request at once and
// on its own counters only: it does not see which requests the holders
// admitted.
type totals struct{ paid, used, reserved int64 }

// admit reserves amount and reports true if the total paid in, less the used
// and the reserved amounts, covers it. Otherwise it reserves nothing.
func (t *totals) admit(amount int64) bool {
	if t.used+t.reserved+amount > t.paid {
		return false
	}
	t.reserved += amount
	return true
}

// proc is one process of an instance, from its start to its crash or the end of
// the test.
type proc struct {
	cluster *cluster
	name    string
	zone    string
	holder  *Holder
	cancel  context.CancelFunc
	ended   chan struct{}
	dead    bool
	running chan struct{} // closed while the process runs, open while it is paused
}

// callerTimeout is how long the caller of a request waits for a paused instance
// before the request is dropped.
const callerTimeout = 10 * time.Second

const testBudget = "budget"

// scheme is a method by which processes spend one budget. TestTable compares
// the one of this package with others.
type scheme struct {
	name string
	// reserve reserves amount for a request at p, for which it may wait up to
	// wait. It returns the function that settles the reservation at used and
	// returns the amount spent.
	reserve func(p *proc, amount int64, wait time.Duration) (settle func(used int64) int64, err error)
}

// shareScheme is the scheme of this package: each process spends from its
// share.
var shareScheme = scheme{name: "shares", reserve: func(p *proc, amount int64, wait time.Duration) (func(int64) int64, error) {
	hold, err := p.holder.Reserve(context.Background(), testBudget, p.cluster.policy, ReserveRequest{Amount: amount, Wait: wait})
	return hold.Settle, err
}}

// newCluster returns a cluster with an empty budget. It has one instance, with a
// running process, for each element of zones; the element is the zone of the
// instance.
func newCluster(seed uint64, zones []string, p Policy) *cluster {
	c := &cluster{
		scheme: shareScheme,
		random: rand.New(rand.NewPCG(seed, 1)), zones: zones, policy: p,
		cutFromStore: map[string]bool{}, cutLinks: map[[2]string]bool{}, everyProc: map[string]*proc{},
	}
	data, err := json.Marshal(NewLedger("account"))
	if err != nil {
		panic(err)
	}
	c.data, c.version = data, 1
	c.procs = make([]*proc, len(zones))
	for i := range zones {
		c.startProc(i)
	}
	return c
}

// startProc starts a new process on instance i. It does nothing if the current
// process of the instance is alive.
func (c *cluster) startProc(i int) {
	c.mu.Lock()
	if previous := c.procs[i]; previous != nil && !previous.dead {
		c.mu.Unlock()
		return
	}
	name := fmt.Sprintf("entry-%d/%d", i, len(c.everyProc))
	p := &proc{cluster: c, name: name, zone: c.zones[i], running: make(chan struct{}), ended: make(chan struct{})}
	close(p.running)
	p.holder = NewHolder(name, p.store(), p.peers(), c.addViolation)
	p.holder.WrittenOff = c.addWriteOff
	if c.zoned {
		p.holder.Configure(map[string]Policy{testBudget: c.policy})
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c.procs[i] = p
	c.everyProc[name] = p
	c.mu.Unlock()
	go func() {
		defer close(p.ended)
		p.holder.Run(ctx)
	}()
}

// proc returns the current process of instance i. Another goroutine may start a
// new one at any time.
func (c *cluster) proc(i int) *proc {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.procs[i]
}

func (c *cluster) addViolation(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, err)
}

func (c *cluster) addWriteOff(_ string, w WriteOff) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenOff = append(c.writtenOff, w)
}

// crash ends the current process of instance i without closing its holder, so
// its shares are not returned to the ledger.
func (c *cluster) crash(i int) {
	c.mu.Lock()
	p := c.procs[i]
	p.dead = true
	c.mu.Unlock()
	p.cancel()
}

// pause stops the current process of instance i until resume.
func (c *cluster) pause(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.procs[i]
	select {
	case <-p.running:
		p.running = make(chan struct{})
	default:
	}
}

func (c *cluster) resume(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.procs[i]
	select {
	case <-p.running:
	default:
		close(p.running)
	}
}

// waitRunning waits while the process is paused and reports whether it is alive
// afterwards.
func (p *proc) waitRunning() bool {
	p.cluster.mu.Lock()
	running := p.running
	p.cluster.mu.Unlock()
	<-running
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return !p.dead
}

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

// request runs one request on instance i. The request reserves amount, for
// which it may wait up to wait. It runs for duration and settles the
// reservation at used, unless the process crashes before. The central ledger
// gets the same request.
func (c *cluster) request(i int, amount, used int64, wait, duration time.Duration) {
	c.mu.Lock()
	p := c.procs[i]
	c.requested++
	affordable := c.central.admit(amount)
	c.mu.Unlock()
	if affordable {
		c.tasks.Go(func() {
			time.Sleep(duration)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.central.reserved -= amount
			c.central.used += used
		})
	}
	arrivedAt := time.Now()
	if !p.waitRunning() || time.Since(arrivedAt) > callerTimeout {
		return
	}
	settle, err := c.scheme.reserve(p, amount, wait)
	if err != nil {
		c.countRefusal(affordable, amount)
		return
	}
	c.record(amount, 0)
	time.Sleep(duration)
	spent := used
	if p.waitRunning() {
		spent = settle(used)
	}
	c.record(-amount, spent)
}

// countRefusal counts the refusal of a request for amount. The refusal is false
// if, at that moment, the total paid in less the amounts that the holders spent
// and reserved would have covered amount. The refusal is lost if affordable,
// that is, if the central ledger admitted the request. The counters of the
// central ledger depend only on the requests that it admitted itself.
func (c *cluster) countRefusal(affordable bool, amount int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused++
	if c.actual.used+c.actual.reserved+amount <= c.central.paid {
		c.falseRefusals++
	}
	if affordable {
		c.lostRefusals++
	}
}

// record adds reserved and used to the counters of all holders together. It
// records a violation if the holders have spent more than was paid in.
func (c *cluster) record(reserved, used int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actual.reserved += reserved
	c.actual.used += used
	if c.actual.used > c.central.paid {
		c.violations = append(c.violations, errors.Newf("holders overspent the budget: used %d, paid in %d", c.actual.used, c.central.paid))
	}
}

// endFaults ends all faults except crashes.
func (c *cluster) endFaults() {
	c.mu.Lock()
	c.storeDown, c.storeDelay, c.ackLoss, c.messageLoss, c.duplication, c.wrongSilence = false, 0, 0, 0, 0, 0
	clear(c.cutFromStore)
	clear(c.cutLinks)
	c.mu.Unlock()
	for i := range c.procs {
		c.resume(i)
	}
}

// finish ends the faults, waits for all requests and closes the holders of the
// live processes. It returns the combined errors of Holder.Close.
func (c *cluster) finish() error {
	c.endFaults()
	c.tasks.Wait()
	time.Sleep(5 * time.Second)
	var closeErr error
	for _, p := range c.procs {
		p.cancel()
		<-p.ended
		if c.isDead(p) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		closeErr = errors.CombineErrors(closeErr, p.holder.Close(ctx))
		cancel()
	}
	return closeErr
}

func (c *cluster) isDead(p *proc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.dead
}
