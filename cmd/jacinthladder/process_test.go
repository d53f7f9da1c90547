package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"jacinthladder.dev/internal/stand/engine"
	"jacinthladder.dev/internal/tools/admin"
)

// mainVariable makes the test binary run the program itself.
const mainVariable = "JACINTHLADDER_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is the program in a process of its own.
type process struct {
	cmd  *exec.Cmd
	out  *bytes.Buffer
	done chan error
}

// start runs the program with args.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), out: &bytes.Buffer{}, done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), mainVariable+"=1")
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() { p.kill() })
	return p
}

// kill ends the process at once.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err == nil {
		<-p.done
	}
}

// term asks the process to stop and returns how it ended.
func (p *process) term(t *testing.T) error {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-p.done:
		return err
	case <-time.After(20 * time.Second):
		t.Fatalf("still there:\n%s", p.out)
		return nil
	}
}

// command runs the program to its end and returns what it printed.
func command(t *testing.T, args ...string) (string, int) {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), mainVariable+"=1")
	out, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), c.ProcessState.ExitCode()
}

// address returns a free address on loopback.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// await calls check until it is true.
func await(t *testing.T, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !check(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func answers(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// cluster is a fleet of processes.
type cluster struct {
	platform string
	engine   string
	key      string
	entries  []*process
	urls     []string
}

func startCluster(t *testing.T, entries int) *cluster {
	t.Helper()
	c := &cluster{platform: "http://" + address(t), engine: "http://" + address(t)}
	start(t, "standin", "platform", "--listen", strings.TrimPrefix(c.platform, "http://"))
	start(t, "standin", "engine", "--listen", strings.TrimPrefix(c.engine, "http://"), "--step", "20ms")
	await(t, "platform", func() bool { return answers(c.platform + "/v1/instances") })
	await(t, "engine", func() bool { return answers(c.engine + "/v1/load") })
	c.operate(t)
	for i := range entries {
		c.enter(t, i)
	}
	for _, u := range c.urls {
		await(t, "readiness", func() bool { return answers(u + "/ready") })
	}
	return c
}

// operate sets the fleet up as an operator does.
func (c *cluster) operate(t *testing.T) {
	t.Helper()
	run := func(args ...string) string {
		out, code := command(t, append(args, "--platform", c.platform)...)
		if code != 0 {
			t.Fatalf("%v: exit %d: %s", args, code, out)
		}
		return out
	}
	c.key = strings.TrimSpace(run("account", "create", "field"))
	run("budget", "create", "field-main", "--account", "field")
	run("budget", "topup", "field-main", "--id", "first", "--amount", "100000000")
	doc := fmt.Sprintf(`{
		"name": "drafting", "kind": "model", "models": ["draft"], // of a test
		"endpoints": [{"name": "e1", "zone": "a", "url": %q, "slots": 16}],
		"prices": {"input": 1, "output": 2}, "budgets": {"field": ["field-main"]},
		"times": {"gap": "500ms"},
	}`, c.engine)
	file := filepath.Join(t.TempDir(), "drafting.jsonc")
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	run("service", "apply", file)
}

// enter starts an entry instance.
func (c *cluster) enter(t *testing.T, i int) {
	t.Helper()
	listen, peer, admin := address(t), address(t), address(t)
	zone := string(rune('a' + i))
	settings := fmt.Sprintf(`{"name": "entry-%d", "zone": %q, "listen": %q, "peer": %q, "admin": %q, "platform": %q,
		"lead": "100ms", "beat": "100ms", "file": "100ms"}`, i, zone, listen, peer, admin, c.platform)
	file := filepath.Join(t.TempDir(), "entry.jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	entry := fmt.Sprintf(`{"zone": %q, "address": %q}`, zone, peer)
	r, err := http.NewRequest(http.MethodPut, fmt.Sprintf("%s/v1/instances/entry-%d", c.platform, i), strings.NewReader(entry))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
	c.entries = append(c.entries, start(t, "serve", "--settings", file))
	c.urls = append(c.urls, "http://"+admin)
	c.entries[i].cmd.Env = append(c.entries[i].cmd.Env, "listen="+listen)
}

// caller returns the address for callers of instance i.
func (c *cluster) caller(i int) string {
	env := c.entries[i].cmd.Env
	return "http://" + strings.TrimPrefix(env[len(env)-1], "listen=")
}

// stream asks instance i for an answer under a key, and hands each piece of
// its text to piece until that returns false.
func (c *cluster) stream(ctx context.Context, i int, key string, piece func(text string) bool) error {
	body := `{"model":"draft","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"hello"}]}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.caller(i)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s, %v", resp.StatusCode, data, err)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		for _, ch := range chunk.Choices {
			if !piece(ch.Delta.Content) {
				return nil
			}
		}
	}
	return fmt.Errorf("the stream broke off: %v", lines.Err())
}

func want() string {
	q := engine.Request{Model: "draft", Messages: []json.RawMessage{json.RawMessage(`{"role":"user","content":"hello"}`)}, MaxTokens: 100}
	return strings.Join(engine.Answer(q), "")
}

// records returns the usage records on the platform.
func (c *cluster) records(t *testing.T) []map[string]any {
	t.Helper()
	resp, err := http.Get(c.platform + "/v1/objects/usage?after=0&wait=0s")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list struct{ Items []struct{ Value []byte } }
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	var all []map[string]any
	for _, i := range list.Items {
		var some []map[string]any
		if err := json.Unmarshal(i.Value, &some); err != nil {
			t.Fatal(err)
		}
		all = append(all, some...)
	}
	return all
}

// TestKilledRouterLosesNoKeyedAnswer kills the router of an open stream. The
// caller's retry through another gets the whole answer of the same run, and it
// is billed once.
func TestKilledRouterLosesNoKeyedAnswer(t *testing.T) {
	c := startCluster(t, 3)
	var part strings.Builder
	seen := 0
	err := c.stream(t.Context(), 0, "key", func(text string) bool {
		part.WriteString(text)
		seen++
		if seen == 10 {
			c.entries[0].kill()
		}
		return true
	})
	if err == nil || !strings.HasPrefix(want(), part.String()) {
		t.Fatalf("the first stream: %v, %q", err, part.String())
	}
	var whole strings.Builder
	if err := c.stream(t.Context(), 1, "key", func(text string) bool {
		whole.WriteString(text)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	if whole.String() != want() {
		t.Errorf("got %q, want %q", whole.String(), want())
	}
	for _, e := range c.entries[1:] {
		if err := e.term(t); err != nil {
			t.Errorf("%v\n%s", err, e.out)
		}
	}
	if r := c.records(t); len(r) != 1 {
		t.Errorf("records %v", r)
	}
	out, code := command(t, "budget", "show", "field-main", "--platform", c.platform)
	if code != 0 || !regexp.MustCompile(`entry-0/\w+/1\s+open`).MatchString(out) {
		t.Errorf("exit %d: the killed holder's share is not explained:\n%s", code, out)
	}
}

// TestTermFinishesOpenStreams stops a router as planned while it streams.
func TestTermFinishesOpenStreams(t *testing.T) {
	c := startCluster(t, 2)
	var whole strings.Builder
	ended := make(chan error, 1)
	first := make(chan struct{})
	go func() {
		ended <- c.stream(context.Background(), 0, "key", func(text string) bool {
			if whole.Len() == 0 {
				close(first)
			}
			whole.WriteString(text)
			return true
		})
	}()
	<-first
	if err := c.entries[0].term(t); err != nil {
		t.Errorf("%v\n%s", err, c.entries[0].out)
	}
	if err := <-ended; err != nil || whole.String() != want() {
		t.Errorf("%v, got %q, want %q", err, whole.String(), want())
	}
	if r := c.records(t); len(r) != 1 {
		t.Errorf("records %v", r)
	}
	out, _ := command(t, "budget", "show", "field-main", "--platform", c.platform)
	if strings.Contains(out, "entry-0/") {
		t.Errorf("a share was left behind:\n%s", out)
	}
}

// TestSecondSignalIsTold cuts open streams off at a second signal, and says so.
func TestSecondSignalIsTold(t *testing.T) {
	c := startCluster(t, 1)
	first := make(chan struct{}, 1000)
	ended := make(chan error, 1)
	go func() {
		ended <- c.stream(context.Background(), 0, "key", func(string) bool {
			first <- struct{}{}
			return true
		})
	}()
	<-first
	if err := c.entries[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if err := c.entries[0].term(t); err == nil {
		t.Error("the stop said that all was in order")
	}
	if err := <-ended; err == nil {
		t.Error("the stream was not cut off")
	}
	if out := c.entries[0].out.String(); !strings.Contains(out, "cut off") {
		t.Errorf("the log does not tell:\n%s", out)
	}
}

func TestCommandsTellWhatIsWrong(t *testing.T) {
	c := startCluster(t, 0)
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(bad, []byte("{\n  \"name\": \"x\",\n  \"kinds\": \"model\"\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	missing := filepath.Join(t.TempDir(), "missing.jsonc")
	doc := `{"name":"ledger","kind":"plain","endpoints":[{"name":"l","zone":"a","url":"http://127.0.0.1:1","slots":1}],` + "\n" + `"budgets":{"field":["nothing"]}}`
	if err := os.WriteFile(missing, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	at := []string{"--platform", c.platform}
	for name, want := range map[string]struct {
		args []string
		code int
		text string
	}{
		"unknown flag":      {[]string{"serve", "--none"}, exitUsage, "unknown flag"},
		"unknown field":     {[]string{"service", "check", bad}, exitUsage, "bad.jsonc:3:3: kinds: unknown field"},
		"missing budget":    {append([]string{"service", "apply", missing}, at...), exitUsage, `missing.jsonc:2:21: budgets.field[0]: there is no budget "nothing"`},
		"double account":    {append([]string{"account", "create", "field"}, at...), exitOvertaken, "there is one with this name already"},
		"negative top-up":   {append([]string{"budget", "topup", "field-main", "--id", "x", "--amount", "-1"}, at...), exitFailed, "amount out of range"},
		"overflowing":       {append([]string{"budget", "topup", "field-main", "--id", "x", "--amount", "9223372036854775807"}, at...), exitFailed, "amount out of range"},
		"top-up ID reused":  {append([]string{"budget", "topup", "field-main", "--id", "first", "--amount", "1"}, at...), exitFailed, "taken by another amount"},
		"unknown budget":    {append([]string{"budget", "show", "none"}, at...), exitFailed, "there is no such object"},
		"platform away":     {[]string{"budget", "show", "x", "--platform", "http://127.0.0.1:1"}, exitPlatform, "no answer from the platform"},
		"repeated payment":  {append([]string{"budget", "topup", "field-main", "--id", "first", "--amount", "100000000"}, at...), 0, "100000000 paid"},
		"version":           {[]string{"version"}, 0, "jacinthladder"},
		"shell completion":  {[]string{"completion", "bash"}, 0, "bash completion"},
		"help has examples": {[]string{"serve", "--help"}, 0, "Examples:"},
	} {
		out, code := command(t, want.args...)
		if code != want.code || !strings.Contains(out, want.text) {
			t.Errorf("%s: exit %d, want %d with %q:\n%s", name, code, want.code, want.text, out)
		}
	}
}

func TestAdminTellsOvertakenEdits(t *testing.T) {
	c := startCluster(t, 0)
	out, code := command(t, "service", "show", "drafting", "--platform", c.platform)
	if code != 0 || !strings.Contains(out, "// of a test") {
		t.Fatalf("exit %d: %s", code, out)
	}
	file := filepath.Join(t.TempDir(), "next.jsonc")
	src := out[strings.Index(out, "{"):]
	if at := strings.Index(src, "service drafting is at"); at > 0 {
		src = src[:at]
	}
	if err := os.WriteFile(file, []byte(strings.Replace(src, `"output": 2`, `"output": 3`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	out, code = command(t, "service", "apply", file, "--base", "1", "--platform", c.platform)
	if code != exitOvertaken || !strings.Contains(out, admin.ErrOvertaken.Error()) {
		t.Errorf("exit %d: %s", code, out)
	}
}
