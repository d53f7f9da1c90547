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
	// readTime is the interval of the readings, and bounds one of them.
	readTime = time.Second
	// together is the most readings under way at once.
	together = 16
)

// LoadReport is an engine's own report.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Poller reads reports into a board.
type Poller struct {
	// Fetch returns the report of the engine at a base address.
	Fetch func(ctx context.Context, base string) (LoadReport, error)
	// View returns the configuration in force.
	View   func() *config.Snapshot
	Picker *choose.Picker
}

// NewPoller returns a reader that uses a client.
func NewPoller(client *http.Client, view func() *config.Snapshot, b *choose.Picker) *Poller {
	return &Poller{View: view, Picker: b, Fetch: func(ctx context.Context, base string) (LoadReport, error) {
		return read(ctx, client, base)
	}}
}

func read(ctx context.Context, client *http.Client, base string) (LoadReport, error) {
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

// Run reads at every interval until ctx ends.
func (r *Poller) Run(ctx context.Context) {
	t := time.NewTicker(readTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.Poll(ctx)
		}
	}
}

// Poll reads the report of each engine that this instance uses, once.
func (r *Poller) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	var g sync.WaitGroup
	slots := make(chan struct{}, together)
	for _, s := range r.View().Services() {
		if s.Kind() != spec.KindModel {
			continue
		}
		for _, e := range r.Picker.Endpoints(s) {
			slots <- struct{}{}
			g.Go(func() {
				defer func() { <-slots }()
				r.one(ctx, s.Name(), e)
			})
		}
	}
	g.Wait()
}

// one reads one report. An engine that gives none is judged by its answers.
func (r *Poller) one(ctx context.Context, service string, e spec.Endpoint) {
	report, err := r.Fetch(ctx, e.URL())
	if err != nil {
		return
	}
	r.Picker.ApplyReport(service, e.Name(), report.Running+report.Waiting, report.Leaving)
}
