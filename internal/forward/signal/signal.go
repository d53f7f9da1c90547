// Package signal tells waiting goroutines that something has changed.
package signal

import "sync"

// Signal is raised at each change of what it stands for. The zero value is ready to use.
type Signal struct {
	mu     sync.Mutex
	raised chan struct{} // closed at the next Raise, nil if nobody waits
}

// Raise closes the channels that Changed has returned so far.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raised != nil {
		close(s.raised)
		s.raised = nil
	}
}

// Changed returns a channel that is closed at the next Raise.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raised == nil {
		s.raised = make(chan struct{})
	}
	return s.raised
}
