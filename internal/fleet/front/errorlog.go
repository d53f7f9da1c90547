package front

import (
	"io"
	stdlog "log"
)

// quiet returns a logger that drops what net/http has to say of single
// connections: handshakes that fail, answers that are aborted on purpose.
func quiet() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
