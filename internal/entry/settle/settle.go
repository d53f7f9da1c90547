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
	"jacinthladder.dev/internal/fleet/pause"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// UsageKind is the kind of the platform objects that hold batches of usage records.
	UsageKind = "usage"
	// maxBatchRecords is the maximum number of usage records in one batch. It keeps
	// the size of a batch below 1 MB.
	maxBatchRecords = 2500
)

// Record is the usage record of one request: the tokens that the request used and its
// cost.
type Record struct {
	ID      string    `json:"id"` // request ID
	Account string    `json:"account"`
	Service string    `json:"service"`
	Budget  string    `json:"budget"` // budget that paid the cost
	Share   string    `json:"share"`  // ID of the share of the budget from which the cost was paid
	Input   int64     `json:"input"`  // prompt tokens, including the cached ones
	Cached  int64     `json:"cached"` // prompt tokens that the engine reused from its cache
	Output  int64     `json:"output"` // response tokens
	Cost    int64     `json:"cost"`   // charged cost, in micro-units
	At      time.Time `json:"at"`     // time at which the cost was charged
}

// Recorder charges the costs of calls to their reservations and writes the usage
// records of the calls to the platform. Make one with NewRecorder.
type Recorder struct {
	process string
	store   *object.Store
	logger  log.Interface

	mu          sync.Mutex
	records     []Record   // usage records that are not known to be written, oldest first
	flushed     int64      // number of usage records written since the process started
	flushing    sync.Mutex // held during Flush, so that only one Flush runs at a time
	batch       []byte     // encoded batch to write, unchanged until it is known to be written; nil if there is none
	batchLen    int        // number of records in batch
	batchNumber int        // number of batches written before batch, part of the name of batch
}

// NewRecorder returns a recorder that writes usage records to store. The names of its
// batches start with process, the ID of this process.
func NewRecorder(process string, store *object.Store, logger log.Interface) *Recorder {
	return &Recorder{process: process, store: store, logger: logger}
}

// Settle charges the cost of the call c with the usage u to its reservation h, and
// queues the usage record of the call. It returns the charged cost in micro-units. A
// cost above the reserved amount is reduced to that amount: it is the maximum that the
// caller was promised, and the caller does not pay for an engine that exceeds it.
func (r *Recorder) Settle(c *call.Call, h escrow.Hold, u price.Usage) int64 {
	fullCost := price.Cost(c, u)
	cost := h.Settle(fullCost)
	if fullCost > cost {
		r.logger.Errorf("settle: request %s cost %d micro-units, above its reservation of %d, and is charged the reservation", c.ID(), fullCost, h.Amount())
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

// Pending returns the number of queued usage records, which are not yet known to be
// written.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Flushed returns the number of usage records written since the process started.
func (r *Recorder) Flushed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flushed
}

// Run writes the queued usage records every interval until ctx ends.
func (r *Recorder) Run(ctx context.Context, interval time.Duration) {
	pause.Every(ctx, interval, func(time.Time) {
		if err := r.Flush(ctx); err != nil && ctx.Err() == nil {
			r.logger.WithError(err).Warnf("settle: write of usage records failed, %d records pending", r.Pending())
		}
	})
}

// Close writes the remaining usage records. It retries until ctx ends, and then returns
// the last error.
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

// Flush writes all queued usage records to the platform, in batches. It stops at the
// first error. The next Flush then writes the same batch again.
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

// fillBatch makes the next batch from the oldest queued records. It keeps an earlier
// batch that is not yet known to be written. The returned bool is false if there is no
// batch to write.
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
		return false, errors.Wrap(err, "settle: encode batch of usage records")
	}
	r.batch = batch
	return true, nil
}

// completeBatch removes the current batch, which was written, and its records from the
// queue.
func (r *Recorder) completeBatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append([]Record(nil), r.records[r.batchLen:]...)
	r.flushed += int64(r.batchLen)
	r.batch = nil
	r.batchNumber++
}
