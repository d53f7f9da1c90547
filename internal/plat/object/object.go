package object

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object: the object does not exist")
	// ErrConflict means that the object has another version; nothing was written.
	ErrConflict = errors.New("object: version conflict")
	// ErrRefused means that the platform did not execute the call: it is down, or
	// its rate limit is reached. Nothing was written.
	ErrRefused = errors.New("object: refused by the platform")
	// ErrUnknownOutcome means that no valid response arrived. A write may have
	// taken effect.
	ErrUnknownOutcome = errors.New("object: no answer from the platform")
	// ErrExpired means that the platform no longer has the history since the given
	// version. The caller must list the objects again.
	ErrExpired = errors.New("object: the history to watch from is gone")
)

// Object is one stored value.
type Object struct {
	kind    string
	name    string
	value   []byte
	version int64
	deleted bool
}

// New returns an object with the given version and value.
func New(kind, name string, version int64, value []byte) Object {
	return Object{kind: kind, name: name, version: version, value: value}
}

// Tombstone returns an object that stands for a deletion at the given version.
func Tombstone(kind, name string, version int64) Object {
	return Object{kind: kind, name: name, version: version, deleted: true}
}

// Deleted reports whether the object was deleted at its version.
func (o Object) Deleted() bool { return o.deleted }

// Kind returns the object's kind.
func (o Object) Kind() string { return o.kind }

// Name returns the name, unique within the kind.
func (o Object) Name() string { return o.name }

// Version returns the version, which increases with every write.
func (o Object) Version() int64 { return o.version }

// Value returns the stored bytes. The caller must not change them.
func (o Object) Value() []byte { return o.value }

// Page is a list of objects and the version up to which the list is complete.
type Page struct {
	objects []Object
	version int64
}

// NewPage returns a page that is complete up to version.
func NewPage(objects []Object, version int64) Page {
	return Page{objects: objects, version: version}
}

// Objects returns the objects of the page.
func (p Page) Objects() []Object { return p.objects }

// Version returns the version from which to continue watching.
func (p Page) Version() int64 { return p.version }

// Store is the set of functions of the Object API. Every function may also fail
// with ErrRefused or ErrUnknownOutcome.
type Store struct {
	// Get returns one object, or ErrNotFound.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if its current version equals version, or, for version
	// 0, if the object does not exist. It returns the new version or ErrConflict.
	Put func(ctx context.Context, kind, name string, version int64, value []byte) (int64, error)
	// Watch waits up to wait for objects of a kind with a version above after. A
	// wait of 0 returns immediately. Platforms with a bounded history may fail
	// with ErrExpired; they return a Tombstone for each deleted object.
	Watch func(ctx context.Context, kind string, after int64, wait time.Duration) (Page, error)
}
