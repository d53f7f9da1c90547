package object

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponse is the maximum number of bytes that are read of a response of the platform.
// A longer response is cut off there and can't be decoded.
const maxResponse = 256 << 20

// Item is the JSON encoding of an Object in requests to the platform and in responses of
// the platform.
type Item struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"` // in a request to write: the version that the object must still have
	Value   []byte `json:"value"`   // base64 in JSON
}

// List is the JSON encoding of a Page, the platform's response to a watch. Version is the
// version up to which Items is complete.
type List struct {
	Items   []Item `json:"items"`
	Version int64  `json:"version"`
}

// NewHTTP returns a store that calls the platform with client. Base is the platform's base
// URL, such as "http://127.0.0.1:7070".
func NewHTTP(base string, client *http.Client) *Store {
	c := &httpStore{base: base, client: client}
	return &Store{Get: c.get, Put: c.put, Watch: c.watch}
}

// httpStore implements the functions of a Store by HTTP calls to the platform.
type httpStore struct {
	base   string // base URL of the platform
	client *http.Client
}

func (c *httpStore) get(ctx context.Context, kind, name string) (Object, error) {
	var i Item
	if err := c.call(ctx, http.MethodGet, c.path(kind, name), nil, &i); err != nil {
		return Object{}, err
	}
	return New(i.Kind, i.Name, i.Version, i.Value), nil
}

func (c *httpStore) put(ctx context.Context, kind, name string, version int64, value []byte) (int64, error) {
	body, err := json.Marshal(Item{Kind: kind, Name: name, Version: version, Value: value})
	if err != nil {
		return 0, errors.Wrap(err, "object: encode a request to write an object")
	}
	var i Item
	if err := c.call(ctx, http.MethodPut, c.path(kind, name), body, &i); err != nil {
		return 0, err
	}
	return i.Version, nil
}

func (c *httpStore) watch(ctx context.Context, kind string, after int64, wait time.Duration) (Page, error) {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}
	var l List
	if err := c.call(ctx, http.MethodGet, c.base+"/v1/objects/"+url.PathEscape(kind)+"?"+q.Encode(), nil, &l); err != nil {
		return Page{}, err
	}
	objects := make([]Object, len(l.Items))
	for i, it := range l.Items {
		objects[i] = New(it.Kind, it.Name, it.Version, it.Value)
	}
	return NewPage(objects, l.Version), nil
}

// path returns the URL of the object with the given kind and name.
func (c *httpStore) path(kind, name string) string {
	return c.base + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call sends a request to the URL target, with body unless that is nil, and decodes the
// JSON response into result. It returns ErrUnknownOutcome if no valid response arrives,
// and the error of statusError for a status other than 200.
func (c *httpStore) call(ctx context.Context, method, target string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "object: create a request to the platform")
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "object: no answer from the platform"), ErrUnknownOutcome)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "object: read a response of the platform"), ErrUnknownOutcome)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Mark(errors.Wrap(err, "object: decode a response of the platform"), ErrUnknownOutcome)
	}
	return nil
}

// statusError returns the error that the HTTP status of a response of the platform stands
// for: nil for 200, ErrNotFound for 404, ErrConflict for 409, ErrRefused for 413, 429 and
// 503, and ErrUnknownOutcome for any other status.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return errors.Wrapf(ErrRefused, "object: the platform returned status %d", status)
	default:
		return errors.Wrapf(ErrUnknownOutcome, "object: the platform returned status %d", status)
	}
}
