package picker

import (
	"container/list"

	"jacinthladder.dev/internal/forward/meta"
)

// parts remembers which parts of prompts an engine has read of late, as far as
// its memory goes. The least recently used yield.
type parts struct {
	held  int64 // tokens
	byID  map[string]*list.Element
	order *list.List // of meta.Part, the most recent in front
}

func newParts() *parts {
	return &parts{byID: map[string]*list.Element{}, order: list.New()}
}

// cached returns how many tokens of a prompt the engine has from its beginning.
func (p *parts) cached(prompt []meta.Part) int64 {
	var sum int64
	for _, part := range prompt {
		if p.byID[part.ID] == nil {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// read notes that the engine has read a prompt, and has memory for most tokens.
func (p *parts) read(prompt []meta.Part, most int64) {
	for _, part := range prompt {
		if e := p.byID[part.ID]; e != nil {
			p.order.MoveToFront(e)
			continue
		}
		p.byID[part.ID] = p.order.PushFront(part)
		p.held += part.Tokens
	}
	for p.held > most && p.order.Len() > 0 {
		last := p.order.Back()
		part := last.Value.(meta.Part)
		p.order.Remove(last)
		delete(p.byID, part.ID)
		p.held -= part.Tokens
	}
}
