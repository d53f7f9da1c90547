package roster

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Entry is one instance or endpoint as the platform lists it.
type Entry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Source is an instance list as a function.
type Source struct {
	// Read returns the list as the platform shows it now.
	Read func(ctx context.Context) ([]Entry, error)
}

// NewHTTP returns the list at a platform's base address.
func NewHTTP(base string, client *http.Client) *Source {
	return &Source{Read: func(ctx context.Context) ([]Entry, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/instances", nil)
		if err != nil {
			return nil, errors.Wrap(err, "roster")
		}
		resp, err := client.Do(r)
		if err != nil {
			return nil, errors.Wrap(err, "roster")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return nil, errors.Newf("roster: status %d", resp.StatusCode)
		}
		var entries []Entry
		if err := json.NewDecoder(resp.Body).Decode(&entries); err != nil {
			return nil, errors.Wrap(err, "roster")
		}
		return entries, nil
	}}
}
