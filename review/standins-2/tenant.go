//go:build review

package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	tenantStubs  = 4
	tenantRate   = 130.0           // requests a second
	stubsLearn   = 4 * time.Second // after a reload, until the stubs send nothing more for the removed customer
	removedShare = 0.18
	leaver       = "toros-meyve"
)

// customers of gebze-main with their shares; the last one leaves.
var customers = []struct {
	name  string
	share float64
}{{"marmara-gida", 0.32}, {"ege-sut", 0.27}, {"kuzey-ilac", 0.23}, {leaver, removedShare}}

// tracked is a request of the case tenant.
type tracked struct {
	rid, customer string
	written       time.Time
}

// tenantCase counts the requests of the customers that stay.
type tenantCase struct {
	w              *world
	address        string
	mu             sync.Mutex
	sent, answered int
	excused        int
	lost           []string
}

// playTenant: the operator removes a customer by a new configuration, and later adds it again, under load.
func playTenant(w *world) error {
	rt, err := newRuntime(func(string, []byte) (time.Duration, []byte) {
		return time.Duration(100+rand.Intn(140)) * time.Millisecond, []byte("done")
	}, func(task, _ string, _ []byte) { w.record("run of %s starts", task) })
	if err != nil {
		return err
	}
	rt.onCores = 0.12
	settings := settingsOf(80.57)
	with, without := []object{}, []object{}
	for _, customer := range customers {
		tenant := object{"name": customer.name, "fraction": customer.share, "quota_per_s": 700 * customer.share}
		with = append(with, tenant)
		if customer.name != leaver {
			without = append(without, tenant)
		}
	}
	settings["tenants"] = with
	i := w.newInstance("n1", rt, object{"cores": 1, "memory_mb": 64, "sockets": 512}, settings, "")
	if err := w.launch(i); err != nil {
		return err
	}
	c := &tenantCase{w: w, address: i.listen}
	var mu sync.Mutex
	isMember := true // as the stubs know it
	stop := make(chan struct{})
	var stubs sync.WaitGroup
	for n := range tenantStubs {
		random := rand.New(rand.NewSource(int64(n)))
		stubs.Go(func() {
			s := &tenantStub{c: c, number: n}
			for {
				select {
				case <-stop:
					time.Sleep(4 * time.Second)
					s.finish()
					return
				case <-time.After(time.Duration(random.ExpFloat64() * tenantStubs / tenantRate * float64(time.Second))):
				}
				mu.Lock()
				leaverStays := isMember
				mu.Unlock()
				if customer := pick(random); customer != leaver || leaverStays {
					s.send(customer)
				}
			}
		})
	}
	time.Sleep(15 * time.Second)
	for change := range 6 {
		time.Sleep(5 * time.Second)
		if !w.trouble {
			continue
		}
		isRemoval := change%2 == 0
		settings["tenants"] = with
		if isRemoval {
			settings["tenants"] = without
		}
		text, _ := json.Marshal(i.config)
		if err := os.WriteFile(i.configFile+".new", text, 0o600); err != nil {
			return err
		}
		if err := os.Rename(i.configFile+".new", i.configFile); err != nil {
			return err
		}
		w.record("new configuration, %s removed: %v", leaver, isRemoval)
		_ = i.cmd.Process.Signal(syscall.SIGHUP)
		time.AfterFunc(stubsLearn, func() {
			mu.Lock()
			defer mu.Unlock()
			isMember = !isRemoval
		})
	}
	time.Sleep(5 * time.Second)
	close(stop)
	stubs.Wait()
	w.record("of the customers that stay: sent %d, answered %d, sent again after a close within 50 ms %d, lost %d",
		c.sent, c.answered, c.excused, len(c.lost))
	if float64(len(c.lost)) > maxLostShare*float64(c.sent) {
		w.breach("%d of %d requests of customers that stay got no answer, first: %s", len(c.lost), c.sent, c.lost[0])
	}
	return nil
}

// pick picks a customer by its share.
func pick(random *rand.Rand) string {
	x := random.Float64()
	for _, customer := range customers {
		if x -= customer.share; x < 0 {
			return customer.name
		}
	}
	return leaver
}

// tenantStub is a client stub with one connection.
type tenantStub struct {
	c      *tenantCase
	number int

	mu      sync.Mutex
	conn    net.Conn
	closing bool
	lastID  int
	open    map[int]*tracked
}

func (s *tenantStub) send(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.closing {
		if len(s.open) == 0 {
			s.conn.Close()
		}
		s.conn = nil
	}
	if s.conn == nil {
		conn, err := net.DialTimeout("tcp", s.c.address, time.Second)
		if err != nil {
			return
		}
		s.conn, s.closing, s.lastID, s.open = conn, false, 0, map[int]*tracked{}
		go s.read(conn, s.open)
	}
	if len(s.open) >= maxOpen {
		return
	}
	n := requestNumber.Add(1)
	t := &tracked{rid: fmt.Sprintf("%016x", n), customer: customer, written: time.Now()}
	params := object{"rid": t.rid, "t0": t.written.UnixMilli(), "peer": s.number, "acct": customer, "mem": 31,
		"prio": float64(n%97) / 97, "doc": base64.StdEncoding.EncodeToString([]byte(t.rid))}
	class := "trace"
	if n%2 == 0 {
		class = "excursion"
		params["token"] = fmt.Sprintf("%032x", n)
	}
	s.lastID++
	s.open[s.lastID] = t
	line, _ := json.Marshal(object{"jsonrpc": "2.0", "id": s.lastID, "method": class, "params": params})
	_ = s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = s.conn.Write(append(line, '\n'))
	s.c.w.record("stub %d: %s of %s sent as %d", s.number, t.rid, customer, s.lastID)
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if customer != leaver {
		s.c.sent++
	}
}

func (s *tenantStub) read(conn net.Conn, open map[int]*tracked) {
	in := bufio.NewScanner(conn)
	isClosing := false
	for in.Scan() {
		var m struct {
			ID     int
			Method string
			Error  *struct {
				Code    int
				Message string
			}
		}
		_ = json.Unmarshal(in.Bytes(), &m)
		s.mu.Lock()
		if m.Method == "closing" {
			isClosing = true
			s.closing = s.closing || s.conn == conn
		} else if t := open[m.ID]; t != nil {
			outcome := "served"
			if m.Error != nil {
				outcome = fmt.Sprint(m.Error.Code, " ", m.Error.Message)
			}
			s.c.w.record("stub %d: %s of %s answered: %s", s.number, t.rid, t.customer, outcome)
			if t.customer != leaver {
				s.c.mu.Lock()
				s.c.answered++
				s.c.mu.Unlock()
			}
			delete(open, m.ID)
		}
		if isClosing && len(open) == 0 {
			conn.Close()
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered(open, time.Now(), isClosing)
	if s.conn == conn {
		s.conn = nil
	}
	conn.Close()
}

// finish ends the stub: what is open now was not answered in its time.
func (s *tenantStub) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.Close()
	}
}

// unanswered records the requests that were open at the end of their connection. Those that crossed it within 50 ms are excused.
func (s *tenantStub) unanswered(open map[int]*tracked, ended time.Time, isClosing bool) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for id, t := range open {
		if t.customer == leaver {
			continue
		}
		text := fmt.Sprintf("stub %d: %s of %s, written at %.3f s; the connection ended at %.3f s, notified before: %v", s.number, t.rid,
			t.customer, t.written.Sub(s.c.w.start).Seconds(), ended.Sub(s.c.w.start).Seconds(), isClosing)
		if ended.Sub(t.written) < crossing {
			s.c.excused++
		} else {
			s.c.lost = append(s.c.lost, text)
			s.c.w.record("LOST: %s", text)
		}
		delete(open, id)
	}
}
