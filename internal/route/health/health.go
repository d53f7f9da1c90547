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

// Report is an engine's own report.
type Report struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Reader reads reports into a board.
type Reader struct {
	// Read returns the report of the engine at a base address.
	Read func(ctx context.Context, base string) (Report, error)
	// View returns the configuration in force.
	View  func() *config.View
	Board *choose.Board
}

// NewReader returns a reader that uses a client.
func NewReader(client *http.Client, view func() *config.View, b *choose.Board) *Reader {
	return &Reader{View: view, Board: b, Read: func(ctx context.Context, base string) (Report, error) {
		return read(ctx, client, base)
	}}
}

func read(ctx context.Context, client *http.Client, base string) (Report, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/load", nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "health")
	}
	resp, err := client.Do(r)
	if err != nil {
		return Report{}, errors.Wrap(err, "health")
	}
	defer resp.Body.Close()
	var report Report
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return Report{}, errors.Wrap(err, "health")
	}
	return report, nil
}

// Run reads at every interval until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	t := time.NewTicker(readTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.Round(ctx)
		}
	}
}

// Round reads the report of each engine that this instance uses, once.
func (r *Reader) Round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	var g sync.WaitGroup
	slots := make(chan struct{}, together)
	for _, s := range r.View().Services() {
		if s.Kind() != spec.Model {
			continue
		}
		for _, e := range r.Board.Used(s) {
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
func (r *Reader) one(ctx context.Context, service string, e spec.Endpoint) {
	report, err := r.Read(ctx, e.URL())
	if err != nil {
		return
	}
	r.Board.Report(service, e.Name(), report.Running+report.Waiting, report.Leaving)
}
