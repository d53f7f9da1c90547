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

// discardLogger drops all log entries.
var discardLogger = &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}

// startFleet starts a fleet with the default configuration, changed by edit unless edit
// is nil. At the end of the test it closes the fleet and checks that no goroutine is
// left.
func startFleet(t *testing.T, edit func(*Config)) *Fleet {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	c := DefaultConfig(discardLogger)
	c.Engine.TokenInterval = time.Millisecond
	c.LeaveDelay = 50 * time.Millisecond
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
	c := DefaultConfig(discardLogger)
	c.Engine.TokenInterval = time.Millisecond
	l := DefaultLoad()
	l.Count, l.Rate = 600, 0
	var report bytes.Buffer
	if err := Run(context.Background(), c, l, &report); err != nil {
		t.Fatalf("Run of a trial with 600 requests: got error %v, want none; report:\n%s", err, report.String())
	}
}

// faultLoad returns a load of 600 requests without a rate limit, for tests that inject
// faults while the load runs.
func faultLoad() load.Config {
	l := DefaultLoad()
	l.Count, l.Rate, l.Workers = 600, 0, 32
	return l
}
