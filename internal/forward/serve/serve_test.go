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
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/datadriven"

	"jacinthladder.dev/coord/escrow"
	"jacinthladder.dev/coord/retry"
	"jacinthladder.dev/internal/forward/conns"
	"jacinthladder.dev/internal/forward/meta"
	"jacinthladder.dev/internal/forward/picker"
	"jacinthladder.dev/internal/forward/prepay"
	"jacinthladder.dev/internal/forward/route"
)

// TestScripts runs the scripts in testdata: endpoints that answer as written, and
// requests whose answers are shown.
//
//	endpoint ID      the lines say what each request gets there, in order; the
//	                 steps are write "TEXT", wait TIME, reset, close
//	gone ID          the endpoint leaves
//	table            the configuration: route and account lines
//	request          an HTTP request; prints the answer and what endpoints saw
//	retries N        no more than N retries from now on
//	budget ACCOUNT   prints what the account has spent and reserved
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		w := newWorld(t)
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "endpoint":
				w.endpoint(t, d.CmdArgs[0].Key, d.Input)
				return ""
			case "gone":
				w.server.Picker.Remove(d.CmdArgs[0].Key)
				return ""
			case "table":
				w.configure(t, d.Input)
				return ""
			case "request":
				return w.request(t, d.Input)
			case "retries":
				most, err := strconv.Atoi(d.CmdArgs[0].Key)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				w.window.SetLimit(0, float64(most))
				return ""
			case "budget":
				f := w.purse.Stats(w.table.AccountByKey("key-" + d.CmdArgs[0].Key))
				return fmt.Sprintf("used %d reserved %d\n", f.Used(), f.Reserved())
			}
			d.Fatalf(t, "no command %s", d.Cmd)
			return ""
		})
	})
}

// world is a server with scripted endpoints.
type world struct {
	server *Server
	front  *httptest.Server
	table  *route.Table
	purse  *prepay.Reserver
	book   *escrow.Ledger
	window *retry.Window

	mu  sync.Mutex
	saw []string
}

func newWorld(t *testing.T) *world {
	w := &world{book: escrow.NewLedger("field")}
	holder := escrow.NewHolder("entry/1", escrow.Store{
		Read:  func(context.Context, string) (*escrow.Ledger, int64, error) { return w.book, 1, nil },
		Write: func(_ context.Context, _ string, _ int64, b *escrow.Ledger) error { w.book = b; return nil },
	}, escrow.Peers{}, func(err error) { t.Error(err) })
	w.purse = &prepay.Reserver{Holder: holder, EmptyTTL: func() time.Duration { return time.Second }}
	window := &retry.Window{Span: 10 * time.Second}
	window.SetLimit(0, 100)
	w.window = window
	w.server = &Server{
		Table: func() *route.Table { return w.table }, Picker: picker.NewPicker("ikeja"), Pool: &conns.Pool{}, Reserver: w.purse,
		Retries: func(string) *retry.Window { return window }, Codec: meta.Native(),
		Metrics: NewMetrics(metrics.NewSet()), Logger: &log.Logger{Handler: discard.New()},
	}
	w.front = httptest.NewServer(w.server)
	w.front.Config.ErrorLog = nil
	t.Cleanup(w.front.Close)
	return w
}

// configure reads lines "route PREFIX kind=… tries=… timeout=…", "limits body=…
// header=…" and "account NAME prepaid=…".
func (w *world) configure(t *testing.T, input string) {
	d := route.Config{Version: 1, Services: []route.Service{{Name: "s", Engine: &route.Engine{Slots: 4, KVTokens: 10000, TokensPerEvent: 4}}}}
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		o := map[string]string{}
		for _, option := range f[2:] {
			k, v, _ := strings.Cut(option, "=")
			o[k] = v
		}
		number := func(k string, otherwise int) int {
			if o[k] == "" {
				return otherwise
			}
			n, err := strconv.Atoi(o[k])
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		switch f[0] {
		case "route":
			d.Routes = append(d.Routes, route.Route{
				Name: f[1], Host: "h", Prefix: f[1], MaxAttempts: number("tries", 1), Services: []route.WeightedService{{Service: "s", Weight: 1}},
				Kind:      map[string]route.Kind{"once": route.AtMostOnce, "idempotent": route.Idempotent, "stream": route.Stream}[o["kind"]],
				Timeout:   time.Duration(number("timeout", 3000)) * time.Millisecond,
				Objective: 500 * time.Millisecond, MaxEventGap: 100 * time.Millisecond, Resumable: o["resumable"] == "yes", Anonymous: o["anonymous"] == "yes",
			})
		case "account":
			d.Accounts = append(d.Accounts, route.Account{Name: f[1], Keys: []string{"key-" + f[1]}, Prepaid: int64(number("prepaid", 0)), Metered: o["prepaid"] != ""})
			if _, err := w.book.RaisePaid(int64(number("prepaid", 0))); err != nil {
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
	w.table = table
}

// endpoint starts an endpoint with a script, anew if there was one of its ID.
func (w *world) endpoint(t *testing.T, id, script string) {
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
			go w.play(nc, id, next)
		}
	}()
	zone := map[string]string{"a": "ikeja"}[id] // chosen first
	w.server.Picker.Remove(id)
	w.server.Picker.Update(picker.Endpoint{ID: id, Service: "s", Address: l.Addr().String(), Zone: zone, Slots: 4}, time.Now())
}

func (w *world) play(nc net.Conn, id string, next func() string) {
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
		w.note(id, r, body)
		script := next()
		for script != "" {
			step, rest := script, ""
			if strings.HasPrefix(script, "write ") {
				text, err := strconv.QuotedPrefix(script[len("write "):])
				if err != nil {
					w.saw = append(w.saw, err.Error())
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
			case strings.HasPrefix(step, "wait "):
				d, _ := time.ParseDuration(strings.TrimPrefix(step, "wait "))
				time.Sleep(d)
			case step == "reset":
				nc.(*net.TCPConn).SetLinger(0)
				return
			case step == "close":
				return
			}
		}
	}
}

// note records what an endpoint saw of a request.
func (w *world) note(id string, r *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%s saw %s %s for %s", id, r.Method, r.RequestURI, r.Header.Get("Jacinthladder-Endpoint"))
	for _, name := range []string{"Jacinthladder-Account", "Last-Event-Id", "Authorization", "X-Own"} {
		if v := r.Header.Get(name); v != "" {
			line += fmt.Sprintf(" %s=%s", name, v)
		}
	}
	if len(body) > 0 {
		line += fmt.Sprintf(" body=%q", body)
	}
	w.saw = append(w.saw, line)
}

func (w *world) request(t *testing.T, input string) string {
	head, body, _ := strings.Cut(input+"\n", "\n\n")
	if strings.Contains(head, "chunked") {
		body = strings.ReplaceAll(strings.TrimSpace(body), "\n", "\r\n") + "\r\n\r\n\n"
	}
	raw := strings.ReplaceAll(strings.TrimSuffix(head, "\n"), "\n", "\r\n") + "\r\n\r\n" + strings.TrimSuffix(body, "\n")
	nc, err := net.Dial("tcp", w.front.Listener.Addr().String())
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
		answer, err := io.ReadAll(resp.Body)
		fmt.Fprintln(&out, resp.StatusCode)
		for _, name := range []string{"Jacinthladder-Request", "Seal"} {
			if v := resp.Header.Get(name); v != "" {
				fmt.Fprintf(&out, "%s: %s\n", name, v)
			}
		}
		if resp.Header.Get("Retry-After") != "" {
			fmt.Fprintln(&out, "Retry-After is set")
		}
		fmt.Fprintf(&out, "%s\n", strings.ReplaceAll(string(answer), "\n\n", "\n"))
		if err != nil {
			fmt.Fprintln(&out, "broken off")
		}
	}
	w.server.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range slices.Clone(w.saw) {
		fmt.Fprintln(&out, line)
	}
	w.saw = nil
	return out.String()
}
