package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/accept"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/tools/load"
)

// ErrInvariant means that an invariant, such as that no budget is overspent, does not
// hold after a run.
var ErrInvariant = errors.New("trial: invariant violated")

// maxBody is the size of the largest request body that parseCall accepts, in bytes.
const maxBody = 1 << 20

// Run starts a fleet, sends it a load and stops its instances with planned stops. It
// writes a report of the load, the billing and the budgets to out. It returns
// ErrInvariant if an invariant does not hold.
func Run(ctx context.Context, c Config, l load.Config, out io.Writer) error {
	f, err := Start(ctx, c)
	if err != nil {
		return err
	}
	report, err := f.Load(ctx, l)
	if err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	stopErr := f.StopNodes()
	billing, err := f.Billing(ctx)
	if err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Fprint(out, report)
	fmt.Fprintf(out, "%-22s%d records for %d answers, %d doubled\n", "billed", billing.Records, report.Answered(), billing.Duplicates)
	fmt.Fprintf(out, "%-22s%d micro-units billed, %d spent, %d overspent\n", "budgets", billing.Cost, billing.Spent, billing.Overspent)
	fmt.Fprintf(out, "%-22s%d left behind\n", "shares", billing.Unreturned)
	return errors.CombineErrors(stopErr, f.checkInvariants(report, billing))
}

// Load sends the requests of a load from all client accounts of the fleet to the fleet's
// instances. A load.Ledger accounts for the same requests, so that the report can count
// the requests that were refused although this ledger could have paid for them.
func (f *Fleet) Load(ctx context.Context, l load.Config) (*load.Report, error) {
	paid, err := f.Paid(ctx)
	if err != nil {
		return nil, err
	}
	l.Targets = f.URLs()
	l.Ledger = &load.Ledger{}
	l.MaxCost, l.Cost = f.maxCost, f.cost
	for account, key := range f.Keys {
		l.Ledger.Pay(account, paid[account])
		l.Callers = append(l.Callers, load.Caller{
			Account: account, Key: key, Model: "draft-small", Service: "custody-ledger", Path: "/transfers",
		})
	}
	return load.Run(ctx, l), nil
}

// parseCall parses a request of the load as an instance does, with the configuration of
// the first instance.
func (f *Fleet) parseCall(r *http.Request, body []byte) (*call.Call, error) {
	parser := &accept.Parser{Config: f.Nodes[0].Config().Snapshot, MaxBody: maxBody}
	clone := r.Clone(r.Context())
	clone.Body = io.NopCloser(strings.NewReader(string(body)))
	path, ok := strings.CutPrefix(r.URL.Path, "/s/")
	if !ok {
		return parser.Chat(httptest.NewRecorder(), clone)
	}
	service, rest, _ := strings.Cut(path, "/")
	clone.SetPathValue("service", service)
	clone.SetPathValue("path", rest)
	return parser.Plain(httptest.NewRecorder(), clone)
}

// maxCost returns the maximum cost of a request, in micro-units.
func (f *Fleet) maxCost(r *http.Request, body []byte) (int64, error) {
	c, err := f.parseCall(r, body)
	if err != nil {
		return 0, err
	}
	return price.MaxCost(c)
}

// cost returns the price of a request with the given numbers of input tokens, cached
// input tokens and output tokens, in micro-units. It returns 0 for a request that cannot
// be parsed.
func (f *Fleet) cost(r *http.Request, body []byte, input, cached, output int64) int64 {
	c, err := f.parseCall(r, body)
	if err != nil {
		return 0
	}
	return price.Cost(c, price.Usage{Input: input, Cached: cached, Output: output})
}

// checkInvariants compares the report of a load with the billing after all instances
// have stopped. It returns ErrInvariant with the first violation, or nil.
func (f *Fleet) checkInvariants(r *load.Report, b Billing) error {
	for _, check := range []struct {
		ok      bool
		failure string
	}{
		{r.Answered() > 0, "no request was answered"},
		{r.WrongResponses() == 0, "a response was wrong or incomplete"},
		{r.Failed() == 0, "a request ended with neither a response nor a refusal"},
		{b.Overspent == 0, "a budget was overspent"},
		{b.Duplicates == 0, "a request was billed twice"},
		{int64(b.Records) == r.Answered(), "the number of usage records differs from the number of responses"},
		{b.Cost == r.Spent(), "the cost of the usage records differs from the cost of the responses"},
		{b.Cost == b.Spent, "the cost of the usage records differs from the amount spent in the budgets"},
		{b.Unreturned == 0, "a share was not returned to its budget"},
		{f.violations() == 0, "an instance reported an invariant violation"},
	} {
		if !check.ok {
			return errors.Wrap(ErrInvariant, check.failure)
		}
	}
	return nil
}

// violations returns the number of invariant violations that all instances together
// report in their metrics.
func (f *Fleet) violations() (sum uint64) {
	for _, n := range f.Nodes {
		sum += n.Metrics().Violations()
	}
	return sum
}

// DefaultLoad returns the load of a trial: up to 3,000 requests in 12 s, at up to 400
// requests/s.
func DefaultLoad() load.Config {
	return load.Config{
		Count: 3000, Duration: 12 * time.Second, Rate: 400, Workers: 64, StreamFraction: 0.7, Tokens: 48, SystemMessages: 12, Check: true, Seed: 1,
	}
}
