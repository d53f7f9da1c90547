package slopes

import (
	"fmt"
	"strings"
)

// The target size of the fleet, the load of each node, and the limits on the resources
// that control may use. Control is all work of the routers except serving requests.
const (
	nodes                    = 2_600.0      // routers
	replicas                 = 6_500.0      // endpoints, each a copy of a model
	requestRate              = 56_000.0     // requests of the fleet per second
	tokenRate                = 12_000_000.0 // tokens of the fleet per second
	budgets                  = 12_000.0
	accounts                 = 3_900.0  // client accounts
	zones                    = 15.0     // availability zones
	configChangesPerDay      = 16_000.0 // changes of the configuration by operators
	failuresPerDay           = 65.0     // instances that fail
	replacementsPerDay       = 680.0    // instances that are stopped and replaced
	secondsPerDay            = 86_400.0
	outageToleranceSeconds   = 3_600.0 // how long a share must last while the platform is unreachable
	shortfallIntervalSeconds = 5.0     // time between two reads of a budget's ledger, in which the budget's home looks for holders that lack budget
	tokenGapSeconds          = 0.042   // time between two tokens of a stream
	heartbeatFanOut          = 4.0     // heartbeats that each node sends per second
	membersPerHeartbeat      = 256.0   // maximum number of members in the digest of a heartbeat
	endpointsPerNode         = 32.0    // endpoints that a node sends requests to
	keyedFraction            = 0.1     // fraction of the requests with an idempotency key
	keyTTLSeconds            = 180.0   // time that the owner of an idempotency key remembers it
	limitedFraction          = 0.01    // fraction of the endpoints that name a limit
	permitAsks               = 2.0     // calls for a permit for each request to an endpoint that names a limit
	maxTraits                = 4_096.0 // traits of requests that a node records
	peerCallMicroseconds     = 60.0    // CPU time of a call of a peer, at either side
	transferBytes            = 300.0   // bytes of a transfer request or a transfer between shares, with its reply

	cpuLimitPercent  = 1.6     // percent of a core that control may use on a node
	memoryLimitMB    = 256.0   // MB that control may use on a node
	networkLimitKBps = 15.0    // KB/s that control may use on a node
	storeWriteLimit  = 300.0   // platform writes/s that the whole fleet may make
	storeReadLimit   = 2_000.0 // platform reads/s that the whole fleet may make
)

// targetRow holds what one role of a router costs at the target size, as a row of the
// table in CAPACITY.md.
type targetRow struct {
	role        string
	state       string  // data that the role keeps in memory or in the platform
	messages    string  // messages that the role sends and receives, and their rate
	cpuPercent  float64 // percent of a core, on each node
	memoryMB    float64 // MB, on each node
	networkKBps float64 // KB/s, on each node
	storeWrites float64 // platform writes/s of the whole fleet
	storeReads  float64 // platform reads/s of the whole fleet, waiting watches included
	mechanism   string  // how the role bounds its cost
	assessment  string  // whether the role stays within the limits, or what would bring it within them
}

// Factors that convert the units of the slopes to those of the table.
const (
	cpuPercentPerMicrosecond = 1e-6 * 100 // from us of CPU time per second to percent of a core
	megabytesPerByte         = 1e-6
	kilobytesPerByte         = 1e-3
)

// targetRows computes the cost of each role of a router at the target size. It takes the
// costs of single operations, states and messages from the fitted lines of the measured
// slopes, given by name.
func targetRows(slopes map[string]*Slope) []targetRow {
	requestsPerNode := requestRate / nodes
	tokensPerRequest := tokenRate / requestRate
	openStreams := requestsPerNode * tokensPerRequest * tokenGapSeconds
	shares := budgets                                        // a node behind the load balancer gets requests for every budget within an hour, so it has a share of each
	homeBudgets := zones * budgets / nodes                   // budgets that a node draws for its zone as their home
	refillRate := homeBudgets / (outageToleranceSeconds / 2) // refills/s of a node: two for each home budget in an outage tolerance
	return []targetRow{
		{
			role:       "client API and relay",
			state:      fmt.Sprintf("%.0f open streams", openStreams),
			messages:   fmt.Sprintf("%.1f requests/s, %.0f tokens/s", requestsPerNode, tokenRate/nodes),
			cpuPercent: requestsPerNode * slopes["token"].At(tokensPerRequest) * cpuPercentPerMicrosecond,
			memoryMB:   openStreams * slopes["stream"].PerUnit() * megabytesPerByte,
			mechanism:  "streams resume at an offset; this is the cost of serving requests, not of control",
			assessment: "holds",
		},
		{
			role:        "escrow holder",
			state:       fmt.Sprintf("%.0f shares, home of %.0f; a ledger of %.1f KB for a budget that all zones draw on", shares, homeBudgets, slopes["budget"].At(zones)*kilobytesPerByte),
			messages:    fmt.Sprintf("%.2f refills/s and %.0f transfer requests and transfers/s on each node", refillRate, 2*requestsPerNode),
			cpuPercent:  (4*slopes["tick"].At(shares) + 2*refillRate*slopes["update"].At(zones)) * cpuPercentPerMicrosecond,
			memoryMB:    slopes["share"].At(shares) * megabytesPerByte,
			networkKBps: 2*refillRate*slopes["budget"].At(zones)*kilobytesPerByte + 2*requestsPerNode*transferBytes*kilobytesPerByte,
			storeWrites: nodes * refillRate,
			storeReads:  nodes * (refillRate + homeBudgets/shortfallIntervalSeconds),
			mechanism:   "one home in each zone draws a budget and the other zone members request from it; shares are sized by demand and outage tolerance",
			assessment:  fmt.Sprintf("writes hold; the ticks of %.0f shares must skip idle ones, and the shortfall checks (%.0f reads/s) must read many budgets in one call", shares, nodes*homeBudgets/shortfallIntervalSeconds),
		},
		{
			role:        "witness and transfer peer",
			state:       fmt.Sprintf("%.0f marks", 3*shares),
			messages:    fmt.Sprintf("3 calls/s with the marks of the shares in use, %.0f raised each second", requestsPerNode),
			memoryMB:    slopes["witness"].At(3*shares) * megabytesPerByte,
			cpuPercent:  0.01 * 3 * requestsPerNode * cpuPercentPerMicrosecond * 100,
			networkKBps: 3 * slopes["marks"].At(requestsPerNode) * 2 * kilobytesPerByte,
			mechanism:   "marks raised ahead of use, in one call to each witness; a quorum of three",
			assessment:  "holds; only shares whose service document sets escrow.alone have marks",
		},
		{
			role:        "claim owner",
			state:       fmt.Sprintf("%.0f keys", 2*keyedFraction*requestsPerNode*keyTTLSeconds),
			messages:    fmt.Sprintf("%.1f calls/s", 2*3*keyedFraction*requestsPerNode),
			memoryMB:    slopes["claim"].At(2*keyedFraction*requestsPerNode*keyTTLSeconds) * megabytesPerByte,
			networkKBps: 2 * 3 * keyedFraction * requestsPerNode * 0.3,
			mechanism:   "owners by rendezvous hashing, in two zones",
			assessment:  fmt.Sprintf("holds for retryable calls; keyed calls that must not run twice take 2 platform writes each and exceed the write limit at %.0f/s of them in the fleet: owners must commit claims in batches", storeWriteLimit/2),
		},
		{
			role:        "configuration watcher and relay",
			state:       fmt.Sprintf("%.0f client accounts, 5 services", accounts),
			messages:    fmt.Sprintf("%.2f changes/s, to 4 peers in each round", configChangesPerDay/secondsPerDay),
			cpuPercent:  configChangesPerDay / secondsPerDay * (slopes["view"].At(accounts) + 4*slopes["merge"].At(nodes)) * cpuPercentPerMicrosecond,
			memoryMB:    slopes["config"].At(accounts) * megabytesPerByte,
			networkKBps: configChangesPerDay / secondsPerDay * (4*slopes["beat"].At(membersPerHeartbeat) + 500) * kilobytesPerByte,
			storeReads:  zones * 2 * 2,
			mechanism:   "two watchers in each zone, heartbeats sent immediately on a change, versions that only increase",
			assessment:  "holds",
		},
		{
			role:        "membership",
			state:       fmt.Sprintf("%.0f members", nodes),
			messages:    fmt.Sprintf("%.0f heartbeats/s out and as many in, each with at most %.0f members", heartbeatFanOut, membersPerHeartbeat),
			cpuPercent:  2 * heartbeatFanOut * slopes["merge"].At(nodes) * cpuPercentPerMicrosecond,
			networkKBps: 2 * 2 * heartbeatFanOut * slopes["beat"].At(membersPerHeartbeat) * kilobytesPerByte,
			storeReads:  nodes / 5,
			memoryMB:    nodes * 400 * megabytesPerByte,
			mechanism:   "bounded fan-out and bounded messages",
			assessment:  fmt.Sprintf("exceeds the network limit; each entry is refreshed every %.1f s: at this size a node must track its own zone and a subset of the others", nodes/(2*heartbeatFanOut*membersPerHeartbeat)),
		},
		{
			role:        "endpoint health and picker",
			state:       fmt.Sprintf("%.0f endpoints of %.0f", endpointsPerNode, replicas),
			messages:    fmt.Sprintf("%.0f load reports/s", endpointsPerNode),
			cpuPercent:  (requestsPerNode*slopes["pick"].At(endpointsPerNode) + endpointsPerNode*60) * cpuPercentPerMicrosecond,
			networkKBps: endpointsPerNode * 0.35,
			mechanism:   "deterministic subsets; a node's own counts first, then load reports",
			assessment:  fmt.Sprintf("the reports alone take %.1f KB/s; read every 2 s they fit together with the other traffic", endpointsPerNode*0.35),
		},
		{
			role:        "permits for endpoints that take a limited rate",
			state:       fmt.Sprintf("%.1f endpoints with a limit that a node grants permits for", limitedFraction*replicas/nodes),
			messages:    fmt.Sprintf("%.2f calls/s out and as many in", permitAsks*limitedFraction*requestsPerNode),
			cpuPercent:  permitAsks * limitedFraction * requestsPerNode * (2*slopes["permit"].At(nodes) + 2*peerCallMicroseconds) * cpuPercentPerMicrosecond,
			memoryMB:    slopes["bucket"].At(limitedFraction*replicas) * megabytesPerByte,
			networkKBps: permitAsks * limitedFraction * requestsPerNode * 2 * transferBytes * kilobytesPerByte,
			mechanism:   "one token bucket for each endpoint, at the node that ranks first; no call for endpoints without a limit",
			assessment:  fmt.Sprintf("holds while few endpoints are in need; if all %.0f named limits, the calls would take %.1f KB/s, and permits in batches would be needed", replicas, permitAsks*requestsPerNode*2*transferBytes*kilobytesPerByte),
		},
		{
			role:       "requests that crash endpoints",
			state:      fmt.Sprintf("%.0f traits at most", maxTraits),
			messages:   "notes on traits with news, in heartbeats, 128 at most",
			memoryMB:   slopes["trait"].At(maxTraits) * megabytesPerByte,
			mechanism:  "records only of requests that an endpoint broke off, bounded as a whole and for each account",
			assessment: "holds",
		},
		{
			role:        "usage upload",
			state:       fmt.Sprintf("%.0f records in a batch", requestsPerNode),
			messages:    "one batch a second",
			networkKBps: slopes["record"].At(requestsPerNode) * 4 / 3 * kilobytesPerByte,
			storeWrites: nodes,
			mechanism:   "immutable batches, created only if absent",
			assessment:  fmt.Sprintf("exceeds the write limit at %.0f nodes with the setting file at 1s; with file at 10s it takes %.0f writes/s, and one collector of records in each zone would take %.0f", storeWriteLimit, nodes/10, zones),
		},
		{
			role:        "recovery",
			state:       "sealed rows, until their holder reports again",
			messages:    fmt.Sprintf("%.2f instance ends/s, each with up to %.0f shares", (failuresPerDay+replacementsPerDay)/secondsPerDay, shares),
			storeWrites: (failuresPerDay + replacementsPerDay) / secondsPerDay * shares,
			mechanism:   "rows sealed by a quorum, only for a budget that runs short; planned stops return shares",
			assessment:  "a planned stop writes each share once; handing shares to the zone's collector instead leaves the load on the platform as it is",
		},
		{
			role:        "operators' commands",
			state:       "none",
			messages:    fmt.Sprintf("%.2f changes/s", configChangesPerDay/secondsPerDay),
			storeWrites: configChangesPerDay / secondsPerDay,
			storeReads:  2 * configChangesPerDay / secondsPerDay,
			mechanism:   "conditional updates",
			assessment:  "holds; a budget that 2,600 holders draw on is shown as one row per holder",
		},
	}
}

// formatTable returns the rows as a Markdown table. Below them it adds a row with the
// sums of all roles but the first, which serves requests and is not control, and a row
// with the limits.
func formatTable(rows []targetRow) string {
	var b strings.Builder
	b.WriteString("| role | state | messages | core % | MB | KB/s | platform writes/s | platform reads/s | mechanism | at the target size |\n|---|---|---|---|---|---|---|---|---|---|\n")
	var total targetRow
	for i, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.role, r.state, r.messages, formatFigure(r.cpuPercent), formatFigure(r.memoryMB), formatFigure(r.networkKBps), formatFigure(r.storeWrites), formatFigure(r.storeReads), r.mechanism, r.assessment)
		if i == 0 {
			continue // the first role serves requests, which is not control
		}
		total.cpuPercent += r.cpuPercent
		total.memoryMB += r.memoryMB
		total.networkKBps += r.networkKBps
		total.storeWrites += r.storeWrites
		total.storeReads += r.storeReads
	}
	fmt.Fprintf(&b, "| **control, as built** | | | **%s** | **%s** | **%s** | **%s** | **%s** | | |\n",
		formatFigure(total.cpuPercent), formatFigure(total.memoryMB), formatFigure(total.networkKBps), formatFigure(total.storeWrites), formatFigure(total.storeReads))
	fmt.Fprintf(&b, "| **limit** | | | **%s** | **%s** | **%s** | **%s** | **%s** | | |\n",
		formatFigure(cpuLimitPercent), formatFigure(memoryLimitMB), formatFigure(networkLimitKBps), formatFigure(storeWriteLimit), formatFigure(storeReadLimit))
	return b.String()
}
