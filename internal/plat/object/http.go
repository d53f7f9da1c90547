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

// maxAnswer bounds an answer of the platform in bytes.
const maxAnswer = 256 << 20

// Item is an object as the platform writes it on the wire.
type Item struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// List is a page as the platform writes it on the wire.
type List struct {
	Items   []Item `json:"items"`
	Version int64  `json:"version"`
}

// NewHTTP returns the store at a base address such as "http://127.0.0.1:7070".
func NewHTTP(base string, client *http.Client) *Store {
	c := &caller{base: base, client: client}
	return &Store{Get: c.get, Put: c.put, Watch: c.watch}
}

type caller struct {
	base   string
	client *http.Client
}

func (c *caller) get(ctx context.Context, kind, name string) (Object, error) {
	var i Item
	if err := c.call(ctx, http.MethodGet, c.path(kind, name), nil, &i); err != nil {
		return Object{}, err
	}
	return New(i.Kind, i.Name, i.Version, i.Value), nil
}

func (c *caller) put(ctx context.Context, kind, name string, version int64, value []byte) (int64, error) {
	body, err := json.Marshal(Item{Kind: kind, Name: name, Version: version, Value: value})
	if err != nil {
		return 0, errors.Wrap(err, "object: encode")
	}
	var i Item
	if err := c.call(ctx, http.MethodPut, c.path(kind, name), body, &i); err != nil {
		return 0, err
	}
	return i.Version, nil
}

func (c *caller) watch(ctx context.Context, kind string, after int64, wait time.Duration) (Page, error) {
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

func (c *caller) path(kind, name string) string {
	return c.base + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *caller) call(ctx context.Context, method, target string, body []byte, answer any) error {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "object: request")
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "no answer from the platform"), ErrUnknownOutcome)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "object"), ErrUnknownOutcome)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Mark(errors.Wrap(err, "object: decode"), ErrUnknownOutcome)
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return errors.Wrapf(ErrRefused, "status %d", status)
	default:
		return errors.Wrapf(ErrUnknownOutcome, "status %d", status)
	}
}
