package poison

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRecords is the largest number of traits that have a record, maxPerAccount that of the
	// traits that the requests of one account brought in, and maxCrashes that of the crashes in
	// each record.
	maxRecords    = 4096
	maxPerAccount = maxRecords / 8
	maxCrashes    = 32
)

// recordOf returns the record of a trait, and adds one for an account if there is none. Another
// record makes room if there are too many: one of the same account if that has too many, and
// otherwise one of the account that has most. The caller holds t.mu.
func (t *Tracker) recordOf(trait, account string) *record {
	if r := t.records[trait]; r != nil {
		return r
	}
	if t.records == nil {
		t.records, t.perAccount = map[string]*record{}, map[string]int{}
	}
	if t.perAccount[account] >= maxPerAccount {
		t.evict(account)
	} else if len(t.records) >= maxRecords {
		t.evict(t.largestAccount())
	}
	random := t.Random
	if random == nil {
		random = rand.Float64
	}
	r := &record{account: account, crashes: map[uint64]crash{}, jitter: random()}
	t.records[trait] = r
	t.perAccount[account]++
	t.size.Store(int64(len(t.records)))
	return r
}

// remove forgets the record of a trait. The caller holds t.mu.
func (t *Tracker) remove(trait string) {
	r := t.records[trait]
	delete(t.records, trait)
	if t.perAccount[r.account]--; t.perAccount[r.account] == 0 {
		delete(t.perAccount, r.account)
	}
	t.size.Store(int64(len(t.records)))
	if r.blocked && t.Released != nil {
		t.Released(trait)
	}
}

// largestAccount returns the account that has most records. The caller holds t.mu.
func (t *Tracker) largestAccount() string {
	var account string
	for a, n := range t.perAccount {
		if n > t.perAccount[account] {
			account = a
		}
	}
	return account
}

// evict forgets the record of an account that matters least. The caller holds t.mu.
func (t *Tracker) evict(account string) {
	var least string
	for trait, r := range t.records {
		if r.account == account && (least == "" || r.mattersLessThan(t.records[least])) {
			least = trait
		}
	}
	if least != "" {
		t.remove(least)
	}
}

// mattersLessThan reports whether a record is to be forgotten before another one: one that
// blocks nothing, then one with fewer crashes, and then one without news for longer.
func (r *record) mattersLessThan(other *record) bool {
	switch {
	case r.blocked != other.blocked:
		return !r.blocked
	case len(r.crashes) != len(other.crashes):
		return len(r.crashes) < len(other.crashes)
	default:
		return r.newsAt().Before(other.newsAt())
	}
}

// newsAt returns when a crash or a request with the trait last came.
func (r *record) newsAt() time.Time {
	at := r.askedAt
	for _, c := range r.crashes {
		if c.at.After(at) {
			at = c.at
		}
	}
	return at
}
