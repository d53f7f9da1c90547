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
	// ServiceKind is the kind of service documents on the platform.
	ServiceKind = "service"
	// AccountKind is the kind of client accounts.
	AccountKind = "account"
	// BudgetKind is the kind of budgets.
	BudgetKind = "budget"
)

// Account is a client account as the platform keeps it.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"` // SHA-256 of each bearer key, in hex
}

// HashKey returns the form in which bearer keys are kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is the configuration at one moment. It does not change.
type Snapshot struct {
	services map[string]*spec.Service
	models   map[string][]*spec.Service // by model, in order of service name
	accounts map[string]bearer          // by hashed key
}

// Service returns a service, nil if there is none.
func (v *Snapshot) Service(name string) *spec.Service { return v.services[name] }

// Services returns all services in order of name.
func (v *Snapshot) Services() []*spec.Service {
	all := make([]*spec.Service, 0, len(v.services))
	for _, name := range slices.Sorted(maps.Keys(v.services)) {
		all = append(all, v.services[name])
	}
	return all
}

// ServiceForModel returns the service through which an account may call a model: the
// first that has a budget for it. It is nil if there is none; known reports
// whether any service has the model.
func (v *Snapshot) ServiceForModel(model, account string) (s *spec.Service, known bool) {
	for _, s := range v.models[model] {
		if len(s.Budgets(account)) > 0 {
			return s, true
		}
	}
	return nil, len(v.models[model]) > 0
}

// Models returns the models that an account may call, sorted.
func (v *Snapshot) Models(account string) []string {
	var names []string
	for m := range v.models {
		if s, _ := v.ServiceForModel(m, account); s != nil {
			names = append(names, m)
		}
	}
	slices.Sort(names)
	return names
}

// AccountForKey returns the client account that a bearer key belongs to. Keys are
// kept as hashes: the time of the look-up tells nothing of a key, and the last
// comparison is in constant time.
func (v *Snapshot) AccountForKey(key string) (string, bool) {
	hash := HashKey(key)
	found, ok := v.accounts[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(found.hash), []byte(hash)) != 1 {
		return "", false
	}
	return found.account, true
}

// bearer is a hashed key and whose it is.
type bearer struct{ hash, account string }

// entry is one object in force.
type entry struct {
	object  object.Object
	service *spec.Service
	account *Account
}

// parse reads an object of a known kind.
func parse(o object.Object) (entry, error) {
	e := entry{object: o}
	switch o.Kind() {
	case ServiceKind:
		s, err := spec.Parse(o.Name(), o.Value(), o.Version())
		if err != nil {
			return e, err
		}
		if s.Name() != o.Name() {
			return e, errors.Newf("config: document %s is kept as %s", s.Name(), o.Name())
		}
		e.service = s
	case AccountKind:
		e.account = &Account{}
		if err := json.Unmarshal(o.Value(), e.account); err != nil {
			return e, errors.Wrapf(err, "config: account %s", o.Name())
		}
	default:
		return e, errors.Newf("config: kind %q", o.Kind())
	}
	return e, nil
}

func build(entries map[key]entry) *Snapshot {
	v := &Snapshot{
		services: map[string]*spec.Service{},
		models:   map[string][]*spec.Service{},
		accounts: map[string]bearer{},
	}
	for _, e := range entries {
		if e.service != nil {
			v.services[e.service.Name()] = e.service
		}
		if e.account != nil {
			for _, k := range e.account.Keys {
				v.accounts[k] = bearer{hash: k, account: e.account.Name}
			}
		}
	}
	for _, s := range v.Services() {
		for _, m := range s.Models() {
			v.models[m] = append(v.models[m], s)
		}
	}
	return v
}
