package health

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/route/choose"
)

const (
	// pollInterval is the interval of the polls and the timeout of each.
	pollInterval = time.Second
	// maxConcurrent bounds the concurrent requests for reports.
	maxConcurrent = 16
)

// LoadReport is the load that an engine reports.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Poller polls load reports and passes them to a picker.
type Poller struct {
	// Fetch returns the load report of the engine at a base URL.
	Fetch func(ctx context.Context, base string) (LoadReport, error)
	// Config returns the configuration in force.
	Config func() *config.Snapshot
	Picker *choose.Picker
}

// NewPoller returns a poller that uses an HTTP client.
func NewPoller(client *http.Client, snapshot func() *config.Snapshot, picker *choose.Picker) *Poller {
	return &Poller{Config: snapshot, Picker: picker, Fetch: func(ctx context.Context, base string) (LoadReport, error) {
		return fetchReport(ctx, client, base)
	}}
}

func fetchReport(ctx context.Context, client *http.Client, base string) (LoadReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/load", nil)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "health")
	}
	resp, err := client.Do(r)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "health")
	}
	defer resp.Body.Close()
	var report LoadReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return LoadReport{}, errors.Wrap(err, "health")
	}
	return report, nil
}

// Run polls at each interval until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.Poll(ctx)
		}
	}
}

// Poll fetches one report from each engine that this instance uses.
func (p *Poller) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	var g sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrent)
	for _, s := range p.Config().Services() {
		if s.Kind() != spec.KindModel {
			continue
		}
		for _, e := range p.Picker.Endpoints(s) {
			semaphore <- struct{}{}
			g.Go(func() {
				defer func() { <-semaphore }()
				p.pollEndpoint(ctx, s.Name(), e)
			})
		}
	}
	g.Wait()
}

// pollEndpoint fetches one report. A failure is ignored, because the picker records
// failures from the responses to calls.
func (p *Poller) pollEndpoint(ctx context.Context, service string, e spec.Endpoint) {
	report, err := p.Fetch(ctx, e.URL())
	if err != nil {
		return
	}
	p.Picker.ApplyReport(service, e.Name(), report.Running+report.Waiting, report.Leaving)
}
