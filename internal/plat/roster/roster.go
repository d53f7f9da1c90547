package roster

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/plat/scan"
)

// Entry describes one instance or endpoint in the platform's instance list.
type Entry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // IP address and port; for an instance, those for calls from peers
	Leaving bool   `json:"leaving"` // whether the instance or endpoint has announced that it will stop
}

// Source supplies the platform's instance list. Its only field is a function, so that a
// fake can replace it.
type Source struct {
	// Read returns the entries of the instance list as the platform has it now, without those
	// that can't be decoded or name no instance.
	Read func(ctx context.Context) ([]Entry, error)
}

// NewHTTP returns a source that reads the instance list from the platform with client.
// Base is the platform's base URL, such as "http://127.0.0.1:7070".
func NewHTTP(base string, client *http.Client) *Source {
	return &Source{Read: func(ctx context.Context) ([]Entry, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/instances", nil)
		if err != nil {
			return nil, errors.Wrap(err, "roster: create a request for the instance list")
		}
		resp, err := client.Do(r)
		if err != nil {
			return nil, errors.Wrap(err, "roster: read the instance list")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return nil, errors.Newf("roster: the platform returned status %d for the instance list", resp.StatusCode)
		}
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
		if err != nil {
			return nil, errors.Wrap(err, "roster: read the instance list")
		}
		return decode(data)
	}}
}

// maxListBytes is the size of the longest instance list that is read, in bytes. A longer
// one is cut off and can't be decoded.
const maxListBytes = 64 << 20

// decode decodes an instance list. It leaves out entries that can't be decoded, have no name or
// an address that is not an IP address and port. An endpoint's entry may have none.
func decode(data []byte) ([]Entry, error) {
	items, err := scan.Items(data)
	if err != nil {
		return nil, errors.Wrap(err, "roster: decode the instance list")
	}
	var entries []Entry
	for _, item := range items {
		var e Entry
		if err := json.Unmarshal(item, &e); err != nil || e.Name == "" {
			continue // another writer's
		}
		if a, err := netip.ParseAddrPort(e.Address); e.Address != "" && (err != nil || a.Port() == 0) {
			continue
		}
		entries = append(entries, e)
	}
	return entries, nil
}
