package escrow

import (
	"encoding/json"
	"testing"
)

// FuzzLedger decodes arbitrary ledgers. A decoded ledger is rejected, or its
// rows hold no more than was paid in (invariant S1). A ledger that is not
// rejected has the same free amount and paid-in total after it is encoded and
// decoded again.
func FuzzLedger(f *testing.F) {
	f.Add([]byte(`{"account":"a","paid":10,"tops":{"x":10},"rows":{"p/1/1":{"granted":5,"used":1,"state":"open"}}}`))
	f.Add([]byte(`{"paid":-1}`))
	f.Add([]byte(`{"paid":9007199254740992,"spent":-9223372036854775808}`))
	f.Add([]byte(`{"rows":{"a":{"granted":9223372036854775807},"b":{"granted":9223372036854775807}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &Ledger{}
		if json.Unmarshal(data, l) != nil {
			return
		}
		if free := l.Free(); free < 0 {
			t.Fatalf("decoding accepted a ledger with %d free, want an error since its rows hold more than was paid in", free)
		}
		encoded, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		decoded := &Ledger{}
		if err := json.Unmarshal(encoded, decoded); err != nil || decoded.Free() != l.Free() || decoded.Paid() != l.Paid() {
			t.Fatalf("ledger encoded and decoded again: error %v and %d free, want no error, %d free and the same paid-in total", err, decoded.Free(), l.Free())
		}
	})
}
