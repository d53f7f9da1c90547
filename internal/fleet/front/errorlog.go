package front

import (
	"io"
	stdlog "log"
)

// discardLogger returns a logger that drops all messages. It is used for the messages of
// net/http about single connections, such as failed handshakes and responses aborted on
// purpose.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
