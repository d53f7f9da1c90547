package object

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotFound means that the platform has no object of the given kind and name.
	ErrNotFound = errors.New("object: the object does not exist")
	// ErrConflict means that the stored object does not have the version on which the write
	// is conditional. Nothing was written.
	ErrConflict = errors.New("object: the stored version differs from the expected one")
	// ErrRefused means that the platform did not execute the call: it is down, its rate
	// limit is reached, or the request is too large. Nothing was written.
	ErrRefused = errors.New("object: the platform refused the call")
	// ErrUnknownOutcome means that no valid response to a call arrived. If the call was
	// a write, it may have taken effect.
	ErrUnknownOutcome = errors.New("object: no valid answer from the platform, the outcome of the call is unknown")
	// ErrExpired means that the platform no longer has the history of changes since the
	// version that a watch starts from. The caller must list the objects again, with a
	// watch from version 0.
	ErrExpired = errors.New("object: the platform no longer has the history that the watch needs")
)

// Object is one value stored on the platform with its kind, name and version, or the record
// that such a value was deleted.
type Object struct {
	kind    string
	name    string
	value   []byte
	version int64
	deleted bool
}

// New returns an object that is not deleted. It does not write the object to the platform.
func New(kind, name string, version int64, value []byte) Object {
	return Object{kind: kind, name: name, version: version, value: value}
}

// Tombstone returns an object without a value. It says that the object of this kind and
// name was deleted at the given version.
func Tombstone(kind, name string, version int64) Object {
	return Object{kind: kind, name: name, version: version, deleted: true}
}

// Deleted reports whether the object was deleted at its version.
func (o Object) Deleted() bool { return o.deleted }

// Kind returns the object's kind, such as "service" or "budget".
func (o Object) Kind() string { return o.kind }

// Name returns the object's name, which is unique within its kind.
func (o Object) Name() string { return o.name }

// Version returns the version at which the object was written or deleted. Later writes of
// any object have higher versions, also after the platform came back from an older copy of
// its content (see VersionIn). So no version is given out twice.
func (o Object) Version() int64 { return o.version }

// Value returns the stored bytes, nil for a deleted object. The caller must not change
// them.
func (o Object) Value() []byte { return o.value }

// Page is the result of a watch: a list of objects and the version up to which the list
// is complete.
type Page struct {
	objects []Object
	version int64
}

// NewPage returns a page whose list of objects is complete up to the given version.
func NewPage(objects []Object, version int64) Page {
	return Page{objects: objects, version: version}
}

// Objects returns the objects of the page.
func (p Page) Objects() []Object { return p.objects }

// Version returns the version up to which the page is complete. The next watch starts after
// this version.
func (p Page) Version() int64 { return p.version }

// Store is the set of functions of the platform's Object API. Besides the errors named
// below, every function may fail with ErrRefused or ErrUnknownOutcome.
type Store struct {
	// Get returns the object of the given kind and name. It fails with ErrNotFound if
	// there is none.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if the stored object has the given version. With version 0 it
	// creates the object if none of this kind and name is stored. It returns the new
	// version, or fails with ErrConflict if the condition does not hold.
	Put func(ctx context.Context, kind, name string, version int64, value []byte) (int64, error)
	// Watch returns the objects of a kind with a version above after; with 0 it returns all
	// objects of the kind. If there are none, it waits for a new version of any object of
	// the kind, at most for wait. If none arrives, it returns an empty page. With a wait of
	// 0 it returns immediately. On a platform with a bounded history, Watch may
	// fail with ErrExpired, and it returns a Tombstone for each deleted object.
	Watch func(ctx context.Context, kind string, after int64, wait time.Duration) (Page, error)
	// Era returns the platform's era as its responses have shown it, and whether they have
	// shown one. The era rises when the platform comes back from an older copy of its
	// content, and is a part of every version (see VersionIn). If Era is nil, the platform
	// loses nothing that it has acknowledged.
	Era func() (era int64, stated bool)
}
