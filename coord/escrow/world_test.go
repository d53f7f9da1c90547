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

// errNoReply is what a fake transport says of a call that got no answer.
var errNoReply = errors.New("no answer")

// cluster is a fleet of holders on fake transports. It counts what was really
// spent, whatever holders and books say, beside a central ledger with instant
// knowledge and no failures.
type cluster struct {
	mu     sync.Mutex
	random *rand.Rand
	zones  []string // of each instance

	data          []byte // the book, as the platform keeps it
	version       int64
	writes        int
	down          bool
	slow          time.Duration
	ackLoss       float64            // part of the writes whose answers are lost
	cutFromStore  map[string]bool    // zones cut off from the platform
	cutLinks      map[[2]string]bool // pairs of zones cut off from each other
	messageLoss   float64            // part of the messages between peers that are lost
	duplication   float64            // part of them that arrive twice
	wrongSilence  float64            // part of the answers about silence that are wrong
	zoned         bool               // one holder in each zone draws
	procs         []*proc            // the present process of each instance
	everyProc     map[string]*proc   // every process there ever was
	policy        Policy
	scheme        scheme
	central       totals
	actual        totals // what the fleet did
	requested     int
	refused       int
	falseRefusals int
	lostRefusals  int
	violations    []error
	open          sync.WaitGroup
}

// totals is the naive central ledger. It decides on every request by itself,
// at once, and knows nothing of what the fleet did.
type totals struct{ paid, used, reserved int64 }

// admit reserves bound if the ledger can pay for it.
func (l *totals) admit(bound int64) bool {
	if l.used+l.reserved+bound > l.paid {
		return false
	}
	l.reserved += bound
	return true
}

type proc struct {
	cluster *cluster
	name    string
	zone    string
	holder  *Holder
	stop    context.CancelFunc
	ended   chan struct{}
	dead    bool
	running chan struct{} // open while the process runs
}

// callerTimeout is after how long a caller gives up on a frozen instance.
const callerTimeout = 10 * time.Second

const testBudget = "budget"

// scheme is a way to spend a budget.
type scheme struct {
	name string
	// reserve sets bound aside for a request at p, and returns what settles it.
	reserve func(p *proc, bound int64, wait time.Duration) (settle func(used int64) int64, err error)
}

// shareScheme is the scheme of this package.
var shareScheme = scheme{name: "shares", reserve: func(p *proc, bound int64, wait time.Duration) (func(int64) int64, error) {
	hold, err := p.holder.Reserve(context.Background(), testBudget, p.cluster.policy, ReserveRequest{Amount: bound, Wait: wait})
	return hold.Settle, err
}}

func newCluster(seed uint64, zones []string, p Policy) *cluster {
	w := &cluster{
		scheme: shareScheme,
		random: rand.New(rand.NewPCG(seed, 1)), zones: zones, policy: p,
		cutFromStore: map[string]bool{}, cutLinks: map[[2]string]bool{}, everyProc: map[string]*proc{},
	}
	data, err := json.Marshal(NewLedger("account"))
	if err != nil {
		panic(err)
	}
	w.data, w.version = data, 1
	w.procs = make([]*proc, len(zones))
	for i := range zones {
		w.startProc(i)
	}
	return w
}

// startProc starts a fresh process on an instance that has no live one.
func (w *cluster) startProc(i int) {
	w.mu.Lock()
	if old := w.procs[i]; old != nil && !old.dead {
		w.mu.Unlock()
		return
	}
	name := fmt.Sprintf("entry-%d/%d", i, len(w.everyProc))
	p := &proc{cluster: w, name: name, zone: w.zones[i], running: make(chan struct{}), ended: make(chan struct{})}
	close(p.running)
	p.holder = NewHolder(name, p.store(), p.peers(), w.report)
	if w.zoned {
		p.holder.Configure(map[string]Policy{testBudget: w.policy})
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	w.procs[i] = p
	w.everyProc[name] = p
	w.mu.Unlock()
	go func() {
		defer close(p.ended)
		p.holder.Run(ctx)
	}()
}

func (w *cluster) report(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, err)
}

// crash ends a process without a word.
func (w *cluster) crash(i int) {
	w.mu.Lock()
	p := w.procs[i]
	p.dead = true
	w.mu.Unlock()
	p.stop()
}

// pause freezes a process until wake.
func (w *cluster) pause(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[i]
	select {
	case <-p.running:
		p.running = make(chan struct{})
	default:
	}
}

func (w *cluster) wake(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[i]
	select {
	case <-p.running:
	default:
		close(p.running)
	}
}

// waitRunning waits while the process is frozen, and reports whether it lives.
func (p *proc) waitRunning() bool {
	p.cluster.mu.Lock()
	gate := p.running
	p.cluster.mu.Unlock()
	<-gate
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return !p.dead
}

// chance reports whether what happens in a part of the cases does now. The part may be
// changed at any time, so it is read under the lock.
func (w *cluster) chance(part *float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < *part
}

func (w *cluster) between(from, to time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return from + time.Duration(w.random.Int64N(int64(to-from)+1))
}

func (w *cluster) linked(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cutLinks[[2]string{a, b}] && !w.cutLinks[[2]string{b, a}]
}

// sleep waits for d, or reports false if ctx ends first.
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

// reachStore is the way of a call to the platform. A call that is cut off hangs
// until the caller gives up.
func (p *proc) reachStore(ctx context.Context) error {
	w := p.cluster
	if !p.waitRunning() {
		return errNoReply
	}
	w.mu.Lock()
	down, slow, off := w.down, w.slow, w.cutFromStore[p.zone]
	w.mu.Unlock()
	if down {
		sleep(ctx, time.Millisecond)
		return errNoReply
	}
	if off {
		<-ctx.Done()
		return errNoReply
	}
	if !sleep(ctx, w.between(time.Millisecond, 3*time.Millisecond)+slow) {
		return errNoReply
	}
	return nil
}

func (p *proc) store() Store {
	w := p.cluster
	return Store{
		Read: func(ctx context.Context, _ string) (*Ledger, int64, error) {
			if err := p.reachStore(ctx); err != nil {
				return nil, 0, err
			}
			b, version := w.read()
			if !p.waitRunning() {
				return nil, 0, errNoReply
			}
			return b, version, nil
		},
		Write: func(ctx context.Context, _ string, version int64, b *Ledger) error {
			if err := p.reachStore(ctx); err != nil {
				if half := 0.5; w.chance(&half) {
					// The caller gave up, but the write was on its way.
					w.write(version, b)
				}
				return err
			}
			err := w.write(version, b)
			if !p.waitRunning() || w.chance(&w.ackLoss) {
				return errNoReply
			}
			return err
		},
	}
}

func (w *cluster) read() (*Ledger, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &Ledger{}
	if err := json.Unmarshal(w.data, b); err != nil {
		panic(err)
	}
	return b, w.version
}

func (w *cluster) write(version int64, b *Ledger) error {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if version != w.version {
		return ErrConflict
	}
	w.data = data
	w.version++
	w.writes++
	return nil
}

// topUp pays into the book as an operator does.
func (w *cluster) topUp(id string, amount int64) {
	for {
		b, version := w.read()
		if err := b.TopUp(id, amount); err != nil {
			panic(err)
		}
		if w.write(version, b) == nil {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.central.paid += amount
}

// deliver takes a message to a process, maybe twice, and the answer back.
func deliver[T any](ctx context.Context, p *proc, process string, call func(h *Holder) (T, error)) (T, error) {
	var none T
	w := p.cluster
	w.mu.Lock()
	q := w.everyProc[process]
	w.mu.Unlock()
	if q == nil || !p.waitRunning() {
		return none, errNoReply
	}
	if !w.linked(p.zone, q.zone) || w.chance(&w.messageLoss) {
		<-ctx.Done()
		return none, errNoReply
	}
	if !sleep(ctx, w.between(200*time.Microsecond, 2*time.Millisecond)) || !q.waitRunning() {
		return none, errNoReply
	}
	if w.chance(&w.duplication) {
		if _, err := call(q.holder); err != nil {
			return none, err
		}
	}
	answer, err := call(q.holder)
	if !sleep(ctx, w.between(200*time.Microsecond, 2*time.Millisecond)) || !w.linked(p.zone, q.zone) || w.chance(&w.messageLoss) || !p.waitRunning() {
		return none, errNoReply
	}
	return answer, err
}

func (p *proc) peers() Peers {
	w := p.cluster
	return Peers{
		Live:        func() []string { return p.others(false) },
		ZoneMembers: p.zoneMembers,
		Witnesses:   func() []string { return p.others(true) },
		Silent:      func(process string) bool { return p.silent(process) != w.chance(&w.wrongSilence) },
		Request: func(ctx context.Context, process string, plea TransferRequest) (TransferReply, error) {
			return deliver(ctx, p, process, func(h *Holder) (TransferReply, error) { return h.HandleRequest(ctx, plea), nil })
		},
		Deliver: func(ctx context.Context, process string, g Transfer) (TransferAck, error) {
			return deliver(ctx, p, process, func(h *Holder) (TransferAck, error) { return h.HandleTransfer(g) })
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

// others returns the processes that this one takes for live; for witnesses, at
// most three.
func (p *proc) others(guards bool) []string {
	w := p.cluster
	w.mu.Lock()
	procs := slices.Clone(w.procs)
	w.mu.Unlock()
	var names []string
	for _, q := range procs {
		if q != nil && q != p && !p.silent(q.name) {
			names = append(names, q.name)
		}
	}
	if guards {
		return names[:min(3, len(names))]
	}
	return names
}

// zoneMembers returns the live processes of the zone, this one with them, in a world where
// one draws for all.
func (p *proc) zoneMembers() []string {
	w := p.cluster
	w.mu.Lock()
	homes := w.zoned
	w.mu.Unlock()
	if !homes {
		return nil
	}
	names := []string{p.name}
	for _, name := range p.others(false) {
		w.mu.Lock()
		q := w.everyProc[name]
		w.mu.Unlock()
		if q.zone == p.zone {
			names = append(names, name)
		}
	}
	return names
}

func (p *proc) silent(process string) bool {
	w := p.cluster
	w.mu.Lock()
	q := w.everyProc[process]
	w.mu.Unlock()
	if q == nil || !w.linked(p.zone, q.zone) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-q.running:
		return q.dead
	default:
		return true
	}
}

// request spends on instance i: it reserves bound, runs for a while, and
// settles at used, unless its process dies first.
func (w *cluster) request(i int, bound, used int64, wait, run time.Duration) {
	w.mu.Lock()
	p := w.procs[i]
	w.requested++
	could := w.central.admit(bound)
	w.mu.Unlock()
	if could {
		w.open.Go(func() {
			time.Sleep(run)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.central.reserved -= bound
			w.central.used += used
		})
	}
	came := time.Now()
	if !p.waitRunning() || time.Since(came) > callerTimeout {
		return
	}
	settle, err := w.scheme.reserve(p, bound, wait)
	if err != nil {
		w.refuse(could, bound)
		return
	}
	w.account(bound, 0)
	time.Sleep(run)
	cost := used
	if p.waitRunning() {
		cost = settle(used)
	}
	w.account(-bound, cost)
}

// refuse counts a refusal: as false if what was paid and not yet spent by the
// fleet could have paid for it at that moment, and as lost if the naive ledger,
// which went its own way, did pay for it.
func (w *cluster) refuse(could bool, bound int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused++
	if w.actual.used+w.actual.reserved+bound <= w.central.paid {
		w.falseRefusals++
	}
	if could {
		w.lostRefusals++
	}
}

// account notes what the fleet did, and asserts that nothing is overspent.
func (w *cluster) account(reserved, used int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.actual.reserved += reserved
	w.actual.used += used
	if w.actual.used > w.central.paid {
		w.violations = append(w.violations, errors.Newf("overspent: used %d of %d", w.actual.used, w.central.paid))
	}
}

// heal ends every fault that can end.
func (w *cluster) heal() {
	w.mu.Lock()
	w.down, w.slow, w.ackLoss, w.messageLoss, w.duplication, w.wrongSilence = false, 0, 0, 0, 0, 0
	clear(w.cutFromStore)
	clear(w.cutLinks)
	w.mu.Unlock()
	for i := range w.procs {
		w.wake(i)
	}
}

// finish lets all requests end, closes the live holders and returns what they
// say.
func (w *cluster) finish() error {
	w.heal()
	w.open.Wait()
	time.Sleep(5 * time.Second)
	var failed error
	for _, p := range w.procs {
		p.stop()
		<-p.ended
		if w.isDead(p) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		failed = errors.CombineErrors(failed, p.holder.Close(ctx))
		cancel()
	}
	return failed
}

func (w *cluster) isDead(p *proc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.dead
}
