package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxNotes is the largest number of notes in one message to a peer.
	maxNotes = 128
	// maxSingles is the largest number of notes in one message on requests that a single
	// endpoint has broken off. Most of them are bystanders of a crash, as many as were open.
	maxSingles = 16
	// newsTTL is how long news of a trait that is not blocked is told to peers.
	newsTTL = 15 * time.Second
)

// Note is what an instance tells its peers of one trait.
type Note struct {
	Trait   string
	Rank    int
	Account string // whose request brought the trait in
	Crashes []CrashNote
	Trials  int
	// Times are given as ages, and are negative if there is none.
	SoundAge, AskedAge, TrialAge time.Duration
}

// CrashNote is a crash in a Note. Key identifies the start of the endpoint.
type CrashNote struct {
	Key          uint64
	Age          time.Duration
	Begun, Alive bool
}

// none is the age of a time that is not set.
const none = -time.Second

// ageOf returns the age of a time, or none.
func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return none
	}
	return max(now.Sub(at), 0)
}

// timeOf returns the time of an age, zero for none.
func timeOf(age time.Duration, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// Notes returns what peers should know: of the traits that are blocked or have news. If there
// are too many, it leaves out those with the fewest crashes, and of these the oldest news. Of
// requests that a single endpoint has broken off it has only a few.
func (t *Tracker) Notes(now time.Time) []Note {
	if t == nil || t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	notes := make([]Note, 0, len(t.records))
	for trait, r := range t.records {
		n := Note{
			Trait: trait, Rank: r.rank, Account: r.account, Trials: r.trials,
			SoundAge: ageOf(r.soundAt, now), AskedAge: ageOf(r.askedAt, now), TrialAge: ageOf(r.trialAt, now),
		}
		for key, c := range r.crashes {
			n.Crashes = append(n.Crashes, CrashNote{Key: key, Age: ageOf(c.at, now), Begun: c.begun, Alive: c.alive})
		}
		if r.blocked || n.newest() < newsTTL {
			notes = append(notes, n)
		}
	}
	slices.SortFunc(notes, func(a, b Note) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.newest(), b.newest()))
	})
	singles := 0
	notes = slices.DeleteFunc(notes, func(n Note) bool {
		if !n.single() {
			return false
		}
		singles++
		return singles > maxSingles
	})
	return notes[:min(len(notes), maxNotes)]
}

// single reports whether the note is on a whole request that at most one endpoint has broken
// off.
func (n Note) single() bool { return len(n.Crashes) <= 1 && Trait{name: n.Trait}.Same() }

// newest returns the age of the latest news in the note.
func (n Note) newest() time.Duration {
	age := evidenceTTL
	for _, c := range n.Crashes {
		age = min(age, c.Age)
	}
	if n.SoundAge >= 0 {
		age = min(age, n.SoundAge)
	}
	return age
}

// Merge adds what a peer has seen.
func (t *Tracker) Merge(notes []Note, now time.Time) {
	if t == nil || len(notes) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, n := range notes[:min(len(notes), maxNotes)] {
		news = t.mergeNote(n, now) || news
	}
	if news {
		t.notify()
	}
}

// mergeNote adds one note, and reports whether it had news. The caller holds t.mu.
func (t *Tracker) mergeNote(n Note, now time.Time) bool {
	r := t.records[n.Trait]
	if r == nil && len(n.Crashes) > 0 {
		r = t.recordOf(n.Trait, n.Account)
	}
	if r == nil {
		return false
	}
	news := t.clear(r, timeOf(n.SoundAge, now))
	for _, c := range n.Crashes {
		news = t.add(r, c.Key, crash{at: timeOf(max(c.Age, 0), now), begun: c.Begun, alive: c.Alive}) || news
	}
	r.rank = max(r.rank, n.Rank)
	if at := timeOf(n.AskedAge, now); at.After(r.askedAt) {
		r.askedAt = at
	}
	if n.Trials > r.trials && len(r.crashes) > 0 {
		r.trials, r.trialAt = n.Trials, timeOf(n.TrialAge, now)
		news = true
	}
	return news
}
