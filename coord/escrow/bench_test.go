package escrow

import (
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
)

// fullShare returns a share that does not run out.
func fullShare(budget string) *Share {
	s := NewShare(budget, "bench/1/"+budget, nil)
	s.granted = MaxPaid
	return s
}

func BenchmarkReserveSettle(b *testing.B) {
	for _, budgets := range []int{1, 12_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			shares := make([]*Share, budgets)
			for i := range shares {
				shares[i] = fullShare(strconv.Itoa(i))
			}
			var lane atomic.Int64
			b.ReportAllocs()
			b.SetParallelism(max(8/runtime.GOMAXPROCS(0), 1))
			b.RunParallel(func(pb *testing.PB) {
				i := int(lane.Add(1)) * 7919
				for pb.Next() {
					i++
					h, ok := shares[i%budgets].Reserve(100)
					if !ok {
						b.Fatal("no room")
					}
					h.Settle(1)
				}
			})
		})
	}
}

// BenchmarkShareMemory reports the bytes that one held budget takes up.
func BenchmarkShareMemory(b *testing.B) {
	for _, budgets := range []int{1_000, 3_000, 6_000, 12_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				h := NewHolder("bench/1", Store{}, Peers{}, nil)
				for i := range budgets {
					h.Share(strconv.Itoa(i), Policy{})
				}
				b.ReportMetric(float64(heap()-before)/float64(budgets), "B/budget")
				runtime.KeepAlive(h)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBook measures one update of a book against its number of holders.
func BenchmarkBook(b *testing.B) {
	for _, holders := range []int{5, 50, 500, 2_600} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			book := NewLedger("account")
			if err := book.TopUp("start", MaxPaid); err != nil {
				b.Fatal(err)
			}
			for i := range holders {
				book.draw(fmt.Sprintf("entry-%d/0123456789ab/1", i), 1_000_000, 0, fairness{})
			}
			data, err := book.MarshalJSON()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var read Ledger
				if err := read.UnmarshalJSON(data); err != nil {
					b.Fatal(err)
				}
				read.draw("entry-1/0123456789ab/1", 1, 1, fairness{})
				if _, err := read.MarshalJSON(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/book")
		})
	}
}
