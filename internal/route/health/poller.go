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
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/route/choose"
)

const (
	// pollInterval is the time between two polls of all engines. It is also the time
	// after which a poll that has not ended is abandoned.
	pollInterval = time.Second
	// maxConcurrent is the largest number of engines that are asked for their load
	// reports at the same time.
	maxConcurrent = 16
)

// LoadReport is the response of a model engine to a request for its load. Running
// and waiting requests are those of all instances.
type LoadReport struct {
	Running int  `json:"running"` // requests that run in the slots of the engine
	Waiting int  `json:"waiting"` // requests that wait for a slot
	Leaving bool `json:"leaving"` // the engine must get no new requests
}

// Poller polls the load reports of model engines, the endpoints of model services, and
// passes them to a picker. Create it with NewPoller.
type Poller struct {
	// Fetch returns the load report of the engine with the given base URL.
	Fetch func(ctx context.Context, base string) (LoadReport, error)
	// Config returns the configuration in force, whose model services are polled.
	Config func() *config.Snapshot
	// Picker receives the reports and says which engines this instance uses.
	Picker *choose.Picker
}

// NewPoller returns a poller that fetches load reports with the given HTTP client.
// The function snapshot returns the configuration in force. The picker receives the
// reports and says which engines this instance uses.
func NewPoller(client *http.Client, snapshot func() *config.Snapshot, picker *choose.Picker) *Poller {
	return &Poller{Config: snapshot, Picker: picker, Fetch: func(ctx context.Context, base string) (LoadReport, error) {
		return fetchReport(ctx, client, base)
	}}
}

// fetchReport asks the engine with the given base URL for its load report.
func fetchReport(ctx context.Context, client *http.Client, base string) (LoadReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/load", nil)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "health: create the request for the load report of an engine")
	}
	resp, err := client.Do(r)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "health: request the load report of an engine")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return LoadReport{}, errors.Newf("health: the engine returned status %d for its load report", resp.StatusCode)
	}
	var report LoadReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return LoadReport{}, errors.Wrap(err, "health: decode the load report of an engine")
	}
	return report, nil
}

// Run calls Poll once per pollInterval until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	pause.Every(ctx, pollInterval, func(time.Time) { p.Poll(ctx) })
}

// Poll fetches one report from each model engine that this instance uses. It returns
// when all reports have arrived or failed, at the latest after pollInterval.
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
				p.pollEngine(ctx, s.Name(), e)
			})
		}
	}
	g.Wait()
}

// pollEngine fetches the load report of the engine e of a model service and passes the
// report to the picker. A failure to fetch it is ignored, because the picker records the
// failures of engines from the responses to calls.
func (p *Poller) pollEngine(ctx context.Context, service string, e spec.Endpoint) {
	report, err := p.Fetch(ctx, e.URL())
	if err != nil {
		return
	}
	p.Picker.ApplyReport(service, e.Name(), report.Running+report.Waiting, report.Leaving)
}
