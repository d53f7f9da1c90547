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

// errCut is what a fake transport says of a call that got no answer.
var errCut = errors.New("no answer")

// world is a fleet of holders on fake transports. It counts what was really
// spent, whatever holders and books say, beside a central ledger with instant
// knowledge and no failures.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	zones  []string // of each instance

	data    []byte // the book, as the platform keeps it
	version int64
	writes  int
	down    bool
	slow    time.Duration
	lose    float64            // part of the writes whose answers are lost
	off     map[string]bool    // zones cut off from the platform
	cut     map[[2]string]bool // pairs of zones cut off from each other
	loss    float64            // part of the messages between peers that are lost
	twice   float64            // part of them that arrive twice
	lies    float64            // part of the answers about silence that are wrong
	homes   bool               // one holder in each zone draws
	procs   []*proc            // the present process of each instance
	all     map[string]*proc   // every process there ever was
	policy  Policy
	scheme  scheme
	naive   ledger
	truth   ledger // what the fleet did
	asked   int
	refused int
	falsely int
	lost    int
	faults  []error
	open    sync.WaitGroup
}

// ledger is the naive central ledger. It decides on every request by itself,
// at once, and knows nothing of what the fleet did.
type ledger struct{ paid, used, reserved int64 }

// admit reserves bound if the ledger can pay for it.
func (l *ledger) admit(bound int64) bool {
	if l.used+l.reserved+bound > l.paid {
		return false
	}
	l.reserved += bound
	return true
}

type proc struct {
	world  *world
	name   string
	zone   string
	holder *Holder
	stop   context.CancelFunc
	ended  chan struct{}
	dead   bool
	gate   chan struct{} // open while the process runs
}

// callerTime is after how long a caller gives up on a frozen instance.
const callerTime = 10 * time.Second

const testBudget = "budget"

// scheme is a way to spend a budget.
type scheme struct {
	name string
	// reserve sets bound aside for a request at p, and returns what settles it.
	reserve func(p *proc, bound int64, wait time.Duration) (settle func(used int64) int64, err error)
}

// shares is the scheme of this package.
var shares = scheme{name: "shares", reserve: func(p *proc, bound int64, wait time.Duration) (func(int64) int64, error) {
	hold, err := p.holder.Reserve(context.Background(), testBudget, p.world.policy, Need{Amount: bound, Wait: wait})
	return hold.Settle, err
}}

func newWorld(seed uint64, zones []string, p Policy) *world {
	w := &world{
		scheme: shares,
		random: rand.New(rand.NewPCG(seed, 1)), zones: zones, policy: p,
		off: map[string]bool{}, cut: map[[2]string]bool{}, all: map[string]*proc{},
	}
	data, err := json.Marshal(NewBook("account"))
	if err != nil {
		panic(err)
	}
	w.data, w.version = data, 1
	w.procs = make([]*proc, len(zones))
	for i := range zones {
		w.boot(i)
	}
	return w
}

// boot starts a fresh process on an instance that has no live one.
func (w *world) boot(i int) {
	w.mu.Lock()
	if old := w.procs[i]; old != nil && !old.dead {
		w.mu.Unlock()
		return
	}
	name := fmt.Sprintf("entry-%d/%d", i, len(w.all))
	p := &proc{world: w, name: name, zone: w.zones[i], gate: make(chan struct{}), ended: make(chan struct{})}
	close(p.gate)
	p.holder = NewHolder(name, p.platform(), p.peers(), w.report)
	if w.homes {
		p.holder.Configure(map[string]Policy{testBudget: w.policy})
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	w.procs[i] = p
	w.all[name] = p
	w.mu.Unlock()
	go func() {
		defer close(p.ended)
		p.holder.Run(ctx)
	}()
}

func (w *world) report(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, err)
}

// crash ends a process without a word.
func (w *world) crash(i int) {
	w.mu.Lock()
	p := w.procs[i]
	p.dead = true
	w.mu.Unlock()
	p.stop()
}

// pause freezes a process until wake.
func (w *world) pause(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[i]
	select {
	case <-p.gate:
		p.gate = make(chan struct{})
	default:
	}
}

func (w *world) wake(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[i]
	select {
	case <-p.gate:
	default:
		close(p.gate)
	}
}

// alive waits while the process is frozen, and reports whether it lives.
func (p *proc) alive() bool {
	p.world.mu.Lock()
	gate := p.gate
	p.world.mu.Unlock()
	<-gate
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return !p.dead
}

// chance reports whether what happens in a part of the cases does now. The part may be
// changed at any time, so it is read under the lock.
func (w *world) chance(part *float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < *part
}

func (w *world) between(from, to time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return from + time.Duration(w.random.Int64N(int64(to-from)+1))
}

func (w *world) linked(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut[[2]string{a, b}] && !w.cut[[2]string{b, a}]
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

// reach is the way of a call to the platform. A call that is cut off hangs
// until the caller gives up.
func (p *proc) reach(ctx context.Context) error {
	w := p.world
	if !p.alive() {
		return errCut
	}
	w.mu.Lock()
	down, slow, off := w.down, w.slow, w.off[p.zone]
	w.mu.Unlock()
	if down {
		sleep(ctx, time.Millisecond)
		return errCut
	}
	if off {
		<-ctx.Done()
		return errCut
	}
	if !sleep(ctx, w.between(time.Millisecond, 3*time.Millisecond)+slow) {
		return errCut
	}
	return nil
}

func (p *proc) platform() Platform {
	w := p.world
	return Platform{
		Read: func(ctx context.Context, _ string) (*Book, int64, error) {
			if err := p.reach(ctx); err != nil {
				return nil, 0, err
			}
			b, version := w.read()
			if !p.alive() {
				return nil, 0, errCut
			}
			return b, version, nil
		},
		Write: func(ctx context.Context, _ string, version int64, b *Book) error {
			if err := p.reach(ctx); err != nil {
				if half := 0.5; w.chance(&half) {
					// The caller gave up, but the write was on its way.
					w.write(version, b)
				}
				return err
			}
			err := w.write(version, b)
			if !p.alive() || w.chance(&w.lose) {
				return errCut
			}
			return err
		},
	}
}

func (w *world) read() (*Book, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &Book{}
	if err := json.Unmarshal(w.data, b); err != nil {
		panic(err)
	}
	return b, w.version
}

func (w *world) write(version int64, b *Book) error {
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
func (w *world) topUp(id string, amount int64) {
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
	w.naive.paid += amount
}

// carry takes a message to a process, maybe twice, and the answer back.
func carry[T any](ctx context.Context, p *proc, process string, call func(h *Holder) (T, error)) (T, error) {
	var none T
	w := p.world
	w.mu.Lock()
	q := w.all[process]
	w.mu.Unlock()
	if q == nil || !p.alive() {
		return none, errCut
	}
	if !w.linked(p.zone, q.zone) || w.chance(&w.loss) {
		<-ctx.Done()
		return none, errCut
	}
	if !sleep(ctx, w.between(200*time.Microsecond, 2*time.Millisecond)) || !q.alive() {
		return none, errCut
	}
	if w.chance(&w.twice) {
		if _, err := call(q.holder); err != nil {
			return none, err
		}
	}
	answer, err := call(q.holder)
	if !sleep(ctx, w.between(200*time.Microsecond, 2*time.Millisecond)) || !w.linked(p.zone, q.zone) || w.chance(&w.loss) || !p.alive() {
		return none, errCut
	}
	return answer, err
}

func (p *proc) peers() Peers {
	w := p.world
	return Peers{
		Near:   func() []string { return p.others(false) },
		Mates:  p.mates,
		Guards: func() []string { return p.others(true) },
		Silent: func(process string) bool { return p.silent(process) != w.chance(&w.lies) },
		Ask: func(ctx context.Context, process string, plea Plea) (Reply, error) {
			return carry(ctx, p, process, func(h *Holder) (Reply, error) { return h.TakePlea(ctx, plea), nil })
		},
		Give: func(ctx context.Context, process string, g Gift) (Receipt, error) {
			return carry(ctx, p, process, func(h *Holder) (Receipt, error) { return h.TakeGift(g) })
		},
		Raise: func(ctx context.Context, process string, marks []Raised) ([]string, error) {
			return carry(ctx, p, process, func(h *Holder) ([]string, error) {
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
			return carry(ctx, p, process, func(h *Holder) (int64, error) { return h.Witness().Seal(id) })
		},
	}
}

// others returns the processes that this one takes for live; for witnesses, at
// most three.
func (p *proc) others(guards bool) []string {
	w := p.world
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

// mates returns the live processes of the zone, this one with them, in a world where
// one draws for all.
func (p *proc) mates() []string {
	w := p.world
	w.mu.Lock()
	homes := w.homes
	w.mu.Unlock()
	if !homes {
		return nil
	}
	names := []string{p.name}
	for _, name := range p.others(false) {
		w.mu.Lock()
		q := w.all[name]
		w.mu.Unlock()
		if q.zone == p.zone {
			names = append(names, name)
		}
	}
	return names
}

func (p *proc) silent(process string) bool {
	w := p.world
	w.mu.Lock()
	q := w.all[process]
	w.mu.Unlock()
	if q == nil || !w.linked(p.zone, q.zone) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-q.gate:
		return q.dead
	default:
		return true
	}
}

// request spends on instance i: it reserves bound, runs for a while, and
// settles at used, unless its process dies first.
func (w *world) request(i int, bound, used int64, wait, run time.Duration) {
	w.mu.Lock()
	p := w.procs[i]
	w.asked++
	could := w.naive.admit(bound)
	w.mu.Unlock()
	if could {
		w.open.Go(func() {
			time.Sleep(run)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.naive.reserved -= bound
			w.naive.used += used
		})
	}
	came := time.Now()
	if !p.alive() || time.Since(came) > callerTime {
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
	if p.alive() {
		cost = settle(used)
	}
	w.account(-bound, cost)
}

// refuse counts a refusal: as false if what was paid and not yet spent by the
// fleet could have paid for it at that moment, and as lost if the naive ledger,
// which went its own way, did pay for it.
func (w *world) refuse(could bool, bound int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused++
	if w.truth.used+w.truth.reserved+bound <= w.naive.paid {
		w.falsely++
	}
	if could {
		w.lost++
	}
}

// account notes what the fleet did, and asserts that nothing is overspent.
func (w *world) account(reserved, used int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truth.reserved += reserved
	w.truth.used += used
	if w.truth.used > w.naive.paid {
		w.faults = append(w.faults, errors.Newf("overspent: used %d of %d", w.truth.used, w.naive.paid))
	}
}

// heal ends every fault that can end.
func (w *world) heal() {
	w.mu.Lock()
	w.down, w.slow, w.lose, w.loss, w.twice, w.lies = false, 0, 0, 0, 0, 0
	clear(w.off)
	clear(w.cut)
	w.mu.Unlock()
	for i := range w.procs {
		w.wake(i)
	}
}

// finish lets all requests end, closes the live holders and returns what they
// say.
func (w *world) finish() error {
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

func (w *world) isDead(p *proc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.dead
}
