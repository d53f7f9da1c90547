package memory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// script runs the commands of a file in testdata. Reservations have names.
type script struct {
	bound    *Bound
	now      time.Duration
	reserved map[string]*Reservation
	ended    []string // names of the reservations that were ended since the last command
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.ended = nil
	result := "ok"
	switch name := arg(d, "name"); d.Cmd {
	case "bound":
		var kilobytes, files int
		d.ScanArgs(t, "kilobytes", &kilobytes)
		d.ScanArgs(t, "files", &files)
		s.bound, s.reserved = NewBound(int64(kilobytes)<<10, files), map[string]*Reservation{}
		s.bound.now = func() time.Duration { return s.now }
	case "open":
		closes := d.HasArg("closes")
		h, ok := s.bound.Open(s.bytes(t, d), 1, func() bool { return s.end(name, closes) })
		if !ok {
			return "no room" + s.endings()
		}
		s.reserved[name] = h
	case "grow":
		if !s.reserved[name].Grow(s.bytes(t, d)) {
			result = "no room"
		}
	case "shrink":
		s.reserved[name].Shrink(s.bytes(t, d))
	case "wait":
		s.reserved[name].Wait()
	case "run":
		s.reserved[name].Run()
	case "close":
		s.reserved[name].Close()
	case "pass":
		var milliseconds int
		d.ScanArgs(t, "ms", &milliseconds)
		s.now += time.Duration(milliseconds) * time.Millisecond
	default:
		d.Fatalf(t, "unknown command")
	}
	return fmt.Sprintf("%s, %d KB%s", result, s.bound.Held()>>10, s.endings())
}

// end ends a reservation, and closes it at once if closes is set.
func (s *script) end(name string, closes bool) bool {
	s.ended = append(s.ended, name)
	if closes {
		s.reserved[name].Close()
	}
	return true
}

func (s *script) endings() string {
	if len(s.ended) == 0 {
		return ""
	}
	return ", ended " + strings.Join(s.ended, " ")
}

func (s *script) bytes(t *testing.T, d *datadriven.TestData) int64 {
	var kilobytes int
	d.ScanArgs(t, "kilobytes", &kilobytes)
	return int64(kilobytes) << 10
}

// arg returns an argument of a command, empty if it has none of that name.
func arg(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return a.Vals[0]
		}
	}
	return ""
}

func TestBound(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: 1}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

// Whatever is opened, grown and closed, the reservations never take more than the bound, and nothing is left of closed ones.
func TestReservationsStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, files = 8 << 20, 20
		b := NewBound(limit, files)
		var reserved []*Reservation
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			size := rapid.Int64Range(0, 4<<20).Draw(t, "size")
			if len(reserved) == 0 || rapid.Bool().Draw(t, "opens") {
				if h, ok := b.Open(size, 1, nil); ok {
					reserved = append(reserved, h)
				}
			} else {
				h := reserved[rapid.IntRange(0, len(reserved)-1).Draw(t, "which")]
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					h.Grow(size)
				case 1:
					h.Shrink(size)
				case 2:
					h.ShrinkTo(size)
				case 3:
					h.Close()
				}
			}
			var sum, large int64
			for h := range b.reservations {
				sum += h.bytes
				large += h.largeBytes(h.bytes)
			}
			if b.held != sum || b.held > limit || b.open > files || b.large != large || float64(large) > largeShare*limit {
				t.Fatalf("the reservations take %d bytes, %d of large ones, and %d files; the bound says %d, %d, of %d bytes and %d files", sum, large, len(b.reservations), b.held, b.large, limit, files)
			}
		}
		for _, h := range reserved {
			h.Close()
		}
		if b.held != 0 || b.open != 0 || b.large != 0 {
			t.Fatalf("after all reservations were closed, the bound has %d bytes, %d of large ones, and %d files, want none", b.held, b.large, b.open)
		}
	})
}

// A newcomer gets the room of a reservation that is ended, as soon as that is closed.
func TestNewcomerWaitsForTheRoomOfEndedReservations(t *testing.T) {
	b := NewBound(1<<20, 10)
	passed := time.Duration(1)
	b.now = func() time.Duration { return passed }
	var first *Reservation
	first, _ = b.Open(250<<10, 1, func() bool {
		time.AfterFunc(20*time.Millisecond, first.Close)
		return true
	})
	first.Wait()
	second, _ := b.Open(700<<10, 1, nil)
	b.Open(60<<10, 1, nil)
	passed += time.Second
	if !second.Grow(60 << 10) {
		t.Error("there was no room for a reservation after another one was ended for it, want room")
	}
}

func TestReadAll(t *testing.T) {
	text := strings.Repeat("x", 100_000)
	for _, c := range []struct {
		name          string
		length, limit int64
		bound         int64
		err           error
	}{
		{"known length", 100_000, 100_000, 1 << 20, nil},
		{"unknown length", -1, 100_000, 1 << 20, nil},
		{"known length over the limit", 100_000, 99_999, 1 << 20, ErrTooLarge},
		{"unknown length over the limit", -1, 99_999, 1 << 20, ErrTooLarge},
		{"known length without room", 100_000, 100_000, 99_999, ErrNoRoom},
		{"unknown length without room", -1, 100_000, 99_999, ErrNoRoom},
		{"known length, too few bytes", 100_001, 200_000, 1 << 20, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBound(c.bound, 1)
			h, _ := b.Open(0, 1, nil)
			got, err := ReadAll(strings.NewReader(text), From(With(context.Background(), h)), c.length, c.limit)
			if !errors.Is(err, c.err) || err == nil && !bytes.Equal(got, []byte(text)) {
				t.Errorf("got %d bytes and error %v, want error %v", len(got), err, c.err)
			}
			if err != nil && b.Held() != 0 {
				t.Errorf("after an error %d bytes are held, want none", b.Held())
			}
			if err == nil && b.Held() < int64(len(got)) {
				t.Errorf("%d bytes are held for %d bytes that were read", b.Held(), len(got))
			}
		})
	}
}
