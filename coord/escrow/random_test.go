package escrow

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"jacinthladder.dev/internal/tools/seeds"
)

// event is a fault that begins at a time and, where it can, ends after a while.
type event struct {
	kind     string
	instance int
	begin    time.Duration
	length   time.Duration
}

var eventKinds = []string{
	"crash", "pause", "cut platform", "cut zone", "split", "platform down", "platform slow",
	"lose answers", "lose messages", "repeat messages", "lie", "top up",
}

// scenario is one randomised run.
type scenario struct {
	seed   uint64
	alone  int64
	paid   int64
	rate   time.Duration // between requests of one instance
	length time.Duration
	events []event
}

func drawScenario(t *rapid.T, length time.Duration) scenario {
	p := scenario{
		seed:   rapid.Uint64().Draw(t, "seed"),
		alone:  rapid.SampledFrom([]int64{0, 500, 20_000}).Draw(t, "alone"),
		paid:   rapid.Int64Range(1_000, 3_000_000).Draw(t, "paid"),
		rate:   time.Duration(rapid.IntRange(5, 200).Draw(t, "rate")) * time.Millisecond,
		length: length,
	}
	for range rapid.IntRange(0, 8).Draw(t, "events") {
		p.events = append(p.events, event{
			kind:     rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			instance: rapid.IntRange(0, len(testZones)-1).Draw(t, "instance"),
			begin:    time.Duration(rapid.Int64Range(0, int64(length)).Draw(t, "begin")),
			length:   time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(length)).Draw(t, "length")),
		})
	}
	return p
}

// testZones is the zones of Okonjo-Bassey's five instances.
var testZones = []string{"ikeja", "apapa", "lekki", "yaba", "ikeja"}

// inject begins an event and returns what ends it.
func (w *cluster) inject(e event) (end func()) {
	set := func(change func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		change()
	}
	zone := w.zones[e.instance]
	switch e.kind {
	case "crash":
		w.crash(e.instance)
		return func() { w.startProc(e.instance) }
	case "pause":
		w.pause(e.instance)
		return func() { w.wake(e.instance) }
	case "cut platform":
		set(func() { w.cutFromStore[zone] = true })
		return func() { set(func() { delete(w.cutFromStore, zone) }) }
	case "cut zone":
		return w.partition(set, func(z string) bool { return z == zone })
	case "split":
		return w.partition(set, func(z string) bool { return z == zone || z == w.zones[(e.instance+1)%len(w.zones)] })
	case "platform down":
		set(func() { w.down = true })
		return func() { set(func() { w.down = false }) }
	case "platform slow":
		set(func() { w.slow = 300 * time.Millisecond })
		return func() { set(func() { w.slow = 0 }) }
	case "lose answers":
		set(func() { w.ackLoss = 0.5 })
		return func() { set(func() { w.ackLoss = 0 }) }
	case "lose messages":
		set(func() { w.messageLoss = 0.3 })
		return func() { set(func() { w.messageLoss = 0 }) }
	case "repeat messages":
		set(func() { w.duplication = 0.5 })
		return func() { set(func() { w.duplication = 0 }) }
	case "lie":
		set(func() { w.wrongSilence = 0.3 })
		return func() { set(func() { w.wrongSilence = 0 }) }
	default:
		w.topUp(fmt.Sprintf("%s %d", e.begin, e.instance), 50_000)
		return func() {}
	}
}

// partition cuts the zones inside off from those outside.
func (w *cluster) partition(set func(func()), inside func(zone string) bool) (end func()) {
	var pairs [][2]string
	for _, a := range w.zones {
		for _, b := range w.zones {
			if inside(a) && !inside(b) {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	set(func() {
		for _, p := range pairs {
			w.cutLinks[p] = true
		}
	})
	return func() {
		set(func() {
			for _, p := range pairs {
				delete(w.cutLinks, p)
			}
		})
	}
}

// run plays p and returns the first fault, and the requests made.
func (p scenario) run() (w *cluster, err error) {
	w = newCluster(p.seed, testZones, Policy{OutageTolerance: time.Minute, Unwitnessed: p.alone})
	w.topUp("start", p.paid)
	for _, e := range p.events {
		w.open.Go(func() {
			time.Sleep(e.begin)
			end := w.inject(e)
			time.Sleep(e.length)
			end()
		})
	}
	began := time.Now()
	for i := range w.zones {
		w.open.Go(func() {
			for time.Since(began) < p.length {
				time.Sleep(w.between(0, 2*p.rate))
				bound := int64(w.between(1, 2000))
				used, run := int64(w.between(0, time.Duration(bound))), w.between(0, 2*time.Second)
				w.open.Go(func() { w.request(i, bound, used, 400*time.Millisecond, run) })
			}
		})
	}
	closed := w.finish()
	return w, errors.CombineErrors(w.verdict(p), closed)
}

// verdict checks the end of a run.
func (w *cluster) verdict(p scenario) error {
	if len(w.violations) > 0 {
		return w.violations[0]
	}
	b, _ := w.read()
	if err := b.Check(); err != nil {
		return err
	}
	crashed := len(w.everyProc) > len(w.procs)
	if crashed {
		return nil
	}
	if len(b.ShareIDs()) > 0 {
		return errors.Newf("shares left behind: %v", b.ShareIDs())
	}
	if b.Spent() != w.actual.used {
		return errors.Newf("the book says %d were spent, in truth %d", b.Spent(), w.actual.used)
	}
	return nil
}

// scenarioLength is the length of each randomised run; a long one is a minute.
var scenarioLength = flag.Duration("play", 5*time.Second, "length of each randomised run")

func TestMain(m *testing.M) { seeds.Main(m, "6") }

// TestRandomRuns plays randomised faults. A long run is
//
//	go test ./coord/escrow -run TestRandomRuns -play 1m -rapid.checks 60 -rapid.seed N
func TestRandomRuns(t *testing.T) {
	requests := 0
	rapid.Check(t, func(r *rapid.T) {
		p := drawScenario(r, *scenarioLength)
		var err error
		synctest.Test(t, func(*testing.T) {
			var w *cluster
			w, err = p.run()
			requests += w.requested
		})
		if err != nil {
			r.Fatalf("%+v: %v", p, err)
		}
	})
	t.Logf("%d requests", requests)
}
