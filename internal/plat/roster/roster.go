package roster

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Entry describes one instance or endpoint in the platform's list.
type Entry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Source is the instance list, as a function that a fake can replace.
type Source struct {
	// Read returns the platform's current list.
	Read func(ctx context.Context) ([]Entry, error)
}

// NewHTTP returns a source that reads the list from the platform at a base URL.
func NewHTTP(base string, client *http.Client) *Source {
	return &Source{Read: func(ctx context.Context) ([]Entry, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/instances", nil)
		if err != nil {
			return nil, errors.Wrap(err, "roster: create the request")
		}
		resp, err := client.Do(r)
		if err != nil {
			return nil, errors.Wrap(err, "roster: read the instance list")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return nil, errors.Newf("roster: the platform returned status %d for the instance list", resp.StatusCode)
		}
		var entries []Entry
		if err := json.NewDecoder(resp.Body).Decode(&entries); err != nil {
			return nil, errors.Wrap(err, "roster: decode the instance list")
		}
		return entries, nil
	}}
}
