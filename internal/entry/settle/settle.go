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
	// UsageKind is the kind of usage batches on the platform.
	UsageKind = "usage"
	// maxBatch bounds the records of one batch, so that it stays below 1 MB.
	maxBatch = 2500
)

// Record says what one request cost.
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

// Recorder settles calls and files their records. Make one with NewClerk.
type Recorder struct {
	process string
	store   *object.Store
	logger  log.Interface

	mu      sync.Mutex
	records []Record
	filed   int64
	filing  sync.Mutex
	batch   []byte // frozen, with a name, until it is known to be filed
	length  int
	number  int
}

// NewRecorder returns a clerk that files for a process.
func NewRecorder(process string, store *object.Store, logger log.Interface) *Recorder {
	return &Recorder{process: process, store: store, logger: logger}
}

// Settle spends what the call cost from its reservation and queues the record.
// It returns the cost. A cost above the reservation is cut to it: the bound was
// promised, and the caller is not to pay for an engine that broke it.
func (k *Recorder) Settle(c *call.Call, h escrow.Hold, u price.Usage) int64 {
	asked := price.Cost(c, u)
	cost := h.Settle(asked)
	if asked > cost {
		k.logger.Errorf("settle: request %s cost %d, above its bound %d", c.ID(), asked, h.Amount())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records = append(k.records, Record{
		ID: c.ID(), Account: c.Account(), Service: c.Service().Name(),
		Budget: h.Share().Budget(), Share: h.Share().ID(),
		Input: u.Input, Cached: u.Cached, Output: u.Output, Cost: cost, At: time.Now().UTC(),
	})
	return cost
}

// Pending returns the records that are not known to be filed.
func (k *Recorder) Pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.records)
}

// Flushed returns the records filed since the start.
func (k *Recorder) Flushed() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.filed
}

// Run files every interval until ctx ends.
func (k *Recorder) Run(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if err := k.Flush(ctx); err != nil && ctx.Err() == nil {
				k.logger.WithError(err).Warnf("settle: filing failed, %d records wait", k.Pending())
			}
		}
	}
}

// Close files what is left, again until ctx ends.
func (k *Recorder) Close(ctx context.Context) error {
	const pause = 200 * time.Millisecond
	for {
		err := k.Flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "settle: %d records are not filed", k.Pending())
		case <-time.After(pause):
		}
	}
}

// Flush files all records that are queued.
func (k *Recorder) Flush(ctx context.Context) error {
	k.filing.Lock()
	defer k.filing.Unlock()
	for {
		more, err := k.freeze()
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
		name := fmt.Sprintf("%s/%06d", k.process, k.number)
		// A conflict means that an earlier try took effect: only this process
		// writes under its name.
		_, err = k.store.Put(ctx, UsageKind, name, 0, k.batch)
		if err != nil && !errors.Is(err, object.ErrConflict) {
			return err
		}
		k.thaw()
	}
}

// freeze makes a batch of the oldest records, unless one waits already. It
// reports false if there is nothing to file.
func (k *Recorder) freeze() (bool, error) {
	if k.batch != nil {
		return true, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.length = min(len(k.records), maxBatch)
	if k.length == 0 {
		return false, nil
	}
	batch, err := json.Marshal(k.records[:k.length])
	if err != nil {
		return false, errors.Wrap(err, "settle: encode")
	}
	k.batch = batch
	return true, nil
}

// thaw drops the records of the batch that is filed.
func (k *Recorder) thaw() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records = append([]Record(nil), k.records[k.length:]...)
	k.filed += int64(k.length)
	k.batch = nil
	k.number++
}
