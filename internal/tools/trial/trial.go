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

// ErrInvariant means that something that must always hold did not.
var ErrInvariant = errors.New("trial: an invariant broke")

// maxBody bounds the bodies of the load in bytes.
const maxBody = 1 << 20

// Run starts a fleet, loads it, stops it as planned, and writes a report. It
// fails with ErrBroken if what must hold did not.
func Run(ctx context.Context, c Config, l load.Config, out io.Writer) error {
	f, err := Start(ctx, c)
	if err != nil {
		return err
	}
	report, err := f.Load(ctx, l)
	if err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	stopped := f.StopNodes()
	bills, err := f.Bills(ctx)
	if err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Fprint(out, report)
	fmt.Fprintf(out, "%-22s%d records for %d answers, %d doubled\n", "billed", bills.Records, report.Answered(), bills.Doubles)
	fmt.Fprintf(out, "%-22s%d micro-units billed, %d spent, %d overspent\n", "budgets", bills.Cost, bills.Spent, bills.Overspent)
	fmt.Fprintf(out, "%-22s%d left behind\n", "shares", bills.Left)
	return errors.CombineErrors(stopped, f.verdict(report, bills))
}

// Load sends a load as all client accounts of the fleet, beside the naive
// ledger.
func (f *Fleet) Load(ctx context.Context, l load.Config) (*load.Report, error) {
	paid, err := f.Paid(ctx)
	if err != nil {
		return nil, err
	}
	l.Targets = f.URLs()
	l.Ledger = &load.Ledger{}
	l.MaxCost, l.Cost = f.bound, f.cost
	for account, key := range f.Keys {
		l.Ledger.Pay(account, paid[account])
		l.Callers = append(l.Callers, load.Caller{
			Account: account, Key: key, Model: "draft-small", Service: "custody-ledger", Path: "/transfers",
		})
	}
	return load.Run(ctx, l), nil
}

// call reads a request of the load as the fleet does.
func (f *Fleet) call(r *http.Request, body []byte) (*call.Call, error) {
	g := &accept.Parser{Config: f.Nodes[0].Config().Snapshot, MaxBody: maxBody}
	in := r.Clone(r.Context())
	in.Body = io.NopCloser(strings.NewReader(string(body)))
	path, ok := strings.CutPrefix(r.URL.Path, "/s/")
	if !ok {
		return g.Chat(httptest.NewRecorder(), in)
	}
	service, rest, _ := strings.Cut(path, "/")
	in.SetPathValue("service", service)
	in.SetPathValue("path", rest)
	return g.Plain(httptest.NewRecorder(), in)
}

func (f *Fleet) bound(r *http.Request, body []byte) (int64, error) {
	c, err := f.call(r, body)
	if err != nil {
		return 0, err
	}
	return price.MaxCost(c)
}

func (f *Fleet) cost(r *http.Request, body []byte, input, cached, output int64) int64 {
	c, err := f.call(r, body)
	if err != nil {
		return 0
	}
	return price.Cost(c, price.Usage{Input: input, Cached: cached, Output: output})
}

// verdict checks what must always hold.
func (f *Fleet) verdict(r *load.Report, b Bills) error {
	for _, check := range []struct {
		holds bool
		what  string
	}{
		{r.Answered() > 0, "nothing was answered"},
		{r.WrongResponses() == 0, "a caller got a wrong answer"},
		{r.Failed() == 0, "a request ended in neither an answer nor a refusal"},
		{b.Overspent == 0, "a budget was overspent"},
		{b.Doubles == 0, "a request was billed twice"},
		{int64(b.Records) == r.Answered(), "billed records differ from answers"},
		{b.Cost == r.Spent(), "the bills differ from what the answers cost"},
		{b.Cost == b.Spent, "the budgets differ from the bills"},
		{b.Left == 0, "a share was left behind"},
		{f.broken() == 0, "an instance met a broken rule"},
	} {
		if !check.holds {
			return errors.Wrap(ErrInvariant, check.what)
		}
	}
	return nil
}

func (f *Fleet) broken() (sum uint64) {
	for _, n := range f.Nodes {
		sum += n.Metrics().Violations()
	}
	return sum
}

// DefaultLoad returns the short load of a trial.
func DefaultLoad() load.Config {
	return load.Config{
		Count: 3000, Duration: 12 * time.Second, Rate: 400, Workers: 64, StreamFraction: 0.7, Tokens: 48, SystemMessages: 12, Check: true, Seed: 1,
	}
}
