package escrow

import (
	"encoding/json"
	"testing"
)

// FuzzBook reads any book: it is refused, or holds rule S1 and survives being
// written and read again.
func FuzzBook(f *testing.F) {
	f.Add([]byte(`{"account":"a","paid":10,"tops":{"x":10},"rows":{"p/1/1":{"granted":5,"used":1,"state":"open"}}}`))
	f.Add([]byte(`{"paid":-1}`))
	f.Add([]byte(`{"paid":9007199254740992,"spent":-9223372036854775808}`))
	f.Add([]byte(`{"rows":{"a":{"granted":9223372036854775807},"b":{"granted":9223372036854775807}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &Ledger{}
		if json.Unmarshal(data, b) != nil {
			return
		}
		if free := b.Free(); free < 0 {
			t.Fatalf("read a book with %d free", free)
		}
		again, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		c := &Ledger{}
		if err := json.Unmarshal(again, c); err != nil || c.Free() != b.Free() || c.Paid() != b.Paid() {
			t.Fatalf("written and read again: %v, free %d, was %d", err, c.Free(), b.Free())
		}
	})
}
