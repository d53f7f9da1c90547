package slopes

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/tools/load"
)

// Write measures all slopes, the growth of each cost of a router with its size, and the
// speed of one router. It writes the page CAPACITY.md to a folder and the page's plots to
// the folder plots below it.
func Write(ctx context.Context, folder string) error {
	all, err := measureAll(ctx)
	if err != nil {
		return err
	}
	speedSection, err := measureSpeed(ctx)
	if err != nil {
		return err
	}
	byName := map[string]*Slope{}
	var slopeRows strings.Builder
	for _, s := range all {
		byName[s.name] = s
		slopeRows.WriteString(s.Row())
		if err := s.Plot(filepath.Join(folder, "plots", s.name+".svg")); err != nil {
			return err
		}
	}
	page := fmt.Sprintf(pageHead, runtime.NumCPU()) + slopeRows.String() + pageMiddle + formatTable(targetRows(byName)) + pageFoot + speedSection
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "CAPACITY.md"), []byte(page), 0o644), "capacity: write CAPACITY.md")
}

// maxStreams is the largest number of streams that this process can keep open with its
// files and sockets: each stream takes four open files, and the limit is 20,000.
const maxStreams = 4_500

// measureAll measures all slopes, the growth of each cost with its size: first the costs
// of single components, then the costs that need a running router and engine.
func measureAll(ctx context.Context) ([]*Slope, error) {
	var all []*Slope
	for _, measureSlope := range componentSlopes {
		s, err := measureSlope()
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	t, err := startTestbed(ctx, 0, 64)
	if err != nil {
		return nil, err
	}
	cpu, allocs, err := tokenCost(ctx, t)
	if err := errors.CombineErrors(err, t.fleet.Close()); err != nil {
		return nil, err
	}
	streams, err := streamMemory(ctx, []int{250, 500, 1_000, 2_000})
	if err != nil {
		return nil, err
	}
	return append(all, cpu, allocs, streams), nil
}

// measureSpeed sends the same load through one router and directly to the engine, once
// as fast as possible and once at a limited rate for the latencies. It returns the
// section of CAPACITY.md that compares the two, and the router's memory per stream.
func measureSpeed(ctx context.Context) (string, error) {
	var b strings.Builder
	unpaced, err := startTestbed(ctx, 0, 64)
	if err != nil {
		return "", err
	}
	c := load.Config{Count: 6_000, Duration: time.Minute, Workers: 16, Tokens: 32, SystemMessages: 8, Seed: 77}
	routed, err := unpaced.measureLoad(ctx, false, c)
	if err != nil {
		return "", errors.CombineErrors(err, unpaced.fleet.Close())
	}
	c.Seed++
	direct, err := unpaced.measureLoad(ctx, true, c)
	if err := errors.CombineErrors(err, unpaced.fleet.Close()); err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "Short streams of up to 32 tokens, 16 in parallel, without a rate limit; client, router and engine in one process:\n\n")
	fmt.Fprintf(&b, "| | requests/s | requests/s per core in use | allocations per request |\n|---|---|---|---|\n")
	fmt.Fprintf(&b, "| through one router | %.0f | %.0f | %.0f |\n", routed.requestRate, 1e6/routed.cpuPerRequest, routed.allocsPerRequest)
	fmt.Fprintf(&b, "| directly to the engine | %.0f | %.0f | %.0f |\n", direct.requestRate, 1e6/direct.cpuPerRequest, direct.allocsPerRequest)
	fmt.Fprintf(&b, "| ratio | %.2f | %.2f | |\n\n", routed.requestRate/direct.requestRate, direct.cpuPerRequest/routed.cpuPerRequest)
	paced, err := startTestbed(ctx, 2*time.Millisecond, 64)
	if err != nil {
		return "", err
	}
	pacedLoad := load.Config{Count: 4_000, Duration: time.Minute, Workers: 64, Rate: routed.requestRate / 8, Tokens: 32, SystemMessages: 8, Seed: 99}
	pacedRouted, err := paced.measureLoad(ctx, false, pacedLoad)
	if err != nil {
		return "", errors.CombineErrors(err, paced.fleet.Close())
	}
	pacedLoad.Seed++
	pacedDirect, err := paced.measureLoad(ctx, true, pacedLoad)
	if err := errors.CombineErrors(err, paced.fleet.Close()); err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "Latency added by the router, with streams paced at 2 ms per token and %.0f requests/s:\n\n| | p50 | p95 | p99 |\n|---|---|---|---|\n", pacedLoad.Rate)
	writeAddedLatency := func(name string, percentile func(r *load.Report, q float64) time.Duration) {
		fmt.Fprintf(&b, "| %s |", name)
		for _, q := range []float64{50, 95, 99} {
			fmt.Fprintf(&b, " %.2f ms |", float64(percentile(pacedRouted.report, q)-percentile(pacedDirect.report, q))/float64(time.Millisecond))
		}
		b.WriteString("\n")
	}
	writeAddedLatency("first token", (*load.Report).FirstToken)
	writeAddedLatency("between tokens", (*load.Report).TokenGap)
	streams, err := streamMemory(ctx, []int{maxStreams})
	if err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "\nAt %d open streams the router uses %.1f KB of memory per stream. More were not measured: client, router\n"+
		"and engine share this process's limit of 20,000 open files, and each stream takes four.\n", maxStreams, streams.costs[0]/maxStreams/1_000)
	return b.String(), nil
}

const pageHead = `# Capacity

Written by ` + "`go run ./cmd/jacinthladder measure --folder docs`" + ` on a machine of %d cores; do not edit.
Each figure at the target size is a slope measured here times a size. Each slope
is measured at four sizes or more, by that command, on small stand-ins.

## Slopes

| slope | cost | grows with | measured | per unit |
|---|---|---|---|---|
`

const pageMiddle = `
## The target size

2,600 nodes in front of 6,500 replicas on 52,000 accelerators; 56,000 requests/s and
12 million tokens/s; 12,000 budgets, 3,900 client accounts, 5 models; 4 regions,
15 availability zones; 16,000 configuration changes a day; 65 failures and 680
replacements of instances a day. A node may use 1.6 % of a core, 256 MB and
15 KB/s for control. The platform accepts about 300 writes/s and 2,000 reads/s; a
waiting watch counts as a read.

Assumed, not measured: every node sees every budget within an hour; a tenth of the
requests have an idempotency key; a load report is 350 bytes and takes 60 us; a
claim call is 300 bytes, a known member 400 bytes, a transfer request, a transfer
between zone members or a call for a permit 300 bytes; one endpoint in a hundred names a limit, and a
request to it takes two calls for a permit of 60 us at either side.

`

const pageFoot = `
The loss of a zone or a partition between regions changes none of the rates above:
shares last for their outage tolerance, limits count absent members for ten minutes,
and each node catches up on configuration with one call from the version that it
has. Where a role exceeds a limit today, its row names the change that would bring it
within the limit; that change is not built yet.

## Speed today

`
