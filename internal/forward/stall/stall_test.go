package stall

import (
	"testing"
	"time"
)

func TestStallIsKnownBeforeTheNextBeat(t *testing.T) {
	var d Detector
	start := time.Now()
	if at := d.EndedAt(start); !at.IsZero() {
		t.Errorf("before the first beat: a stall ended at %v, want none", at)
	}
	d.beat(start)
	late := start.Add(minStall - time.Millisecond)
	if d.beat(late) || !d.EndedAt(late).IsZero() {
		t.Error("a late beat counts as a stall")
	}
	end := late.Add(minStall)
	if at := d.EndedAt(end); !at.Equal(end) {
		t.Errorf("after a stall: got the end %v, want %v", at, end)
	}
	if !d.beat(end.Add(time.Millisecond)) {
		t.Error("the beat after a stall does not report it")
	}
	if at, later := d.EndedAt(end.Add(minStall/2)), end.Add(time.Millisecond); !at.Equal(later) {
		t.Errorf("some time later: got the end %v, want %v", at, later)
	}
}
