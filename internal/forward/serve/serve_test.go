package serve

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/permit"
	"jacinthladder.dev/coord/retry"
	"jacinthladder.dev/internal/fleet/drain"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/poison"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/route"
	"jacinthladder.dev/internal/stand/canned"
)

// TestScripts runs the scripts in testdata/routes.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/routes", runScript)
}

func TestStreamEndingInsideEventIsNotFramedAsComplete(t *testing.T) {
	runScript(t, "testdata/broken/stream")
}

func TestStreamThatHasBegunGoesOnOnlyWithEventsThatFollow(t *testing.T) {
	runScript(t, "testdata/broken/joined")
}

// TestHalfAHeadIsNoResponse cuts the head of a response at each byte.
func TestHalfAHeadIsNoResponse(t *testing.T) {
	f := newFixture(t)
	f.configure(t, "route /r/ kind=once anonymous=yes\nroute /s/ kind=stream anonymous=yes")
	head := `HTTP/1.1 200 OK\r\nJacinthladder-Request: $ID\r\nSeal: a\r\nContent-Length: 12\r\n\r\n`
	text, err := strconv.Unquote(`"` + strings.ReplaceAll(head, "$ID", "q1") + `"`)
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(text) {
		cut := strconv.Quote(text[:length])
		for _, path := range []string{"/r/x", "/s/x"} {
			f.startEndpoint(t, "a", "", "write "+cut+"; close")
			got := f.sendRequest(t, "POST "+path+" HTTP/1.1\nHost: h\nJacinthladder-Request: q1\n")
			if !strings.HasPrefix(got, "502") {
				t.Errorf("the head ends after %s: the caller of %s got %.60q, want status 502", cut, path, got)
			}
		}
	}
}

func TestLongFailureResponseIsNotCutAndFramedAsComplete(t *testing.T) {
	runScript(t, "testdata/broken/failure")
}

func TestBrokenOffResponseIsNotFramedAsCompleteForHTTP10Callers(t *testing.T) {
	f := newFixture(t)
	f.configure(t, "route /r/ kind=stream")
	f.startEndpoint(t, "a", "", `write "HTTP/1.1 200 OK\r\nJacinthladder-Request: $ID\r\n\r\nid: 1\ndata: x\n\nid: 2"; wait 20ms; close`)
	nc, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(nc, "POST /r/x HTTP/1.0\r\nHost: h\r\nJacinthladder-Request: q1\r\n\r\n")
	if _, err := io.ReadAll(nc); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the response ended with error %v, want a reset connection", err)
	}
}

// While the registry is out of reach, a stream that began on a new connection does not go on elsewhere:
// another version may have taken the place of its endpoint.
func TestStreamGoesOnWithoutTheRegistryOnlyWhereItIsSure(t *testing.T) {
	for _, live := range []bool{true, false} {
		f := newFixture(t)
		f.configure(t, "route /s/ kind=stream resumable=yes tries=2 anonymous=yes")
		f.server.RegistryLive = func() bool { return live }
		f.server.ConfirmedAt = func() time.Time { return time.Now().Add(-time.Minute) }
		head := `write "HTTP/1.1 200 OK\r\nJacinthladder-Request: $ID\r\nContent-Type: text/event-stream\r\n\r\n`
		f.startEndpoint(t, "b", "v1", head+`id: 2\ndata: y\n\n"; close`)
		f.startEndpoint(t, "a", "v1", head+`id: 1\ndata: x\n\nid: 2"; close`)
		got := f.sendRequest(t, "POST /s/x HTTP/1.1\nHost: h\nJacinthladder-Request: q1\n")
		if goesOn := strings.Contains(got, "b saw"); goesOn != live {
			t.Errorf("the registry is followed %t: the stream goes on elsewhere %t\n%s", live, goesOn, got)
		}
	}
}

func TestBodyWithoutEndIsCutOff(t *testing.T) {
	runScript(t, "testdata/broken/endless")
}

// runScript runs one script. A script defines the responses of endpoints and shows the
// responses that callers get. The commands are:
//
//	endpoint ID      starts an endpoint, with version=V one of that software version; each line is the response to one request,
//	                 in order, with the steps write "TEXT", fill BYTES, wait TIME,
//	                 flood (bytes until the connection is closed), reset, close
//	gone ID          removes the endpoint from the picker
//	table            sets the configuration: route, account and limits lines
//	request          sends the HTTP request in the input; prints the response and
//	                 the requests that endpoints received
//	retries N        sets the number of retries allowed in 10 s
//	budget ACCOUNT   prints the used and reserved tokens of the account's budget
//	blocked PARTS    prints the part that is blocked of a prompt, two seconds from now
//	stop TIME        refuses requests whose deadline is later than that from now on
//	abandon TIME     gives up the requests in progress that long from now
//	pause TIME       waits
//	sends            prints the log lines of the attempts at endpoints since the last
//	                 sends command
func runScript(t *testing.T, file string) {
	f := newFixture(t)
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "endpoint":
			version := ""
			d.MaybeScanArgs(t, "version", &version)
			f.startEndpoint(t, d.CmdArgs[0].Key, version, d.Input)
			return ""
		case "gone":
			f.server.Picker.Remove(d.CmdArgs[0].Key)
			return ""
		case "table":
			f.configure(t, d.Input)
			return ""
		case "request":
			return f.sendRequest(t, d.Input)
		case "retries":
			limit, err := strconv.Atoi(d.CmdArgs[0].Key)
			if err != nil {
				d.Fatalf(t, "the argument of the command retries is not a number: %v", err)
			}
			f.retries.SetLimit(0, float64(limit))
			return ""
		case "budget":
			s := f.reserver.Stats(f.table.AccountByKey("key-" + d.CmdArgs[0].Key))
			return fmt.Sprintf("used %d reserved %d\n", s.Used(), s.Reserved())
		case "blocked":
			var parts []meta.Part
			for _, id := range strings.Split(d.CmdArgs[0].Key, "/") {
				parts = append(parts, meta.Part{ID: id})
			}
			trait, _ := f.server.Poison.Check(poison.PartTraits(parts), time.Now().Add(2*time.Second))
			return fmt.Sprintf("%q\n", trait.Name())
		case "pause", "stop", "abandon":
			after, err := time.ParseDuration(d.CmdArgs[0].Key)
			if err != nil {
				d.Fatalf(t, "%s: %v", d.Cmd, err)
			}
			switch d.Cmd {
			case "pause":
				time.Sleep(after)
			case "stop":
				f.server.RefuseLate(time.Now().Add(after))
			case "abandon":
				time.AfterFunc(after, f.server.Abandon)
			}
			return ""
		case "sends":
			return f.takeSends()
		}
		d.Fatalf(t, "the script has the unknown command %s", d.Cmd)
		return ""
	})
}

// fixture is a forwarding server with scripted endpoints, one configuration and the
// ledger of one budget, which all accounts share.
type fixture struct {
	server     *Server
	httpServer *httptest.Server
	table      *route.Table
	reserver   *prepay.Reserver
	ledger     *escrow.Ledger // of the budget; read and written in memory in place of the platform
	retries    *retry.Window  // limits the retries of all services

	logs       *memory.Handler
	loggedSize int // number of log entries that takeSends has handled

	mu   sync.Mutex
	seen []string // descriptions of the requests that endpoints received
}

// newFixture starts a forwarding server that has no endpoints and no configuration
// yet. It allows at most 100 retries in 10 s.
func newFixture(t *testing.T) *fixture {
	f := &fixture{ledger: escrow.NewLedger("field"), logs: memory.New()}
	holder := escrow.NewHolder("entry/1", escrow.Store{
		Read:  func(context.Context, string) (*escrow.Ledger, int64, error) { return f.ledger, 1, nil },
		Write: func(_ context.Context, _ string, _ int64, l *escrow.Ledger) error { f.ledger = l; return nil },
	}, escrow.Peers{}, func(err error) { t.Error(err) })
	f.reserver = &prepay.Reserver{Holder: holder, EmptyTTL: func() time.Duration { return time.Second }, Drawing: func() int { return 1 }}
	retries := &retry.Window{Span: 10 * time.Second}
	retries.SetLimit(0, 100)
	f.retries = retries
	granter := &permit.Granter{Process: "entry-1/1", Fleet: permit.Fleet{
		Granters: func(string) []string { return nil },
		Count:    func() (live, known int) { return 1, 1 },
	}}
	f.server = &Server{
		Table: func() *route.Table { return f.table }, Picker: picker.NewPicker("ikeja"), Poison: &poison.Tracker{}, Pool: &conns.Pool{}, Reserver: f.reserver,
		Retries: func(string) *retry.Window { return retries }, Codec: meta.Native(), Permit: granter.Acquire,
		Metrics: NewMetrics(metrics.NewSet()), Logger: &log.Logger{Handler: f.logs},
	}
	f.httpServer = httptest.NewUnstartedServer(f.server)
	f.httpServer.Listener = new(drain.Conns).Listener(f.httpServer.Listener)
	f.httpServer.Start()
	t.Cleanup(f.httpServer.Close)
	return f
}

// configure replaces the configuration of the server. The input has lines "route
// PREFIX kind=… tries=… timeout=… resumable=… anonymous=…", where timeout is in
// milliseconds, "limits all body=… header=…" in bytes, and "account NAME prepaid=…"
// in tokens. The API key of an account is its name after "key-".
func (f *fixture) configure(t *testing.T, input string) {
	d := route.Config{Version: 1, Services: []route.Service{{Name: "s", Engine: &route.Engine{Slots: 4, KVTokens: 10000, TokensPerEvent: 4}}}}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		o := map[string]string{}
		for _, option := range fields[2:] {
			k, v, _ := strings.Cut(option, "=")
			o[k] = v
		}
		number := func(k string, defaultValue int) int {
			if o[k] == "" {
				return defaultValue
			}
			n, err := strconv.Atoi(o[k])
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		switch fields[0] {
		case "route":
			d.Routes = append(d.Routes, route.Route{
				Name: fields[1], Host: "h", Prefix: fields[1], MaxAttempts: number("tries", 1), Services: []route.WeightedService{{Service: "s", Weight: 1}},
				Kind:      map[string]route.Kind{"once": route.AtMostOnce, "idempotent": route.Idempotent, "stream": route.Stream}[o["kind"]],
				Timeout:   time.Duration(number("timeout", 3000)) * time.Millisecond,
				Objective: 500 * time.Millisecond, MaxEventGap: 100 * time.Millisecond, Resumable: o["resumable"] == "yes", Anonymous: o["anonymous"] == "yes",
			})
		case "account":
			d.Accounts = append(d.Accounts, route.Account{Name: fields[1], Keys: []string{"key-" + fields[1]}, Prepaid: int64(number("prepaid", 0)), Metered: o["prepaid"] != ""})
			if _, err := f.ledger.RaisePaid(int64(number("prepaid", 0))); err != nil {
				t.Fatal(err)
			}
		case "limits":
			d.Limits = route.Limits{MaxBody: int64(number("body", 0)), MaxHeader: number("header", 0)}
		}
	}
	table, err := route.NewTable(d)
	if err != nil {
		t.Fatal(err)
	}
	f.table = table
}

// startEndpoint starts an endpoint that serves a script and adds it to the picker.
// It replaces an endpoint with the same ID.
func (f *fixture) startEndpoint(t *testing.T, id, version, script string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	lines := strings.Split(strings.TrimSpace(script), "\n")
	var mu sync.Mutex
	next := func() string {
		mu.Lock()
		defer mu.Unlock()
		if len(lines) == 0 {
			return "close"
		}
		line := lines[0]
		lines = lines[1:]
		return line
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveScript(nc, id, next)
		}
	}()
	zone := map[string]string{"a": "ikeja"}[id] // the server's zone, so that endpoint a is picked first
	f.server.Picker.Remove(id)
	f.server.Picker.Update(picker.Endpoint{ID: id, Service: "s", Address: l.Addr().String(), Zone: zone, Version: version, Slots: 4}, time.Now())
}

// serveScript serves one connection to the endpoint with the given ID. The function
// next returns the script of the response to the next request.
func (f *fixture) serveScript(nc net.Conn, id string, next func() string) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.recordRequest(id, r, body)
		script := next()
		for script != "" {
			step, rest := script, ""
			if strings.HasPrefix(script, "write ") {
				text, err := strconv.QuotedPrefix(script[len("write "):])
				if err != nil {
					f.seen = append(f.seen, err.Error())
					return
				}
				rest = script[len("write ")+len(text):]
				plain, _ := strconv.Unquote(text)
				io.WriteString(nc, strings.ReplaceAll(plain, "$ID", r.Header.Get("Jacinthladder-Request")))
				script = strings.TrimSpace(rest)
				continue
			}
			step, rest, _ = strings.Cut(script, "; ")
			script = rest
			switch {
			case strings.HasPrefix(step, "fill "):
				n, _ := strconv.Atoi(strings.TrimPrefix(step, "fill "))
				nc.Write(bytes.Repeat([]byte("x"), n))
			case strings.HasPrefix(step, "wait "):
				d, _ := time.ParseDuration(strings.TrimPrefix(step, "wait "))
				time.Sleep(d)
			case step == "flood":
				for err == nil {
					_, err = nc.Write(bytes.Repeat([]byte("x"), 1<<16))
				}
				return
			case step == "reset":
				nc.(*net.TCPConn).SetLinger(0)
				return
			case step == "close":
				return
			}
		}
	}
}

// recordRequest adds a description of a request that the endpoint with the given ID
// received to the field seen.
func (f *fixture) recordRequest(id string, r *http.Request, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%s saw %s %s for %s", id, r.Method, r.RequestURI, r.Header.Get("Jacinthladder-Endpoint"))
	for _, name := range []string{"Jacinthladder-Account", "Last-Event-Id", "Authorization", "X-Own"} {
		if v := r.Header.Get(name); v != "" {
			line += fmt.Sprintf(" %s=%s", name, v)
		}
	}
	if len(body) > 0 {
		line += fmt.Sprintf(" body=%q", body)
	}
	f.seen = append(f.seen, line)
}

// maxPrinted is the length in bytes of the longest body that sendRequest prints.
const maxPrinted = 1024

// sendRequest sends the HTTP request in input to the server. It returns a
// description of the response and of the requests that endpoints received meanwhile.
func (f *fixture) sendRequest(t *testing.T, input string) string {
	head, body, _ := strings.Cut(input+"\n", "\n\n")
	if strings.Contains(head, "chunked") {
		body = strings.ReplaceAll(strings.TrimSpace(body), "\n", "\r\n") + "\r\n\r\n\n"
	}
	raw := strings.ReplaceAll(strings.TrimSuffix(head, "\n"), "\n", "\r\n") + "\r\n\r\n" + strings.TrimSuffix(body, "\n")
	nc, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(nc, raw)
	var out bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		fmt.Fprintln(&out, "no answer")
	} else {
		respBody, err := io.ReadAll(resp.Body)
		fmt.Fprintln(&out, resp.StatusCode)
		for _, name := range []string{"Jacinthladder-Request", "Seal"} {
			if v := resp.Header.Get(name); v != "" {
				fmt.Fprintf(&out, "%s: %s\n", name, v)
			}
		}
		if resp.Header.Get("Retry-After") != "" {
			fmt.Fprintln(&out, "Retry-After is set")
		}
		if len(respBody) <= maxPrinted {
			fmt.Fprintf(&out, "%s\n", strings.ReplaceAll(string(respBody), "\n\n", "\n"))
		} else {
			fmt.Fprintf(&out, "%d bytes\n", len(respBody))
		}
		if err != nil {
			fmt.Fprintln(&out, "broken off")
		}
	}
	f.server.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range slices.Clone(f.seen) {
		fmt.Fprintln(&out, line)
	}
	f.seen = nil
	return out.String()
}

// takeSends returns the log lines of the attempts at endpoints that were logged since
// the last call, without the fields that differ between runs.
func (f *fixture) takeSends() string {
	var out bytes.Buffer
	for _, e := range f.logs.Entries[f.loggedSize:] {
		if !strings.HasPrefix(e.Message, "send: ") {
			continue
		}
		fmt.Fprint(&out, e.Message)
		for _, name := range []string{"endpoint", "status", "framing", "partial", "leaving", "wait", "reason"} {
			if v, ok := e.Fields[name]; ok {
				fmt.Fprintf(&out, " %s=%v", name, v)
			}
		}
		fmt.Fprintln(&out)
	}
	f.loggedSize = len(f.logs.Entries)
	return out.String()
}

// Two entries can name the same address, for example where an endpoint has started again. A
// refusal of the first attempt that is written once more must not count for the second one.
func TestSecondAttemptAtAnAddressUsesANewConnection(t *testing.T) {
	f := newFixture(t)
	f.configure(t, "route /o/ kind=once tries=2")
	const refusal = `write "HTTP/1.1 503 Full\r\nJacinthladder-Request: $ID\r\nJacinthladder-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"`
	address := canned.ServeConns(t, func(nc net.Conn) {
		requests := 0
		f.serveScript(nc, "a", func() string {
			if requests++; requests > 1 {
				t.Error("a second attempt came on the connection of the first one")
			}
			return refusal
		})
	})
	for _, id := range []string{"a", "b"} {
		f.server.Picker.Update(picker.Endpoint{ID: id, Service: "s", Address: address, Slots: 4}, time.Now())
	}
	got := f.sendRequest(t, "POST /o/x HTTP/1.1\nHost: h\nJacinthladder-Request: q1")
	if !strings.HasPrefix(got, "503\n") || strings.Count(got, "saw POST") != 2 {
		t.Errorf("got %s, want status 503 after two attempts", got)
	}
}
