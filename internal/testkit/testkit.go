// Package testkit is what all tests share: a host that writes down what the module does, the program as a process, and
// stand-ins for the parties it talks to, written from the protocol's page. They wait on events, never on time
// alone; the patience below only ends a test that is stuck. Nothing but tests imports it.
package testkit

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second

// Book is a module's host that writes down what it is told to do.
type Book struct{ Lines []string }

func (b *Book) put(format string, args ...any) {
	b.Lines = append(b.Lines, fmt.Sprintf(format, args...))
}

func (b *Book) Start(w int) { b.put("start %d", w) }
func (b *Book) Stop(w int)  { b.put("stop %d", w) }
func (b *Book) TurnBack(w int, comeBack time.Duration, no bool) {
	b.put("back %d no=%v after=%v", w, no, comeBack)
}
func (b *Book) Scrap(w int)                      { b.put("scrap %d", w) }
func (b *Book) Call(w int, p time.Duration)      { b.put("call %d", w) }
func (b *Book) LeaveOut(w int)                   { b.put("omit %d", w) }
func (b *Book) Record(w int, life time.Duration) { b.put("record %d for %v", w, life) }
func (b *Book) Forget(w int)                     { b.put("forget %d", w) }
func (b *Book) Join(w int)                       { b.put("join %d", w) }
func (b *Book) Health(good, stored bool)         { b.put("health %v", good) }
func (b *Book) Idle(after time.Duration)         { b.put("idle %v", after) }
func (b *Book) Free(v float64)                   { b.put("free %.3f", v) }
func (b *Book) Wake(at time.Duration)            {}
func (b *Book) Release(w int)                    { b.put("release %d", w) }
func (b *Book) Log(format string, args ...any)   { b.put("log "+format, args...) }

// Wants fails unless exactly n lines start with the text.
func (b *Book) Wants(t *testing.T, n int, text string) {
	t.Helper()
	got := 0
	for _, l := range b.Lines {
		if l == text || strings.HasPrefix(l, text+" ") {
			got++
		}
	}
	if got != n {
		t.Errorf("%q: %d times, want %d, in %q", text, got, n, b.Lines)
	}
}

// Wire is a connection that keeps what is written on it.
type Wire struct {
	Out    string
	Closed bool
}

func (w *Wire) Write(p []byte) { w.Out += string(p) }
func (w *Wire) Close()         { w.Closed = true }

// Told is a server of two cores in the module's words; band 0 is pure, 1 receipted, 2 effectful.
func Told(more map[string]any) map[string]any {
	m := map[string]any{"cores": 2.0, "memory_kb": 1000.0, "run_memory": 4.0, "receipt_kb": 20.0,
		"crowd": 4.0, "stop_mode": "abort", "come_back_s": 1.0, "below": "shared", "calls_share": 2.0,
		"calls_linger_s": 0.2, "grace_s": 1.0, "band.count": 3.0}
	for n, kind := range []string{"pure", "receipted", "effectful"} {
		at := fmt.Sprintf("band.%d.", n)
		m[at+"kind"], m[at+"payoff"], m[at+"due_s"] = kind, float64(n+1), 1.0
		m[at+"patience_s"], m[at+"window_s"], m[at+"calls"] = 3.0, 10.0, true
	}
	for k, v := range more {
		m[k] = v
	}
	return m
}

// Settings are those of a small site, in the deployment's words: bands trace, excursion and seal, of which the
// second is receipted and the third effectful.
func Settings() map[string]any {
	var classes []any
	for n, kind := range []string{"repeatable", "by_key", "once"} {
		classes = append(classes, map[string]any{"name": []string{"trace", "excursion", "seal"}[n], "repeat": kind,
			"worth": n + 1, "aim_s": 20, "deadline_s": 30, "window_s": 60, "late_value": 0})
	}
	return map[string]any{"classes": classes, "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 1000}},
		"fleet_size": 1, "rules": map[string]any{"drain_grace_s": 0.3, "fall_multiple": 8},
		"policy_limits": map[string]any{"max_retry_after_s": 1, "retry_after": true},
		"domain": map[string]any{"cores": 4, "ram_kb": 100000, "blowup": 2, "entry_kb": 1, "halt": "abort",
			"say": "threshold", "depends_on": "shared", "dep_share": 50, "dep_window_s": 5, "linger_s": 0.2,
			"calls_by_class": []any{true, true, true}, "degraded_worth": []any{0, 0, 0}, "caller_idle_s": 30,
			"clients_total": 3, "gauges": []any{"cpu_busy", "runnable"}}}
}

// World is the program with its stand-ins.
type World struct {
	T       *testing.T
	Given   map[string]any
	Program *Program
	Listen  string
	Runtime *Party
	Index   *Party
	Catalog net.PacketConn
	Words   chan string // the catalog's
}

// NewWorld makes the stand-ins and the configuration, changed as asked; nothing is started.
func NewWorld(t *testing.T, change func(given map[string]any)) *World {
	t.Helper()
	w := &World{T: t, Listen: FreeAddress(t), Runtime: NewParty(t), Index: NewParty(t), Words: make(chan string, 1000)}
	var err error
	if w.Catalog, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Catalog.Close() })
	go func() {
		b := make([]byte, 2000)
		for {
			n, _, err := w.Catalog.ReadFrom(b)
			if err != nil {
				return
			}
			select {
			case w.Words <- string(b[:n]):
			default:
			}
		}
	}()
	w.Given = map[string]any{"name": "n3", "listen": w.Listen, "runtime": w.Runtime.Address, "index": w.Index.Address,
		"directory": w.Catalog.LocalAddr().String(), "seed": "8c1f30d27a5be964", "stop_ms": 3000,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": Settings()}
	if change != nil {
		change(w.Given)
	}
	return w
}

// Serve starts the program and its runtime, and waits until it is up.
func Serve(t *testing.T, change func(given map[string]any)) *World {
	t.Helper()
	w := NewWorld(t, change)
	w.Program = Start(t, w.Given)
	w.Runtime.Sync(0, "new", 0)
	return w
}

// AtCall brings a work item of the band seal to its call, which the index has read, and returns its stub.
func (w *World) AtCall(rid, body string) *Stub {
	w.T.Helper()
	s := w.Stub()
	s.Ask(1, "seal", rid, body, "")
	w.Runtime.Command("start")
	w.Runtime.Wants(1, rid, "call")
	w.Index.Accept()
	w.Index.Get()
	return s
}

// FreeAddress is one that nothing listens on. It lies apart from 127.0.0.1, from which all dial: the port of a connection on
// its way would else take it before the program does.
func FreeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Program is the program as a process.
type Program struct {
	t      *testing.T
	Cmd    *exec.Cmd
	mu     sync.Mutex
	log    bytes.Buffer
	Exited chan int
	file   string // its configuration
}

func (p *Program) write(text []byte) {
	p.t.Helper()
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// Reload replaces the configuration file's text and says so, then waits for a new line of the log with these words.
func (p *Program) Reload(text []byte, words string) {
	p.t.Helper()
	p.write(text)
	before := strings.Count(p.Log(), words)
	_ = p.Cmd.Process.Signal(syscall.SIGHUP)
	for end := time.Now().Add(patience); strings.Count(p.Log(), words) == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("the log does not say %q", words)
		}
	}
}

var built struct {
	once sync.Once
	path string
	err  error
}

// Built is the path of the program, which is built once.
func Built(t *testing.T) string {
	t.Helper()
	built.once.Do(func() {
		dir, err := os.MkdirTemp("", "thymechute")
		if err != nil {
			built.err = err
			return
		}
		built.path = filepath.Join(dir, "thymechute")
		args := append(strings.Fields("build -ldflags=-linkmode=external -o "+built.path), strings.Fields(os.Getenv("THYMECHUTE_BUILD"))...)
		if out, err := exec.Command("go", append(args, "thymechute/cmd/thymechute")...).CombinedOutput(); err != nil {
			built.err = fmt.Errorf("%v: %s", err, out)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return built.path
}

// Start builds the program once and starts it with this configuration.
func Start(t *testing.T, given map[string]any) *Program {
	t.Helper()
	return StartWith(t, given, nil)
}

// StartWith logs to the file instead of into the Program's memory; args go on its command line.
func StartWith(t *testing.T, given map[string]any, log *os.File, args ...string) *Program {
	t.Helper()
	p := &Program{t: t, file: filepath.Join(t.TempDir(), "config.json")}
	text, err := json.Marshal(given)
	if err != nil {
		t.Fatal(err)
	}
	p.write(text)
	p.start(log, args...)
	return p
}

// StartFrom starts the program with the configuration at that path.
func StartFrom(t *testing.T, path string) *Program {
	t.Helper()
	p := &Program{t: t, file: path}
	p.start(nil)
	return p
}

func (p *Program) start(log *os.File, args ...string) {
	p.t.Helper()
	p.Cmd, p.Exited = exec.Command(Built(p.t), args...), make(chan int, 1)
	p.Cmd.Env = append(os.Environ(), "GW_CONFIG="+p.file)
	if p.Cmd.Stderr = p; log != nil {
		p.Cmd.Stderr = log
	}
	if err := p.Cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.Cmd.Wait()
		p.Exited <- p.Cmd.ProcessState.ExitCode()
	}()
	p.t.Cleanup(func() {
		_ = p.Cmd.Process.Kill()
		if log := p.Log(); p.t.Failed() || strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			p.t.Error(log)
		}
	})
}

func (p *Program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Log is what it has logged so far.
func (p *Program) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Term sends the notice to leave.
func (p *Program) Term() { _ = p.Cmd.Process.Signal(syscall.SIGTERM) }

// Exit waits for the end and returns the exit code.
func (p *Program) Exit() int {
	p.t.Helper()
	return Next(p.t, p.Exited, "the program's end")
}

// Eventually waits until it holds.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Next takes what comes from the channel.
func Next[T any](t *testing.T, from <-chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(patience):
		t.Fatalf("nothing came: %s", what)
	}
	return x
}

// Until takes from the channel until what it wants comes.
func Until[T any](t *testing.T, from <-chan T, what string, wanted func(T) bool) T {
	t.Helper()
	for {
		if x := Next(t, from, what); wanted(x) {
			return x
		}
	}
}

// Party is a stand-in that the program connects to: the runtime or the index.
type Party struct {
	t       *testing.T
	listen  net.Listener
	Address string
	conns   chan net.Conn
	conn    net.Conn
	in      *bufio.Reader
	lines   chan string // of a runtime's link once it is up: all but gauges, which are answered as they come
	mute    *atomic.Bool
}

// NewParty listens.
func NewParty(t *testing.T) *Party {
	t.Helper()
	p := &Party{t: t}
	p.Listen("127.0.0.1:0")
	t.Cleanup(p.Down)
	return p
}

// Listen takes connections at the address; Down refuses them from now on.
func (p *Party) Listen(address string) {
	p.t.Helper()
	var err error
	if p.listen, err = net.Listen("tcp", address); err != nil {
		p.t.Fatal(err)
	}
	p.Address, p.conns = p.listen.Addr().String(), make(chan net.Conn, 100)
	go func(l net.Listener, to chan net.Conn) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			to <- c
		}
	}(p.listen, p.conns)
}

// Down stops listening and ends the connection.
func (p *Party) Down() {
	p.listen.Close()
	if p.conn != nil {
		p.conn.Close()
	}
}

// Accept waits for the next connection, which takes the place of the one before.
func (p *Party) Accept() {
	p.t.Helper()
	p.conn = Next(p.t, p.conns, "a connection to a stand-in")
	p.in, p.lines, p.mute = bufio.NewReader(p.conn), nil, &atomic.Bool{}
}

// Break ends the connection.
func (p *Party) Break() { p.conn.Close() }

// Send writes text as it is.
func (p *Party) Send(format string, args ...any) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p.conn, format, args...); err != nil {
		p.t.Fatal(err)
	}
}

// Mute lets gauges go unanswered on this link from now on.
func (p *Party) Mute() { p.mute.Store(true) }

// pump answers the gauges of a link and hands on all else.
func pump(c net.Conn, in *bufio.Reader, mute *atomic.Bool, to chan<- string) {
	defer close(to)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var m struct{ Verb, Nonce string }
		if _ = json.Unmarshal([]byte(line), &m); m.Verb != "gauges" {
			to <- line
		} else if !mute.Load() {
			answerGauges(c, m.Nonce)
		}
	}
}

func answerGauges(c net.Conn, nonce string) {
	_, _ = fmt.Fprintf(c, `{"verb":"load","nonce":%q,"readings":[0.1,0]}`+"\n", nonce)
}

func (p *Party) line() (string, error) {
	if p.lines != nil {
		select {
		case line, ok := <-p.lines:
			if !ok {
				return "", io.EOF
			}
			return line, nil
		case <-time.After(patience):
			return "", os.ErrDeadlineExceeded
		}
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(patience))
	return p.in.ReadString('\n')
}

// Gone waits until the program has closed the connection.
func (p *Party) Gone() {
	p.t.Helper()
	for {
		if _, err := p.line(); err == io.EOF {
			return
		} else if err != nil {
			p.t.Fatal(err)
		}
	}
}

// Sync takes a link of the program, whose sync must name that notice, and waits until the program is up.
func (p *Party) Sync(want int, state string, ago int, missed ...string) {
	p.t.Helper()
	p.Accept()
	if m := p.command("sync"); m["index"] != float64(want) {
		p.t.Fatalf("sync %v, want %d", m["index"], want)
	}
	p.Send(`{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, ago)
	for _, line := range missed {
		p.Send("%s\n", line)
	}
	p.command("gauges") // comes behind what the program did with the notices
	_ = p.conn.SetReadDeadline(time.Time{})
	p.lines = make(chan string, 10000)
	go pump(p.conn, p.in, p.mute, p.lines)
}

// Command waits for a command of that verb, and answers the gauges asked for meanwhile.
func (p *Party) Command(verb string) (task, body string) {
	p.t.Helper()
	m := p.command(verb)
	text, _ := m["bytes"].(string)
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		p.t.Fatal(err)
	}
	task, _ = m["task"].(string)
	return task, string(raw)
}

// Until waits for that command for that task, whatever comes before.
func (p *Party) Until(verb, task string) {
	p.t.Helper()
	for {
		line, err := p.line()
		if err != nil {
			p.t.Fatalf("no %s for %s: %v", verb, task, err)
		}
		if strings.Contains(line, `"`+verb+`"`) && strings.Contains(line, `"`+task+`"`) {
			return
		}
	}
}

func (p *Party) command(verb string) map[string]any {
	p.t.Helper()
	for end := time.Now().Add(patience); ; {
		line, err := p.line()
		if err != nil || time.Now().After(end) {
			p.t.Fatalf("no %s: %v", verb, err)
		}
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			p.t.Fatalf("%q: %v", line, err)
		}
		if m["verb"] == "gauges" {
			nonce, _ := m["nonce"].(string)
			answerGauges(p.conn, nonce)
		}
		if m["verb"] == verb {
			return m
		}
		if m["verb"] != "gauges" {
			p.t.Fatalf("%q came, want %s", line, verb)
		}
	}
}

// End tells the end of a run.
func (p *Party) End(index int, task, how, result string) {
	p.t.Helper()
	p.Send("%s\n", EndLine(index, task, how, result))
}

// EndLine is the notice of the end of a run.
func EndLine(index int, task, how, result string) string {
	return fmt.Sprintf(`{"verb":"end","index":%d,"task":%q,"outcome":%q,"spent":5,"bytes":%q}`,
		index, task, how, base64.StdEncoding.EncodeToString([]byte(result)))
}

// Wants tells that a run stands at a call.
func (p *Party) Wants(index int, task, body string) {
	p.t.Helper()
	p.Send(`{"verb":"wants","index":%d,"task":%q,"bytes":%q}`+"\n", index, task, base64.StdEncoding.EncodeToString([]byte(body)))
}

// Get waits for a call at the index.
func (p *Party) Get() (rid, body string) {
	p.t.Helper()
	line, err := p.line()
	var ms, size int
	if _, bad := fmt.Sscanf(line, "GET %s %d %d\r\n", &rid, &ms, &size); err != nil || bad != nil || ms < 1 {
		p.t.Fatalf("%q came, want a call (%v)", line, err)
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(p.in, b); err != nil || !bytes.HasSuffix(b, []byte("\r\n")) {
		p.t.Fatalf("call cut off: %q %v", b, err)
	}
	return rid, string(b[:size])
}

// Stub is a client stub's connection.
type Stub struct {
	t    *testing.T
	Conn net.Conn
	in   *bufio.Reader
}

// Stub connects to the program, and asks again while it does not listen yet.
func (w *World) Stub() *Stub {
	w.T.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", w.Listen)
		if err == nil {
			w.T.Cleanup(func() { c.Close() })
			return &Stub{w.T, c, bufio.NewReader(c)}
		}
		if time.Now().After(end) {
			w.T.Fatal(err)
		}
	}
}

// Send writes a line.
func (s *Stub) Send(format string, args ...any) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.Conn, format+"\n", args...); err != nil {
		s.t.Fatal(err)
	}
}

// Ask sends a request of a band with the body; more fields of its params may follow.
func (s *Stub) Ask(id int, band, rid, body, more string) {
	s.t.Helper()
	s.Send(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":%q,"t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":%q%s}}`,
		id, band, rid, time.Now().UnixMilli(), base64.StdEncoding.EncodeToString([]byte(body)), more)
}

// Reply is a message to a stub.
type Reply struct {
	ID     any
	Method string
	Result struct {
		Doc     string
		Serving bool
		Hint    *float64
	}
	Error *struct {
		Code    int
		Message string
		Data    struct{ Backoff, Final float64 }
	}
}

// Code is the error's, 0 for a result.
func (r Reply) Code() int {
	if r.Error == nil {
		return 0
	}
	return r.Error.Code
}

// Doc is the result's body.
func (r Reply) Doc() string {
	raw, _ := base64.StdEncoding.DecodeString(r.Result.Doc)
	return string(raw)
}

// Read waits for the next message; closed tells that the connection is.
func (s *Stub) Read() (r Reply, closed bool) {
	s.t.Helper()
	_ = s.Conn.SetReadDeadline(time.Now().Add(patience))
	line, err := s.in.ReadString('\n')
	if err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			s.t.Fatal("nothing came to a stub")
		}
		return r, true
	}
	if err := json.Unmarshal([]byte(line), &r); err != nil {
		s.t.Fatalf("%q: %v", line, err)
	}
	return r, false
}

// Ends fails unless the program ends the connection now, by no reset and with nothing more on it.
func (s *Stub) Ends() {
	s.t.Helper()
	_ = s.Conn.SetReadDeadline(time.Now().Add(patience))
	if more, err := io.ReadAll(s.in); err != nil || len(more) > 0 {
		s.t.Fatalf("%q and %v, want the connection's end", more, err)
	}
}

// Closing fails unless the next message is the notice that no more may be sent on this connection.
func (s *Stub) Closing() {
	s.t.Helper()
	if r, closed := s.Read(); closed || r.Method != "closing" {
		s.t.Fatalf("got %+v (closed %v), want closing", r, closed)
	}
}

// Wants fails unless the next message answers that id with that code and, for a result, that body.
func (s *Stub) Wants(id, code int, body string) Reply {
	s.t.Helper()
	r, closed := s.Read()
	if closed || r.ID != float64(id) || r.Code() != code || r.Doc() != body {
		s.t.Fatalf("got %+v (closed %v), want id %d, code %d, %q", r, closed, id, code, body)
	}
	return r
}

// Obey runs all that is started, with this result, until the link breaks; its first notice has that number.
func (p *Party) Obey(first int, result string) {
	for n := first; ; {
		line, err := p.line()
		if err != nil {
			return
		}
		var m struct{ Verb, Task string }
		if _ = json.Unmarshal([]byte(line), &m); m.Verb == "start" {
			if _, err = fmt.Fprintln(p.conn, EndLine(n, m.Task, "good", result)); err != nil {
				return
			}
			n++
		}
	}
}
