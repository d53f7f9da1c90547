package trial

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"jacinthladder.dev/internal/tools/load"
)

// quiet logs nothing.
var quiet = &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}

// startFleet starts a small fleet and ends it with the test.
func startFleet(t *testing.T, edit func(*Config)) *Fleet {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := Default(quiet)
	c.Engine.Step = time.Millisecond
	c.Lead = 50 * time.Millisecond
	if edit != nil {
		edit(&c)
	}
	f, err := Start(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func TestRunHoldsAllInvariants(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := Default(quiet)
	c.Engine.Step = time.Millisecond
	l := DefaultLoad()
	l.Count, l.Rate = 600, 0
	var report bytes.Buffer
	if err := Run(context.Background(), c, l, &report); err != nil {
		t.Fatalf("%v\n%s", err, report.String())
	}
}

// shortLoad returns a load for tests with faults.
func shortLoad() load.Config {
	l := DefaultLoad()
	l.Count, l.Rate, l.Workers = 600, 0, 32
	return l
}
