package roster

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// One odd entry must not hide the others.
func TestOddEntriesAreLeftOut(t *testing.T) {
	const good = `{"name":"entry-1","zone":"ikeja","address":"10.0.0.1:80"}`
	const depth = 100_000
	for name, odd := range map[string]string{
		"nested":            strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"null":              "null",
		"number as name":    `{"name":1e400,"address":"10.0.0.2:80"}`,
		"no name":           `{"address":"10.0.0.2:80"}`,
		"port out of range": `{"name":"a","address":"10.0.0.2:65536"}`,
		"port 0":            `{"name":"a","address":"10.0.0.2:0"}`,
		"leaving as text":   `{"name":"a","address":"10.0.0.2:80","leaving":"yes"}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Write([]byte("[" + odd + "," + good + "]"))
			}))
			defer server.Close()
			entries, err := NewHTTP(server.URL, server.Client()).Read(t.Context())
			if err != nil || len(entries) != 1 || entries[0].Name != "entry-1" {
				t.Errorf("got the entries %v, error %v, want entry-1 only", entries, err)
			}
		})
	}
}
