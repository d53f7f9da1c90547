package escrow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
