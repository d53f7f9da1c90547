package health

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestFailureIsNotTakenForAReportOfNoLoad(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, `{"error":{"code":"failed"}}`)
	}))
	t.Cleanup(engine.Close)
	if report, err := fetchReport(t.Context(), engine.Client(), engine.URL); err == nil {
		t.Errorf("fetchReport returned %+v for a response with status 500, want an error", report)
	}
}
