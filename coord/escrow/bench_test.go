package escrow

import (
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
)

// fullShare returns a share of a budget with MaxPaid granted, which the
// benchmark can't exhaust.
func fullShare(budget string) *Share {
	s := NewShare(budget, "bench/1/"+budget, nil)
	s.granted = MaxPaid
	return s
}

// BenchmarkReserveSettle measures a reservation and its settlement by parallel
// goroutines, on one share and spread over 12,000 shares.
func BenchmarkReserveSettle(b *testing.B) {
	for _, budgets := range []int{1, 12_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			shares := make([]*Share, budgets)
			for i := range shares {
				shares[i] = fullShare(strconv.Itoa(i))
			}
			var workers atomic.Int64
			b.ReportAllocs()
			b.SetParallelism(max(8/runtime.GOMAXPROCS(0), 1))
			b.RunParallel(func(pb *testing.PB) {
				i := int(workers.Add(1)) * 7919
				for pb.Next() {
					i++
					h, ok := shares[i%budgets].Reserve(100)
					if !ok {
						b.Fatal("Reserve(100) failed on a share with MaxPaid granted, want a reservation")
					}
					h.Settle(1)
				}
			})
		})
	}
}

// BenchmarkShareMemory reports the heap bytes that a holder uses for each
// budget of which it has a share, for several numbers of budgets.
func BenchmarkShareMemory(b *testing.B) {
	for _, budgets := range []int{1_000, 3_000, 6_000, 12_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				h := NewHolder("bench/1", Store{}, Peers{}, nil)
				for i := range budgets {
					h.Share(strconv.Itoa(i), Policy{})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(budgets), "B/budget")
				runtime.KeepAlive(h)
			}
		})
	}
}

// heapBytes returns the allocated heap bytes after a run of the garbage
// collector.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLedgerUpdate measures one update of a ledger, which decodes it,
// draws and encodes it, for several numbers of holders. It also reports the
// encoded size.
func BenchmarkLedgerUpdate(b *testing.B) {
	for _, holders := range []int{5, 50, 500, 2_600} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			ledger := NewLedger("account")
			if err := ledger.TopUp("start", MaxPaid); err != nil {
				b.Fatal(err)
			}
			for i := range holders {
				ledger.draw(fmt.Sprintf("entry-%d/0123456789ab/1", i), 1_000_000, 0, fairness{})
			}
			data, err := ledger.MarshalJSON()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var decoded Ledger
				if err := decoded.UnmarshalJSON(data); err != nil {
					b.Fatal(err)
				}
				decoded.draw("entry-1/0123456789ab/1", 1, 1, fairness{})
				if _, err := decoded.MarshalJSON(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/book")
		})
	}
}
