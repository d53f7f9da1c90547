package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/plat/object"
)

const (
	// ServiceKind is the kind of the platform objects that hold service documents.
	ServiceKind = "service"
	// AccountKind is the kind of the platform objects that hold client accounts.
	AccountKind = "account"
	// BudgetKind is the kind of the platform objects that hold the ledger of one budget
	// each.
	BudgetKind = "budget"
)

// Account is the stored value of a client account.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"` // SHA-256 of each bearer key, in hex
}

// HashKey returns the form in which a client account stores a bearer key: the SHA-256
// hash of the key in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is an immutable copy of the configuration at one moment.
type Snapshot struct {
	services map[string]*spec.Service   // by name
	models   map[string][]*spec.Service // services that have a model, by model; each list in order of service name
	accounts map[string]hashedKey       // accounts of bearer keys, by hash of the key
}

// Service returns the service with the given name, or nil if it does not exist.
func (snap *Snapshot) Service(name string) *spec.Service { return snap.services[name] }

// Services returns all services in order of name.
func (snap *Snapshot) Services() []*spec.Service {
	all := make([]*spec.Service, 0, len(snap.services))
	for _, name := range slices.Sorted(maps.Keys(snap.services)) {
		all = append(all, snap.services[name])
	}
	return all
}

// ServiceForModel returns the service through which an account may call a model. This
// is the first service, in order of name, that has the model and a budget for the
// account. The result s is nil if there is no such service. The result known reports
// whether any service has the model, also without a budget for the account.
func (snap *Snapshot) ServiceForModel(model, account string) (s *spec.Service, known bool) {
	for _, s := range snap.models[model] {
		if len(s.Budgets(account)) > 0 {
			return s, true
		}
	}
	return nil, len(snap.models[model]) > 0
}

// Models returns the sorted names of the models that an account may call, because some
// service has the model and a budget for the account.
func (snap *Snapshot) Models(account string) []string {
	var names []string
	for m := range snap.models {
		if s, _ := snap.ServiceForModel(m, account); s != nil {
			names = append(names, m)
		}
	}
	slices.Sort(names)
	return names
}

// AccountForKey returns the name of the client account that a bearer key belongs to. The
// second result is false if the key belongs to no account. Keys are stored as hashes, so
// the time of the lookup reveals nothing about a key. The final comparison of the hashes
// takes constant time.
func (snap *Snapshot) AccountForKey(key string) (string, bool) {
	hash := HashKey(key)
	found, ok := snap.accounts[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(found.hash), []byte(hash)) != 1 {
		return "", false
	}
	return found.account, true
}

// hashedKey is the hash of a bearer key and the account that the key belongs to.
type hashedKey struct{ hash, account string }

// entry is one object in force, with its parsed value.
type entry struct {
	object  object.Object
	service *spec.Service // nil unless the object is a service document
	account *Account      // nil unless the object is a client account
}

// parse decodes and validates a service document or a client account. It fails for an
// object of any other kind, and for a service document that names a service other than
// the object's name.
func parse(o object.Object) (entry, error) {
	e := entry{object: o}
	switch o.Kind() {
	case ServiceKind:
		s, err := spec.Parse(o.Name(), o.Value(), o.Version())
		if err != nil {
			return e, err
		}
		if s.Name() != o.Name() {
			return e, errors.Newf("config: the document of service %s is stored under the name %s", s.Name(), o.Name())
		}
		e.service = s
	case AccountKind:
		e.account = &Account{}
		if err := json.Unmarshal(o.Value(), e.account); err != nil {
			return e, errors.Wrapf(err, "config: decode account %s", o.Name())
		}
	default:
		return e, errors.Newf("config: object kind %q is neither a service document nor a client account", o.Kind())
	}
	return e, nil
}

// newSnapshot returns a snapshot of the configuration that consists of the given objects.
func newSnapshot(entries map[objectID]entry) *Snapshot {
	snap := &Snapshot{
		services: map[string]*spec.Service{},
		models:   map[string][]*spec.Service{},
		accounts: map[string]hashedKey{},
	}
	for _, e := range entries {
		if e.service != nil {
			snap.services[e.service.Name()] = e.service
		}
		if e.account != nil {
			for _, k := range e.account.Keys {
				snap.accounts[k] = hashedKey{hash: k, account: e.account.Name}
			}
		}
	}
	for _, s := range snap.Services() {
		for _, m := range s.Models() {
			snap.models[m] = append(snap.models[m], s)
		}
	}
	return snap
}
