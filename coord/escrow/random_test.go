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

// event is a fault or a top-up at an instance. Its kind is one of eventKinds.
// It begins at the time begin after the start of the run. A fault ends after
// length; a top-up has no end.
type event struct {
	kind     string
	instance int
	begin    time.Duration
	length   time.Duration
}

// eventKinds are the kinds of events; cluster.inject tells what each does.
var eventKinds = []string{
	"crash", "pause", "cut platform", "cut zone", "split", "platform down", "platform slow",
	"lose answers", "lose messages", "repeat messages", "lie", "top up",
}

// scenario is the input of one randomised run of a cluster: its random seed,
// its budget, its requests and its faults.
type scenario struct {
	seed        uint64
	unwitnessed int64         // Policy.Unwitnessed of the budget
	paid        int64         // micro-units paid in at the start
	interval    time.Duration // mean time between requests of one instance
	length      time.Duration
	events      []event
}

// drawScenario draws a random scenario of the given length, with up to 8
// events.
func drawScenario(t *rapid.T, length time.Duration) scenario {
	sc := scenario{
		seed:        rapid.Uint64().Draw(t, "seed"),
		unwitnessed: rapid.SampledFrom([]int64{0, 500, 20_000}).Draw(t, "alone"),
		paid:        rapid.Int64Range(1_000, 3_000_000).Draw(t, "paid"),
		interval:    time.Duration(rapid.IntRange(5, 200).Draw(t, "rate")) * time.Millisecond,
		length:      length,
	}
	for range rapid.IntRange(0, 8).Draw(t, "events") {
		sc.events = append(sc.events, event{
			kind:     rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			instance: rapid.IntRange(0, len(testZones)-1).Draw(t, "instance"),
			begin:    time.Duration(rapid.Int64Range(0, int64(length)).Draw(t, "begin")),
			length:   time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(length)).Draw(t, "length")),
		})
	}
	return sc
}

// testZones are the zones of five instances, by instance number: those of the
// workload "Okonjo-Bassey" of TestTable.
var testZones = []string{"ikeja", "apapa", "lekki", "yaba", "ikeja"}

// inject begins the fault of an event, or makes its top-up. It returns the
// function that ends the fault; after a top-up that does nothing.
func (c *cluster) inject(e event) (end func()) {
	set := func(change func()) {
		c.mu.Lock()
		defer c.mu.Unlock()
		change()
	}
	zone := c.zones[e.instance]
	switch e.kind {
	case "crash":
		c.crash(e.instance)
		return func() { c.startProc(e.instance) }
	case "pause":
		c.pause(e.instance)
		return func() { c.resume(e.instance) }
	case "cut platform":
		set(func() { c.cutFromStore[zone] = true })
		return func() { set(func() { delete(c.cutFromStore, zone) }) }
	case "cut zone":
		return c.partition(set, func(z string) bool { return z == zone })
	case "split":
		return c.partition(set, func(z string) bool { return z == zone || z == c.zones[(e.instance+1)%len(c.zones)] })
	case "platform down":
		set(func() { c.storeDown = true })
		return func() { set(func() { c.storeDown = false }) }
	case "platform slow":
		set(func() { c.storeDelay = 300 * time.Millisecond })
		return func() { set(func() { c.storeDelay = 0 }) }
	case "lose answers":
		set(func() { c.ackLoss = 0.5 })
		return func() { set(func() { c.ackLoss = 0 }) }
	case "lose messages":
		set(func() { c.messageLoss = 0.3 })
		return func() { set(func() { c.messageLoss = 0 }) }
	case "repeat messages":
		set(func() { c.duplication = 0.5 })
		return func() { set(func() { c.duplication = 0 }) }
	case "lie":
		set(func() { c.wrongSilence = 0.3 })
		return func() { set(func() { c.wrongSilence = 0 }) }
	default:
		c.topUp(fmt.Sprintf("%s %d", e.begin, e.instance), 50_000)
		return func() {}
	}
}

// partition disconnects the zones for which inside is true from the others and
// returns the function that reconnects them. It changes the links through set,
// which takes the lock.
func (c *cluster) partition(set func(func()), inside func(zone string) bool) (end func()) {
	var pairs [][2]string
	for _, a := range c.zones {
		for _, b := range c.zones {
			if inside(a) && !inside(b) {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	set(func() {
		for _, p := range pairs {
			c.cutLinks[p] = true
		}
	})
	return func() {
		set(func() {
			for _, p := range pairs {
				delete(c.cutLinks, p)
			}
		})
	}
}

// run runs the scenario on a new cluster. It returns the cluster, for its
// counters, and the first violation or wrong result, combined with the error of
// closing the holders.
func (sc scenario) run() (c *cluster, err error) {
	c = newCluster(sc.seed, testZones, Policy{OutageTolerance: time.Minute, Unwitnessed: sc.unwitnessed})
	c.topUp("start", sc.paid)
	for _, e := range sc.events {
		c.tasks.Go(func() {
			time.Sleep(e.begin)
			endFault := c.inject(e)
			time.Sleep(e.length)
			endFault()
		})
	}
	startedAt := time.Now()
	for i := range c.zones {
		c.tasks.Go(func() {
			for time.Since(startedAt) < sc.length {
				time.Sleep(c.randomBetween(0, 2*sc.interval))
				amount := int64(c.randomBetween(1, 2000))
				used, duration := int64(c.randomBetween(0, time.Duration(amount))), c.randomBetween(0, 2*time.Second)
				c.tasks.Go(func() { c.request(i, amount, used, 400*time.Millisecond, duration) })
			}
		})
	}
	closeErr := c.finish()
	return c, errors.CombineErrors(c.checkResult(sc), closeErr)
}

// checkResult returns the first violation of a finished run, or an error if the
// ledger is wrong. Without a crash, all rows must be gone and the ledger must
// record the amount that requests used as spent. After a crash, the amount that
// the crashed process held may remain in its row or count as spent, so only the
// violations and the invariant of the ledger are checked.
func (c *cluster) checkResult(sc scenario) error {
	if len(c.violations) > 0 {
		return c.violations[0]
	}
	l, _ := c.read()
	if err := l.Check(); err != nil {
		return err
	}
	crashed := len(c.everyProc) > len(c.procs)
	if crashed {
		return nil
	}
	if len(l.ShareIDs()) > 0 {
		return errors.Newf("ledger has the rows %v after all holders closed, want none", l.ShareIDs())
	}
	if l.Spent() != c.actual.used {
		return errors.Newf("ledger records %d as spent after all holders closed, want the %d that were used", l.Spent(), c.actual.used)
	}
	return nil
}

// scenarioLength is the length of each randomised run. Long test runs use one
// minute.
var scenarioLength = flag.Duration("play", 5*time.Second, "length of each randomised run")

// TestMain runs randomised tests with seed 1 and 6 checks of each property,
// unless flags on the command line say otherwise.
func TestMain(m *testing.M) { seeds.Main(m, "6") }

// TestRandomRuns runs random scenarios of requests and faults and checks the
// result of each. A long test run is started by
//
//	go test ./coord/escrow -run TestRandomRuns -play 1m -rapid.checks 60 -rapid.seed N
func TestRandomRuns(t *testing.T) {
	requests := 0
	rapid.Check(t, func(r *rapid.T) {
		sc := drawScenario(r, *scenarioLength)
		var err error
		synctest.Test(t, func(*testing.T) {
			var c *cluster
			c, err = sc.run()
			requests += c.requested
		})
		if err != nil {
			r.Fatalf("run of scenario %+v failed: %v; want no violation, no error from closing the holders and a consistent ledger", sc, err)
		}
	})
	t.Logf("made %d requests in all runs", requests)
}
