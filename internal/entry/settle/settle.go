package settle

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// UsageKind is the object kind of usage batches on the platform.
	UsageKind = "usage"
	// maxBatchRecords limits the records of one batch, so that the batch stays
	// below 1 MB.
	maxBatchRecords = 2500
)

// Record is the usage and the cost of one request.
type Record struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Service string    `json:"service"`
	Budget  string    `json:"budget"`
	Share   string    `json:"share"`
	Input   int64     `json:"input"`
	Cached  int64     `json:"cached"`
	Output  int64     `json:"output"`
	Cost    int64     `json:"cost"` // micro-units
	At      time.Time `json:"at"`
}

// Recorder settles calls and writes their usage records. Make one with
// NewRecorder.
type Recorder struct {
	process string
	store   *object.Store
	logger  log.Interface

	mu          sync.Mutex
	records     []Record
	flushed     int64
	flushing    sync.Mutex
	batch       []byte // unchanged until it is known to be written, nil if there is none
	batchLen    int
	batchNumber int
}

// NewRecorder returns a recorder that writes the records of a process.
func NewRecorder(process string, store *object.Store, logger log.Interface) *Recorder {
	return &Recorder{process: process, store: store, logger: logger}
}

// Settle charges the cost of a call to its reservation and queues the record. It
// returns the charged cost. A cost above the reservation is reduced to it: the
// reservation is the maximum that the caller was promised, and the caller does
// not pay for an engine that exceeds it.
func (r *Recorder) Settle(c *call.Call, h escrow.Hold, u price.Usage) int64 {
	fullCost := price.Cost(c, u)
	cost := h.Settle(fullCost)
	if fullCost > cost {
		r.logger.Errorf("settle: request %s cost %d, above its reservation of %d", c.ID(), fullCost, h.Amount())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, Record{
		ID: c.ID(), Account: c.Account(), Service: c.Service().Name(),
		Budget: h.Share().Budget(), Share: h.Share().ID(),
		Input: u.Input, Cached: u.Cached, Output: u.Output, Cost: cost, At: time.Now().UTC(),
	})
	return cost
}

// Pending returns the number of records that are not known to be written.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Flushed returns the number of records written since the start.
func (r *Recorder) Flushed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flushed
}

// Run flushes the records every interval until ctx ends.
func (r *Recorder) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := r.Flush(ctx); err != nil && ctx.Err() == nil {
				r.logger.WithError(err).Warnf("settle: write of usage records failed, %d records pending", r.Pending())
			}
		}
	}
}

// Close writes the remaining records, and retries until ctx ends.
func (r *Recorder) Close(ctx context.Context) error {
	const retryInterval = 200 * time.Millisecond
	for {
		err := r.Flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "settle: %d usage records not written", r.Pending())
		case <-time.After(retryInterval):
		}
	}
}

// Flush writes all queued records.
func (r *Recorder) Flush(ctx context.Context) error {
	r.flushing.Lock()
	defer r.flushing.Unlock()
	for {
		more, err := r.fillBatch()
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
		name := fmt.Sprintf("%s/%06d", r.process, r.batchNumber)
		// A conflict means that an earlier attempt succeeded, because only this
		// process writes batches under its name.
		_, err = r.store.Put(ctx, UsageKind, name, 0, r.batch)
		if err != nil && !errors.Is(err, object.ErrConflict) {
			return err
		}
		r.completeBatch()
	}
}

// fillBatch makes a batch of the oldest records, unless one is pending already.
// It reports whether there is a batch to write.
func (r *Recorder) fillBatch() (bool, error) {
	if r.batch != nil {
		return true, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batchLen = min(len(r.records), maxBatchRecords)
	if r.batchLen == 0 {
		return false, nil
	}
	batch, err := json.Marshal(r.records[:r.batchLen])
	if err != nil {
		return false, errors.Wrap(err, "settle: encode batch")
	}
	r.batch = batch
	return true, nil
}

// completeBatch removes the records of the batch that was written.
func (r *Recorder) completeBatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append([]Record(nil), r.records[r.batchLen:]...)
	r.flushed += int64(r.batchLen)
	r.batch = nil
	r.batchNumber++
}
