package escrow

import (
	"sync"

	"github.com/cockroachdb/errors"
)

var (
	// ErrSealed means that the share was won back: it may raise no mark.
	ErrSealed = errors.New("escrow: share is sealed")
	// ErrUnknownShare means that a witness never heard of a share.
	ErrUnknownShare = errors.New("escrow: share is not known")
)

// Witness remembers for peers how far the outflow of their shares may go. A
// Witness lives and dies with its process: a share names it by a process ID
// that no later process has. The zero value is ready.
type Witness struct {
	mu    sync.Mutex
	marks map[string]markState
}

type markState struct {
	limit  int64
	sealed bool
}

// Raise records that the outflow of share id may reach limit. A limit below an
// earlier one changes nothing. A sealed share gets ErrSealed.
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

// Seal refuses all further marks of share id and returns the highest one that
// was recorded. A witness that never heard of the share returns
// ErrUnknownShare: it can vouch for nothing.
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

// Forget drops share id, which its holder has closed.
func (w *Witness) Forget(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.marks, id)
}

// Len returns the number of shares that are remembered.
func (w *Witness) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.marks)
}
