package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"jacinthladder.dev/internal/stand/crowd"
	"jacinthladder.dev/internal/stand/output"
	"jacinthladder.dev/internal/stand/ports"
)

const (
	// crowdSize is the number of callers that send large bodies, crowdMemory the memory of the machine in MB,
	// and crowdLimit the part of it that GOMEMLIMIT allows the process.
	crowdSize   = 64
	crowdMemory = 128
	crowdLimit  = 96
	// crowdFiles is the number of files that the process may open, and crowdDescriptors the largest number
	// that it may have open.
	crowdFiles       = 600
	crowdDescriptors = 540
	// crowdBody is the length of the largest legal body, and crowdAnswer that of a large answer, in bytes.
	crowdBody   = 4 << 20
	crowdAnswer = 12 << 20
	// crowdRunTime is how long the plain service runs a request.
	crowdRunTime = time.Second
	// calmTime is the time in which an ordinary caller, which tries again as it is told, gets an answer.
	calmTime = 15 * time.Second
)

// crowdTest is an entry instance with little memory that a crowd calls.
type crowdTest struct {
	*cluster
	t       *testing.T
	entry   *process
	address string // at which the instance accepts callers
}

// buildProgram builds the program without the race detector, which takes memory itself.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jacinthladder")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build of the program: error %v, want none; output:\n%s", err, out)
	}
	return binary
}

func newCrowdTest(t *testing.T, binary string) *crowdTest {
	c := &crowdTest{t: t, cluster: &cluster{platformURL: "http://" + ports.Claim(t), engineURL: "http://" + ports.Claim(t)}}
	startProcess(t, "standin", "platform", "--listen", strings.TrimPrefix(c.platformURL, "http://"))
	startProcess(t, "standin", "engine", "--listen", strings.TrimPrefix(c.engineURL, "http://"), "--step", "1ms")
	waitFor(t, "a response of the platform stand-in", func() bool { return respondsOK(c.platformURL + "/v1/instances") })
	waitFor(t, "a response of the engine stand-in", func() bool { return respondsOK(c.engineURL + "/v1/load") })
	c.configure(t)
	c.addPlainService()
	c.startLimited(binary)
	return c
}

// addPlainService starts and configures a plain service that reads whole bodies and works for a while.
func (c *crowdTest) addPlainService() {
	service := httptest.NewServer(http.HandlerFunc(servePlain))
	c.t.Cleanup(func() { service.CloseClientConnections(); service.Close() })
	doc := fmt.Sprintf(`{"name": "custody", "kind": "plain", "endpoints": [{"name": "p1", "zone": "a", "url": %q, "slots": 1000}],
		"prices": {"call": 1}, "budgets": {"field": ["field-main"]}}`, service.URL)
	file := filepath.Join(c.t.TempDir(), "custody.jsonc")
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		c.t.Fatal(err)
	}
	for _, args := range [][]string{
		{"service", "apply", file},
		{"budget", "topup", "field-main", "--id", "second", "--amount", "1000000000000"},
	} {
		if out, code := runCommand(c.t, append(args, "--platform", c.platformURL)...); code != 0 {
			c.t.Fatalf("the command with the arguments %v exited with code %d, want 0; output: %s", args, code, out)
		}
	}
}

func servePlain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(crowdRunTime)
	if r.URL.Path != "/large" {
		fmt.Fprintf(w, "%d bytes", n)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(crowdAnswer))
	if _, err := io.Copy(w, strings.NewReader(strings.Repeat("x", crowdAnswer))); err != nil {
		return // the instance has given the answer up
	}
}

// startLimited starts the entry instance with little memory and few files.
func (c *crowdTest) startLimited(binary string) {
	listen, peer, admin := ports.Claim(c.t), ports.Claim(c.t), ports.Claim(c.t)
	settings := fmt.Sprintf(`{"name": "entry-0", "zone": "a", "listen": %q, "peer": %q, "admin": %q, "platform": %q,
		"lead": "100ms", "drain": "10s", "beat": "100ms", "file": "100ms", "body": %d}`, listen, peer, admin, c.platformURL, crowdBody)
	file := filepath.Join(c.t.TempDir(), "entry.jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	command := fmt.Sprintf(`ulimit -n %d; exec "$0" serve --settings "$1"`, crowdFiles)
	c.entry = &process{cmd: exec.Command("sh", "-c", command, binary, file), out: &output.Buffer{}, done: make(chan error, 1)}
	c.entry.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", crowdLimit))
	c.entry.cmd.Stdout, c.entry.cmd.Stderr = c.entry.out, c.entry.out
	if err := c.entry.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() { c.entry.done <- c.entry.cmd.Wait() }()
	c.t.Cleanup(func() {
		c.entry.kill()
		if c.t.Failed() {
			c.t.Logf("output of the instance:\n%.1000s", c.entry.out)
		}
	})
	c.address = listen
	c.entry.waitReady(c.t, "http://"+admin)
}

// target returns the instance as the target of a crowd whose requests have the given path, key and body.
func (c *crowdTest) target(path, key, body string) crowd.Target {
	return crowd.Target{Address: c.address, Body: body, Head: func(_ int, large bool) string {
		if large {
			path = "/s/custody/large"
		}
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", path, key)
	}}
}

// chatBody returns a chat completions request of the given length.
func chatBody(length int) string {
	const begin, end = `{"model":"draft","max_tokens":5,"messages":[{"role":"user","content":"`, `"}]}`
	return begin + strings.Repeat("x", length-len(begin)-len(end)) + end
}

// elementsBody returns a chat completions request with as many fields as fit.
func elementsBody(length int) string {
	var b bytes.Buffer
	b.WriteString(`{"model":"draft","max_tokens":5,"messages":[{}`)
	for b.Len() < length-4 {
		b.WriteString(`,1`)
	}
	b.WriteString(`]}`)
	return b.String()
}

// calm sends ordinary requests until one is answered.
func (c *crowdTest) calm(when string) {
	c.t.Helper()
	client := &http.Client{Timeout: calmTime, Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), calmTime)
	defer cancel()
	last := "none"
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/v1/chat/completions", strings.NewReader(chatBody(1000)))
		if err != nil {
			c.t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+c.key)
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, body %.200q, error %v", resp.StatusCode, body, err)
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("%s: no ordinary request was answered, last result %s", when, last)
}

// check checks what the process held at most.
func (c *crowdTest) check(w *crowd.Watch) {
	c.t.Helper()
	held, err := w.Close()
	if err != nil {
		c.t.Errorf("the process did not live all the time: %v", err)
		return
	}
	c.t.Log("at most ", held)
	if err := (crowd.Limit{Megabytes: crowdMemory, Descriptors: crowdDescriptors}).Check(held); err != nil {
		c.t.Error(err)
	}
}

func (c *crowdTest) watch() *crowd.Watch {
	w, err := crowd.NewWatch(c.entry.cmd.Process.Pid, c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	return w
}

// Guards against callers that keep to no limit and make an entry instance run out of memory or descriptors.
func TestCrowdDoesNotExhaustTheEntry(t *testing.T) {
	binary := buildProgram(t)
	for _, target := range []struct{ name, path, body string }{
		{"plain", "/s/custody/x", strings.Repeat("x", crowdBody)},
		{"chat", "/v1/chat/completions", chatBody(crowdBody)},
		{"chat of many elements", "/v1/chat/completions", elementsBody(crowdBody)},
	} {
		for i, f := range crowd.Forms(crowdSize) {
			if i > 0 && target.name == "chat of many elements" {
				break // the other forms end before the body is decoded
			}
			t.Run(target.name+"/"+f.Name, func(t *testing.T) {
				c := newCrowdTest(t, binary)
				w := c.watch()
				callers := f.Start(c.target(target.path, c.key, target.body))
				callers.Wait()
				c.calm("beside the crowd")
				callers.Close()
				c.calm("after the crowd")
				c.check(w)
			})
		}
	}
}

// A planned stop of an entry instance ends beside a crowd that stays connected.
func TestCrowdDoesNotKeepAPlannedStopOfTheEntryFromItsEnd(t *testing.T) {
	binary := buildProgram(t)
	for _, f := range crowd.Forms(crowdSize) {
		t.Run(f.Name, func(t *testing.T) {
			c := newCrowdTest(t, binary)
			w := c.watch()
			callers := f.Start(c.target("/s/custody/x", c.key, strings.Repeat("x", crowdBody)))
			callers.Wait()
			c.check(w)
			if err := c.entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			select {
			case <-c.entry.done: // with an error if connections were still open at the end of the drain timeout
				c.entry.done <- nil
			case <-time.After(time.Minute):
				t.Error("the process still runs a minute after SIGTERM")
			}
			callers.Close()
		})
	}
}
