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

// Write measures all slopes and writes CAPACITY.md and its plots into a folder.
func Write(ctx context.Context, folder string) error {
	all, err := measureAll(ctx)
	if err != nil {
		return err
	}
	speed, err := speedToday(ctx)
	if err != nil {
		return err
	}
	named := map[string]*Slope{}
	var lines strings.Builder
	for _, s := range all {
		named[s.name] = s
		lines.WriteString(s.Row())
		if err := s.Plot(filepath.Join(folder, "plots", s.name+".svg")); err != nil {
			return err
		}
	}
	page := fmt.Sprintf(head, runtime.NumCPU()) + lines.String() + middle + table(rows(named)) + foot + speed
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "CAPACITY.md"), []byte(page), 0o644), "capacity")
}

// manyStreams is the most streams that the limit of open files allows here.
const manyStreams = 4_500

func measureAll(ctx context.Context) ([]*Slope, error) {
	var all []*Slope
	for _, part := range parts {
		s, err := part()
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	p, err := startPath(ctx, 0, 64)
	if err != nil {
		return nil, err
	}
	work, allocs, err := tokenWork(ctx, p)
	if err := errors.CombineErrors(err, p.fleet.Close()); err != nil {
		return nil, err
	}
	streams, err := streamMemory(ctx, []int{250, 500, 1_000, 2_000})
	if err != nil {
		return nil, err
	}
	return append(all, work, allocs, streams), nil
}

// speedToday compares one router with the same load straight to the engine.
func speedToday(ctx context.Context) (string, error) {
	var b strings.Builder
	fast, err := startPath(ctx, 0, 64)
	if err != nil {
		return "", err
	}
	c := load.Config{Count: 6_000, Time: time.Minute, Workers: 16, Tokens: 32, Themes: 8, Seed: 77}
	via, err := fast.cost(ctx, false, c)
	if err != nil {
		return "", errors.CombineErrors(err, fast.fleet.Close())
	}
	c.Seed++
	direct, err := fast.cost(ctx, true, c)
	if err := errors.CombineErrors(err, fast.fleet.Close()); err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "Short streams of up to 32 tokens, 16 at once, as fast as they go; client, router and engine in one process:\n\n")
	fmt.Fprintf(&b, "| | requests/s | requests/s for each core in use | allocations for a request |\n|---|---|---|---|\n")
	fmt.Fprintf(&b, "| through one router | %.0f | %.0f | %.0f |\n", via.rate, 1e6/via.processor, via.allocs)
	fmt.Fprintf(&b, "| straight to the engine | %.0f | %.0f | %.0f |\n", direct.rate, 1e6/direct.processor, direct.allocs)
	fmt.Fprintf(&b, "| ratio | %.2f | %.2f | |\n\n", via.rate/direct.rate, direct.processor/via.processor)
	paced, err := startPath(ctx, 2*time.Millisecond, 64)
	if err != nil {
		return "", err
	}
	rest := load.Config{Count: 4_000, Time: time.Minute, Workers: 64, Rate: via.rate / 8, Tokens: 32, Themes: 8, Seed: 99}
	slow, err := paced.cost(ctx, false, rest)
	if err != nil {
		return "", errors.CombineErrors(err, paced.fleet.Close())
	}
	rest.Seed++
	plain, err := paced.cost(ctx, true, rest)
	if err := errors.CombineErrors(err, paced.fleet.Close()); err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "Streams paced at 2 ms a token, %.0f requests/s, added by the router:\n\n| | p50 | p95 | p99 |\n|---|---|---|---|\n", rest.Rate)
	added := func(name string, of func(r *load.Report, q float64) time.Duration) {
		fmt.Fprintf(&b, "| %s |", name)
		for _, q := range []float64{50, 95, 99} {
			fmt.Fprintf(&b, " %.2f ms |", float64(of(slow.report, q)-of(plain.report, q))/float64(time.Millisecond))
		}
		b.WriteString("\n")
	}
	added("first token", (*load.Report).FirstToken)
	added("between tokens", (*load.Report).TokenGap)
	many, err := streamMemory(ctx, []int{manyStreams})
	if err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "\nAt %d open streams the router holds %.1f KB for each. More were not tried: client, router\n"+
		"and engine share this process's limit of 20,000 open files, and a stream takes four.\n", manyStreams, many.costs[0]/manyStreams/1_000)
	return b.String(), nil
}

const head = `# Capacity

Written by ` + "`go run ./cmd/jacinthladder measure --folder docs`" + ` on a machine of %d cores; do not edit.
Every figure of the target is a slope measured here times a size. Each slope is
measured at four sizes or more, by that command, on small stand-ins.

## Slopes

| slope | cost | what grows | measured | each more |
|---|---|---|---|---|
`

const middle = `
## The target size

2,600 nodes before 6,500 replicas on 52,000 accelerators; 56,000 requests/s and
12 million tokens/s; 12,000 budgets, 3,900 client accounts, 5 models; 4 regions,
15 availability zones; 16,000 changes of configuration a day; 65 failures and 680
replacements a day. A node may use 1.6 % of a core, 256 MB and 15 KB/s for
control. The platform takes some 300 writes/s and 2,000 reads/s; a waiting watch
counts as a read.

Taken, not measured: every node sees every budget within an hour; a tenth of the
requests have a key; a load report is 350 bytes and takes 60 us, a claim call 300
bytes, a known member 400 bytes, a plea or a gift between mates 300 bytes.

`

const foot = `
A zone lost or regions apart changes none of the rates above: shares outlast it
by their endurance, limits count the absent for ten minutes, and configuration
is caught up by one call a node from the version that it has. Rules that today
break are named with what would carry them; that is not built yet.

## Speed today

`
