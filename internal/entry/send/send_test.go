package send

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/stand/canned"
)

func TestStreamCutInsideItsLastEventIsBroken(t *testing.T) {
	const first = "id: 0\ndata: {\"id\":\"run-1\",\"choices\":[]}\n\n"
	const last = "id: 1\ndata: {\"id\":\"run-1\",\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
	for cut := range len(last) {
		engine := "http://" + canned.Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+first+last[:cut])
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, engine, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		s := &Stream{id: "run-1", body: resp.Body, ctx: t.Context(), cancel: func(error) {}, watchdog: newWatchdog(time.Minute, func(error) {})}
		var events int
		var failed error
		for chunk, err := range s.Chunks() {
			failed = err
			if err == nil {
				events++
			}
			if chunk.Last {
				t.Errorf("a stream cut after %d of %d bytes of its last event ended as complete", cut, len(last))
			}
		}
		if events != 1 || !errors.Is(failed, ErrBroken) {
			t.Errorf("a stream cut after %d bytes of its last event: got %d events and error %v, want 1 event and ErrBroken", cut, events, failed)
		}
		s.Close()
	}
}

func TestFailedCancelIsNotTakenForAUsageOfZero(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, `{"error":{"code":"failed"}}`)
	}))
	t.Cleanup(engine.Close)
	s := NewSender()
	t.Cleanup(s.Close)
	if usage, err := s.Cancel(t.Context(), engine.URL, "run-1"); !errors.Is(err, ErrBroken) {
		t.Errorf("Cancel returned usage %+v and error %v, want %+v and ErrBroken", usage, err, price.Usage{})
	}
}
