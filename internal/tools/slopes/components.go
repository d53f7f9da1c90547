package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"jacinthladder.dev/coord/dedup"
	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/coord/permit"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/forward/poison"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/route/choose"
	"jacinthladder.dev/internal/stand/store"
)

// discardLogger drops all log entries.
var discardLogger = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}

// componentSlopes holds the functions that measure how the costs of single components
// grow with a size. They use no network.
var componentSlopes = []func() (*Slope, error){
	shareMemory, shareTickCPU, ledgerDecodeCPU, ledgerBytes, markBytes, witnessMemory,
	heartbeatBytes, heartbeatCPU, configMergeCPU, configMemory, pickCPU, dedupMemory, recordBytes,
	permitCPU, permitMemory, traitMemory,
}

// budgetCounts are the sizes at which the costs of a share are measured: the number of
// budgets that one holder has a share of.
var budgetCounts = []int{500, 1_000, 2_000, 4_000}

// newHolder returns a holder that has a share of each of the given number of budgets,
// without a store or peers.
func newHolder(budgets int) *escrow.Holder {
	h := escrow.NewHolder("entry-1/0123456789ab", escrow.Store{}, escrow.Peers{}, nil)
	for i := range budgets {
		h.Share(fmt.Sprint("budget-", i), escrow.Policy{})
	}
	return h
}

func shareMemory() (*Slope, error) {
	return measure("share", "bytes of memory", "budgets in use", budgetCounts, func(n int) (float64, error) {
		return retainedMemory(func() any { return newHolder(n) }), nil
	})
}

func shareTickCPU() (*Slope, error) {
	return measure("tick", "us of CPU time per tick", "budgets in use", budgetCounts, func(n int) (float64, error) {
		h := newHolder(n)
		return cpuPerCall(func() error {
			h.Tick(context.Background(), time.Now())
			return nil
		})
	})
}

// processCounts are the sizes at which costs that grow with the fleet are measured: the
// number of holders of one budget, or of members of the fleet.
var processCounts = []int{5, 50, 500, 2_600}

// newLedgerStore returns a store with one budget, named b, whose ledger has an open row
// for each of the given number of holders.
func newLedgerStore(holders int) (*object.Store, error) {
	p := store.New()
	var rows []string
	for i := range holders {
		rows = append(rows, fmt.Sprintf(`"entry-%d/0123456789ab/1":{"granted":1000000,"used":500000,"seq":9,"state":"open","guards":["entry-7/0123456789ab","entry-8/0123456789ab","entry-9/0123456789ab"],"alone":1000,"at":9}`, i))
	}
	doc := fmt.Sprintf(`{"account":"a","paid":%d,"rows":{%s}}`, int64(escrow.MaxPaid), strings.Join(rows, ","))
	s := p.Store("")
	_, err := s.Put(context.Background(), config.BudgetKind, "b", 0, []byte(doc))
	return s, err
}

func ledgerDecodeCPU() (*Slope, error) {
	return measure("update", "us of CPU time to decode a ledger", "holders of the budget", processCounts, func(n int) (float64, error) {
		s, err := newLedgerStore(n)
		if err != nil {
			return 0, err
		}
		o, err := s.Get(context.Background(), config.BudgetKind, "b")
		if err != nil {
			return 0, err
		}
		return cpuPerCall(func() error { return json.Unmarshal(o.Value(), &escrow.Ledger{}) })
	})
}

func ledgerBytes() (*Slope, error) {
	return measure("budget", "bytes of a ledger", "holders of the budget", processCounts, func(n int) (float64, error) {
		s, err := newLedgerStore(n)
		if err != nil {
			return 0, err
		}
		b, _, err := ledger.Read(context.Background(), s, "b")
		if err != nil {
			return 0, err
		}
		data, err := json.Marshal(b)
		return float64(len(data)), err
	})
}

func markBytes() (*Slope, error) {
	return measure("marks", "bytes of a call to a witness", "shares whose mark is raised", []int{1, 10, 100, 1_000}, func(n int) (float64, error) {
		note := &wire.RaiseNote{Witness: "entry-7/0123456789ab"}
		for i := range n {
			note.Marks = append(note.Marks, &wire.MarkNote{Share: fmt.Sprintf("entry-1/0123456789ab/%d", i), Limit: 1 << 40})
		}
		return float64(proto.Size(note)), nil
	})
}

func witnessMemory() (*Slope, error) {
	return measure("witness", "bytes of memory", "shares witnessed", []int{1_000, 2_000, 4_000, 8_000}, func(n int) (float64, error) {
		return retainedMemory(func() any {
			w := &escrow.Witness{}
			for i := range n {
				if err := w.Raise(fmt.Sprintf("entry-1/0123456789ab/%d", i), 1); err != nil {
					return err
				}
			}
			return w
		}), nil
	})
}

// newMemberTable returns the membership table of one process, with the given number of
// other members in 15 zones.
func newMemberTable(members int) *member.Table {
	t := member.NewTable(member.Member{Process: "entry-0/0123456789ab", Zone: "zone-0", Address: "127.0.0.1:8101"}, time.Second)
	for i := range members {
		t.Merge(time.Now(), member.Member{
			Process: fmt.Sprintf("entry-%d/0123456789ab", i+1), Zone: fmt.Sprint("zone-", i%15), Address: fmt.Sprintf("127.0.%d.%d:8101", i/250, i%250), Heartbeat: 86_400,
		})
	}
	return t
}

func heartbeatBytes() (*Slope, error) {
	return measure("beat", "bytes of a heartbeat", "members in the heartbeat", []int{16, 64, 128, 256}, func(n int) (float64, error) {
		return float64(proto.Size(peers.NewHeartbeat(newMemberTable(n), 1))), nil
	})
}

func heartbeatCPU() (*Slope, error) {
	return measure("merge", "us of CPU time per heartbeat", "members of the fleet", processCounts, func(n int) (float64, error) {
		table := newMemberTable(n)
		now := time.Now()
		heartbeat := uint64(86_400)
		return cpuPerCall(func() error {
			heartbeat++
			digest := table.Digest(now)
			for i := range digest.Pulses {
				digest.Pulses[i].Heartbeat = heartbeat
			}
			table.MergeDigest(now, digest)
			table.Lacking(now, digest)
			table.Targets(now, 3)
			return nil
		})
	})
}

// newAccountObjects returns the stored objects of n client accounts, each with one key.
func newAccountObjects(n int) ([]object.Object, error) {
	var objects []object.Object
	for i := range n {
		data, err := json.Marshal(config.Account{Name: fmt.Sprint("account-", i), Keys: []string{config.HashKey(fmt.Sprint(i))}})
		if err != nil {
			return nil, err
		}
		objects = append(objects, object.New(config.AccountKind, fmt.Sprint("account-", i), int64(i+1), data))
	}
	return objects, nil
}

// accountCounts are the sizes at which the costs of the configuration are measured: the
// number of client accounts in it.
var accountCounts = []int{500, 1_000, 2_000, 3_900}

func configMergeCPU() (*Slope, error) {
	return measure("view", "us of CPU time to merge a change", "client accounts", accountCounts, func(n int) (float64, error) {
		objects, err := newAccountObjects(n)
		if err != nil {
			return 0, err
		}
		cache := config.NewCache(nil, discardLogger)
		cache.Merge("test", objects)
		version := int64(n)
		return cpuPerCall(func() error {
			version++
			cache.Merge("test", []object.Object{object.New(config.AccountKind, "account-0", version, objects[0].Value())})
			return nil
		})
	})
}

func configMemory() (*Slope, error) {
	return measure("config", "bytes of memory", "client accounts", accountCounts, func(n int) (float64, error) {
		objects, err := newAccountObjects(n)
		if err != nil {
			return 0, err
		}
		return retainedMemory(func() any {
			cache := config.NewCache(nil, discardLogger)
			cache.Merge("test", objects)
			return cache
		}), nil
	})
}

// newService returns a model service with the given number of endpoints in four zones.
func newService(endpoints int) (*spec.Service, error) {
	var rows []string
	for i := range endpoints {
		rows = append(rows, fmt.Sprintf(`{"name":"e%d","zone":"zone-%d","url":"http://127.0.0.1:1","slots":1000}`, i, i%4))
	}
	src := fmt.Sprintf(`{"name":"s","kind":"model","models":["m"],"budgets":{"a":["b"]},"endpoints":[%s]}`, strings.Join(rows, ","))
	return spec.Parse("s", []byte(src), 1)
}

func pickCPU() (*Slope, error) {
	return measure("pick", "us of CPU time to pick an endpoint", "endpoints in use", []int{4, 8, 16, 32}, func(n int) (float64, error) {
		s, err := newService(n)
		if err != nil {
			return 0, err
		}
		picker := choose.NewPicker("entry-1", "zone-1", discardLogger, func() int { return 4 }, nil)
		prefix := uint64(0)
		return cpuPerCall(func() error {
			prefix++
			c := call.NewChat("r", "a", "", 0, s, call.Chat{Model: "m", PrefixHash: prefix})
			p, err := picker.Pick(context.Background(), c, nil)
			if err == nil {
				p.End(choose.Succeeded)
			}
			return err
		})
	})
}

func dedupMemory() (*Slope, error) {
	return measure("claim", "bytes of memory", "keys owned", []int{1_000, 4_000, 16_000, 64_000}, func(n int) (float64, error) {
		return retainedMemory(func() any {
			r := &dedup.Registry{}
			for i := range n {
				r.Register(dedup.Attempt{
					Key: fmt.Sprint("account/service/key-", i), Request: fmt.Sprintf("chatcmpl-%032d", i), Process: "entry-1/0123456789ab", Endpoint: "http://127.0.0.1:9100",
				}, time.Now(), time.Hour)
			}
			return r
		}), nil
	})
}

func recordBytes() (*Slope, error) {
	return measure("record", "bytes of a batch", "usage records", []int{25, 250, 1_000, 2_500}, func(n int) (float64, error) {
		records := make([]settle.Record, n)
		for i := range records {
			records[i] = settle.Record{
				ID: fmt.Sprintf("chatcmpl-%032d", i), Account: "field-north", Service: "drafting-models", Budget: "field-north-main",
				Share: "entry-1/0123456789ab/1", Input: 500, Cached: 200, Output: 214, Cost: 2_084, At: time.Now(),
			}
		}
		data, err := json.Marshal(records)
		return float64(len(data)), err
	})
}

func permitCPU() (*Slope, error) {
	return measure("permit", "us of CPU time to find the granter of an endpoint", "members of the fleet", processCounts, func(n int) (float64, error) {
		t := newMemberTable(n)
		t.Heartbeat()
		fleet := peers.NewClient(t, nil).Permits()
		return cpuPerCall(func() error {
			if len(fleet.Granters("endpoint-1/1")) == 0 {
				return errors.New("slopes: no granter")
			}
			return nil
		})
	})
}

func permitMemory() (*Slope, error) {
	return measure("bucket", "bytes of memory", "endpoints with a limit that a node grants permits for", []int{500, 1_000, 2_000, 4_000}, func(n int) (float64, error) {
		return retainedMemory(func() any {
			g := &permit.Granter{Process: "entry-1/0123456789ab", Fleet: permit.Fleet{
				Granters: func(string) []string { return nil },
				Count:    func() (live, known int) { return 1, 1 },
			}}
			for i := range n {
				g.Acquire(context.Background(), fmt.Sprintf("endpoint-%d/1", i), 10)
			}
			return g
		}), nil
	})
}

func traitMemory() (*Slope, error) {
	return measure("trait", "bytes of memory", "traits of requests that broke off at an endpoint", []int{500, 1_000, 2_000, 4_000}, func(n int) (float64, error) {
		return retainedMemory(func() any {
			t := &poison.Tracker{}
			for i := range n {
				digest := fmt.Sprintf("%024x", i)
				t.Crash(poison.Endpoint{ID: "endpoint-1"}, fmt.Sprint("account-", i%100), poison.RequestTraits(digest, nil), true, time.Now())
			}
			return t
		}), nil
	})
}
