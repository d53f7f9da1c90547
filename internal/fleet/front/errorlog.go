package front

import (
	"io"
	stdlog "log"
)

// discardLogger returns a logger that drops all messages. The HTTP servers of the instance
// use it for the messages of net/http about single connections, such as failed handshakes
// and responses aborted on purpose.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
