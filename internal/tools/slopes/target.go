package slopes

import (
	"fmt"
	"strings"
)

// The target size, and what each node gets of it.
const (
	nodes       = 2_600.0
	replicas    = 6_500.0
	requests    = 56_000.0     // per second
	tokens      = 12_000_000.0 // per second
	budgets     = 12_000.0
	accounts    = 3_900.0
	zones       = 15.0
	changes     = 16_000.0 // of configuration a day
	failures    = 65.0     // instances a day
	replaced    = 680.0    // instances a day
	day         = 86_400.0 // seconds
	endure      = 3_600.0  // seconds that a share lasts
	lookSeconds = 5.0      // between two looks of a share for wishes
	gapSeconds  = 0.042    // between two tokens
	fanOut      = 4.0      // heartbeats in a round
	sample      = 48.0     // members in a heartbeat
	used        = 32.0     // endpoints that a node uses
	keyed       = 0.1      // part of the requests with an idempotency key
	keepSeconds = 180.0    // that an owner remembers a key
	pleaSize    = 300.0    // bytes of a plea or a gift, with its answer

	coreLimit   = 1.6   // percent of a core for control
	memoryLimit = 256.0 // MB
	wireLimit   = 15.0  // KB/s
	writeLimit  = 300.0 // platform writes/s
	readLimit   = 2_000.0
)

// row is one role at the target size.
type row struct {
	role    string
	state   string
	message string
	core    float64 // percent of a core on each node
	memory  float64 // MB on each node
	wire    float64 // KB/s on each node
	writes  float64 // platform writes/s of the fleet
	reads   float64 // platform reads/s of the fleet, waiting watches included
	carries string
	verdict string
}

const (
	micro = 1e-6 * 100 // percent of a core for each us in a second
	mega  = 1e-6
	kilo  = 1e-3
)

// rows works the roles out from the slopes.
func rows(s map[string]*Slope) []row {
	perNode := requests / nodes
	perRequest := tokens / requests
	open := perNode * perRequest * gapSeconds
	shares := budgets                // a node behind the balancer sees them all in an hour
	homes := zones * budgets / nodes // budgets that a node draws for its zone
	refill := homes / (endure / 2)
	return []row{
		{
			role:    "caller surface and relay",
			state:   fmt.Sprintf("%.0f open streams", open),
			message: fmt.Sprintf("%.1f requests/s, %.0f tokens/s", perNode, tokens/nodes),
			core:    perNode * s["token"].At(perRequest) * micro,
			memory:  open * s["stream"].Each() * mega,
			carries: "resume by offset; this is the payload's own cost, not control",
			verdict: "holds",
		},
		{
			role:    "escrow holder",
			state:   fmt.Sprintf("%.0f shares, home of %.0f; a book of %.1f KB for a budget that all zones draw on", shares, homes, s["budget"].At(zones)*kilo),
			message: fmt.Sprintf("%.2f refills/s and %.0f pleas and gifts/s on each node", refill, 2*perNode),
			core:    (4*s["tick"].At(shares) + 2*refill*s["update"].At(zones)) * micro,
			memory:  s["share"].At(shares) * mega,
			wire:    2*refill*s["budget"].At(zones)*kilo + 2*perNode*pleaSize*kilo,
			writes:  nodes * refill,
			reads:   nodes * (refill + homes/lookSeconds),
			carries: "one home in each zone draws a budget, its mates ask it; shares by demand and endurance",
			verdict: fmt.Sprintf("writes hold; the ticks of %.0f shares must skip idle ones, and the looks for wishes (%.0f reads/s) must take many budgets in a call", shares, nodes*homes/lookSeconds),
		},
		{
			role:    "witness and transfer peer",
			state:   fmt.Sprintf("%.0f marks", 3*shares),
			message: fmt.Sprintf("3 calls/s with marks of the shares in use, %.0f rising each second", perNode),
			memory:  s["witness"].At(3*shares) * mega,
			core:    0.01 * 3 * perNode * micro * 100,
			wire:    3 * s["marks"].At(perNode) * 2 * kilo,
			carries: "marks raised ahead, in one call to each witness; a quorum of three",
			verdict: "holds; only shares whose document sets escrow.alone have marks",
		},
		{
			role:    "claim owner",
			state:   fmt.Sprintf("%.0f keys", 2*keyed*perNode*keepSeconds),
			message: fmt.Sprintf("%.1f calls/s", 2*3*keyed*perNode),
			memory:  s["claim"].At(2*keyed*perNode*keepSeconds) * mega,
			wire:    2 * 3 * keyed * perNode * 0.3,
			carries: "rendezvous owners in two zones",
			verdict: fmt.Sprintf("holds for repeatable calls; keyed calls that must not run twice take 2 platform writes each and break at %.0f/s of them in the fleet: owners must commit claims in groups", writeLimit/2),
		},
		{
			role:    "configuration watcher and relay",
			state:   fmt.Sprintf("%.0f client accounts, 5 services", accounts),
			message: fmt.Sprintf("%.2f changes/s, to 4 peers in each round", changes/day),
			core:    changes / day * (s["view"].At(accounts) + 4*s["merge"].At(nodes)) * micro,
			memory:  s["config"].At(accounts) * mega,
			wire:    changes / day * (4*s["beat"].At(sample) + 500) * kilo,
			reads:   zones * 2 * 2,
			carries: "two watchers in each zone, heartbeats sent at once on a change, versions only rise",
			verdict: "holds",
		},
		{
			role:    "membership",
			state:   fmt.Sprintf("%.0f members", nodes),
			message: fmt.Sprintf("%.0f heartbeats/s out and as many in, each with at most %.0f members", fanOut, sample),
			core:    2 * fanOut * s["merge"].At(nodes) * micro,
			wire:    2 * 2 * fanOut * s["beat"].At(sample) * kilo,
			reads:   nodes / 5,
			memory:  nodes * 400 * mega,
			carries: "bounded fan-out and bounded messages",
			verdict: fmt.Sprintf("breaks the wire budget, and each entry is told anew only every %.0f s, later than the 5 beats after which a member is silent: at this size a node must follow its own zone and a subset of the others, and beat every 4 s", nodes/(2*fanOut*sample)),
		},
		{
			role:    "endpoint health and choice",
			state:   fmt.Sprintf("%.0f endpoints of %.0f", used, replicas),
			message: fmt.Sprintf("%.0f load reports/s", used),
			core:    (perNode*s["pick"].At(used) + used*60) * micro,
			wire:    used * 0.35,
			carries: "deterministic subsets, own counts before reports",
			verdict: fmt.Sprintf("the reports alone take %.1f KB/s; read every 2 s they fit beside the rest", used*0.35),
		},
		{
			role:    "usage filing",
			state:   fmt.Sprintf("%.0f records in a batch", perNode),
			message: "one batch a second",
			wire:    s["record"].At(perNode) * 4 / 3 * kilo,
			writes:  nodes,
			carries: "frozen batches, created if absent",
			verdict: fmt.Sprintf("breaks at %.0f nodes with file at 1s; with file at 10s it takes %.0f writes/s, and a zone's gatherer of records would take %.0f", writeLimit, nodes/10, zones),
		},
		{
			role:    "recovery",
			state:   "sealed rows until their holder is heard from",
			message: fmt.Sprintf("%.2f ends/s, each with up to %.0f shares", (failures+replaced)/day, shares),
			writes:  (failures + replaced) / day * shares,
			carries: "seal by quorum, only for a budget that runs short; planned stops return shares",
			verdict: "a planned stop writes each share once; handing shares to the zone's gatherer instead leaves it as it is for the platform",
		},
		{
			role:    "operators' tools",
			state:   "none",
			message: fmt.Sprintf("%.2f changes/s", changes/day),
			writes:  changes / day,
			reads:   2 * changes / day,
			carries: "conditional updates",
			verdict: "holds; a budget that 2,600 holders draw on is shown as so many rows",
		},
	}
}

// table returns the rows as a table, with the sums of control under it.
func table(all []row) string {
	var b strings.Builder
	b.WriteString("| role | state | messages | core % | MB | KB/s | platform writes/s | platform reads/s | carried by | at the target |\n|---|---|---|---|---|---|---|---|---|---|\n")
	var sum row
	for i, r := range all {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.role, r.state, r.message, short(r.core), short(r.memory), short(r.wire), short(r.writes), short(r.reads), r.carries, r.verdict)
		if i == 0 {
			continue // the payload's own cost
		}
		sum.core += r.core
		sum.memory += r.memory
		sum.wire += r.wire
		sum.writes += r.writes
		sum.reads += r.reads
	}
	fmt.Fprintf(&b, "| **control, as built** | | | **%s** | **%s** | **%s** | **%s** | **%s** | | |\n",
		short(sum.core), short(sum.memory), short(sum.wire), short(sum.writes), short(sum.reads))
	fmt.Fprintf(&b, "| **budget** | | | **%s** | **%s** | **%s** | **%s** | **%s** | | |\n",
		short(coreLimit), short(memoryLimit), short(wireLimit), short(writeLimit), short(readLimit))
	return b.String()
}
