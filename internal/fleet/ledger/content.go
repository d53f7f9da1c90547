package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
)

// shardJSON is the stored form of a shard: its ledgers by the name of their budget, and
// the last era of the platform in which the content was complete (see recovery).
type shardJSON struct {
	Ledgers map[string]entryJSON `json:"books"`
	Era     int64                `json:"era,omitempty"`
}

// clone returns a copy of the content with a map of its own.
func (c shardJSON) clone() shardJSON { return shardJSON{Ledgers: maps.Clone(c.Ledgers), Era: c.Era} }

// entryJSON is one stored ledger with its version, which starts at 1 and increases by 1
// with each write of this ledger.
type entryJSON struct {
	Version int64           `json:"version"`
	Ledger  json.RawMessage `json:"book"`
}

// change is a pending change of one budget's ledger. The function edit changes the
// ledger l in place. It receives the ledger's stored version, 0 if there is none yet, and
// reports whether l must be written.
type change struct {
	budget string
	edit   func(version int64, l *escrow.Ledger) (bool, error)
	edited bool  // the last run of edit has changed the ledger
	err    error // why the change was not written, nil if it succeeded; set before its batch is done
}

// apply runs c.edit on the budget's ledger in the content of a shard and reports whether
// it has changed the content. It stores the error of the edit in c.err, nil if there is
// none. After an error it leaves the content as it is.
func (c *change) apply(content shardJSON) bool {
	c.edited = false
	e := content.Ledgers[c.budget]
	l := &escrow.Ledger{}
	if e.Version > 0 {
		if c.err = json.Unmarshal(e.Ledger, l); c.err != nil {
			return false
		}
	}
	var changed bool
	if changed, c.err = c.edit(e.Version, l); c.err != nil || !changed {
		return false
	}
	data, err := json.Marshal(l)
	if err != nil {
		c.err = errors.Wrapf(err, "ledger: encode the ledger of budget %s", c.budget)
		return false
	}
	content.Ledgers[c.budget] = entryJSON{Version: e.Version + 1, Ledger: data}
	c.edited = true
	return true
}

// applyAll runs the edits of all changes on the content of a shard and reports whether
// any of them has changed the content.
func applyAll(changes []*change, content shardJSON) bool {
	changed := false
	for _, c := range changes {
		changed = c.apply(content) || changed
	}
	return changed
}

// anyFailed reports whether the edit of any change failed. An edit may fail because the
// cached content that it saw was out of date.
func anyFailed(changes []*change) bool {
	return slices.ContainsFunc(changes, func(c *change) bool { return c.err != nil })
}

// failAll sets err as the result of each change that has no error yet.
func failAll(changes []*change, err error) {
	for _, c := range changes {
		if c.err == nil {
			c.err = err
		}
	}
}
