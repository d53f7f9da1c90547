package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"

	"jacinthladder.dev/coord/dedup"
	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/member"
	"jacinthladder.dev/internal/conf/spec"
	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/settle"
	"jacinthladder.dev/internal/fleet/config"
	"jacinthladder.dev/internal/fleet/ledger"
	"jacinthladder.dev/internal/fleet/peers"
	"jacinthladder.dev/internal/fleet/peers/wire"
	"jacinthladder.dev/internal/plat/object"
	"jacinthladder.dev/internal/route/choose"
	"jacinthladder.dev/internal/stand/store"
)

var quiet = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}

// parts are the slopes that need no network.
var parts = []func() (*Slope, error){
	shareMemory, shareTick, bookUpdate, bookBytes, markBytes, witnessMemory,
	beatBytes, beatWork, configView, configBytes, pickWork, claimMemory, recordBytes,
}

var budgetSizes = []int{500, 1_000, 2_000, 4_000}

// keeper returns a holder with a share of each of so many budgets.
func keeper(budgets int) *escrow.Holder {
	h := escrow.NewHolder("entry-1/0123456789ab", escrow.Store{}, escrow.Peers{}, nil)
	for i := range budgets {
		h.Share(fmt.Sprint("budget-", i), escrow.Policy{})
	}
	return h
}

func shareMemory() (*Slope, error) {
	return measure("share", "bytes held", "budgets drawn on", budgetSizes, func(n int) (float64, error) {
		return held(func() any { return keeper(n) }), nil
	})
}

func shareTick() (*Slope, error) {
	return measure("tick", "us of processor for a tick", "budgets drawn on", budgetSizes, func(n int) (float64, error) {
		h := keeper(n)
		return perCall(func() error {
			h.Tick(context.Background(), time.Now())
			return nil
		})
	})
}

var holderSizes = []int{5, 50, 500, 2_600}

// bookOf returns a platform with a budget that so many holders draw on.
func bookOf(holders int) (*object.Store, error) {
	p := store.New()
	var rows []string
	for i := range holders {
		rows = append(rows, fmt.Sprintf(`"entry-%d/0123456789ab/1":{"granted":1000000,"used":500000,"seq":9,"state":"open","guards":["entry-7/0123456789ab","entry-8/0123456789ab","entry-9/0123456789ab"],"alone":1000,"at":9}`, i))
	}
	text := fmt.Sprintf(`{"account":"a","paid":%d,"rows":{%s}}`, int64(escrow.MaxPaid), strings.Join(rows, ","))
	s := p.Store("")
	_, err := s.Put(context.Background(), config.BudgetKind, "b", 0, []byte(text))
	return s, err
}

func bookUpdate() (*Slope, error) {
	return measure("update", "us of processor to read a budget", "holders of the budget", holderSizes, func(n int) (float64, error) {
		s, err := bookOf(n)
		if err != nil {
			return 0, err
		}
		o, err := s.Get(context.Background(), config.BudgetKind, "b")
		if err != nil {
			return 0, err
		}
		return perCall(func() error { return json.Unmarshal(o.Value(), &escrow.Ledger{}) })
	})
}

func bookBytes() (*Slope, error) {
	return measure("budget", "bytes of a budget", "holders of the budget", holderSizes, func(n int) (float64, error) {
		s, err := bookOf(n)
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
	return measure("marks", "bytes of a call to a witness", "shares whose mark rises", []int{1, 10, 100, 1_000}, func(n int) (float64, error) {
		note := &wire.RaiseNote{Witness: "entry-7/0123456789ab"}
		for i := range n {
			note.Marks = append(note.Marks, &wire.MarkNote{Share: fmt.Sprintf("entry-1/0123456789ab/%d", i), Limit: 1 << 40})
		}
		return float64(proto.Size(note)), nil
	})
}

func witnessMemory() (*Slope, error) {
	return measure("witness", "bytes held", "shares witnessed", []int{1_000, 2_000, 4_000, 8_000}, func(n int) (float64, error) {
		return held(func() any {
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

// tableOf returns a membership table that knows so many.
func tableOf(members int) *member.Table {
	t := member.NewTable(member.Member{Process: "entry-0/0123456789ab", Zone: "zone-0", Address: "127.0.0.1:8101"}, time.Second)
	for i := range members {
		t.Merge(time.Now(), member.Member{
			Process: fmt.Sprintf("entry-%d/0123456789ab", i+1), Zone: fmt.Sprint("zone-", i%15), Address: fmt.Sprintf("127.0.%d.%d:8101", i/250, i%250), Heartbeat: 86_400,
		})
	}
	return t
}

func beatBytes() (*Slope, error) {
	return measure("beat", "bytes of a heartbeat", "members told of", []int{4, 12, 24, 48}, func(n int) (float64, error) {
		return float64(proto.Size(peers.NewHeartbeat(tableOf(n), 1))), nil
	})
}

func beatWork() (*Slope, error) {
	return measure("merge", "us of processor for a heartbeat", "members of the fleet", holderSizes, func(n int) (float64, error) {
		t := tableOf(n)
		now := time.Now()
		count := uint64(86_400)
		return perCall(func() error {
			count++
			sample := t.Sample(now)
			for i := range sample {
				sample[i].Heartbeat = count
			}
			t.Merge(now, sample...)
			t.Targets(now, 3)
			return nil
		})
	})
}

// accountsOf returns the objects of so many client accounts.
func accountsOf(n int) ([]object.Object, error) {
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

var accountSizes = []int{500, 1_000, 2_000, 3_900}

func configView() (*Slope, error) {
	return measure("view", "us of processor to take a change in", "client accounts", accountSizes, func(n int) (float64, error) {
		objects, err := accountsOf(n)
		if err != nil {
			return 0, err
		}
		k := config.NewCache(nil, quiet)
		k.Merge("test", objects)
		version := int64(n)
		return perCall(func() error {
			version++
			k.Merge("test", []object.Object{object.New(config.AccountKind, "account-0", version, objects[0].Value())})
			return nil
		})
	})
}

func configBytes() (*Slope, error) {
	return measure("config", "bytes held", "client accounts", accountSizes, func(n int) (float64, error) {
		objects, err := accountsOf(n)
		if err != nil {
			return 0, err
		}
		return held(func() any {
			k := config.NewCache(nil, quiet)
			k.Merge("test", objects)
			return k
		}), nil
	})
}

// serviceOf returns a document with so many endpoints.
func serviceOf(endpoints int) (*spec.Service, error) {
	var rows []string
	for i := range endpoints {
		rows = append(rows, fmt.Sprintf(`{"name":"e%d","zone":"zone-%d","url":"http://127.0.0.1:1","slots":1000}`, i, i%4))
	}
	src := fmt.Sprintf(`{"name":"s","kind":"model","models":["m"],"budgets":{"a":["b"]},"endpoints":[%s]}`, strings.Join(rows, ","))
	return spec.Parse("s", []byte(src), 1)
}

func pickWork() (*Slope, error) {
	return measure("pick", "us of processor for a choice", "endpoints in use", []int{4, 8, 16, 32}, func(n int) (float64, error) {
		s, err := serviceOf(n)
		if err != nil {
			return 0, err
		}
		b := choose.NewPicker("entry-1", "zone-1", quiet, func() int { return 4 }, nil)
		prefix := uint64(0)
		return perCall(func() error {
			prefix++
			c := call.NewChat("r", "a", "", 0, s, call.Chat{Model: "m", PrefixHash: prefix})
			p, err := b.Pick(context.Background(), c, nil)
			if err == nil {
				p.End(choose.Succeeded)
			}
			return err
		})
	})
}

func claimMemory() (*Slope, error) {
	return measure("claim", "bytes held", "keys owned", []int{1_000, 4_000, 16_000, 64_000}, func(n int) (float64, error) {
		return held(func() any {
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
