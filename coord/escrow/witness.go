package escrow

import (
	"sync"

	"github.com/cockroachdb/errors"
)

var (
	// ErrSealed means that the share was sealed at a witness, or was ended in the
	// ledger by a seal or an operator. Its marks can't be raised, and it draws no
	// more.
	ErrSealed = errors.New("escrow: share is sealed")
	// ErrUnknownShare means that the witness, ledger or holder has no record of
	// the share.
	ErrUnknownShare = errors.New("escrow: share is not known")
)

// Witness records in this process the marks of peers' shares, which are upper
// bounds of the shares' outflow. The records end with the process: a share
// names its witnesses by process IDs, which no later process reuses. The zero
// value is ready to use.
type Witness struct {
	mu    sync.Mutex
	marks map[string]markState // by share ID
}

// markState is the highest mark of a share at a witness, in micro-units, and
// whether the share is sealed there.
type markState struct {
	limit  int64
	sealed bool
}

// Raise records that the outflow of share id may reach limit, in micro-units. A
// limit below the recorded one changes nothing. For a sealed share Raise
// records nothing and returns ErrSealed.
func (w *Witness) Raise(id string, limit int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.marks == nil {
		w.marks = map[string]markState{}
	}
	m := w.marks[id]
	if m.sealed {
		return ErrSealed
	}
	w.marks[id] = markState{limit: max(m.limit, limit)}
	return nil
}

// Seal makes the witness refuse all further marks of share id, and returns the
// highest recorded mark in micro-units. It returns ErrUnknownShare for a share
// without a mark, for which the witness knows no bound.
func (w *Witness) Seal(id string) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.marks[id]
	if !ok {
		return 0, ErrUnknownShare
	}
	w.marks[id] = markState{limit: m.limit, sealed: true}
	return m.limit, nil
}

// Forget removes the record of share id, whose holder has closed it.
func (w *Witness) Forget(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.marks, id)
}

// Len returns the number of shares whose marks the witness has recorded.
func (w *Witness) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.marks)
}
