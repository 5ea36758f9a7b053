package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type run struct {
	stop  chan string // the reason
	made  int
	done  chan struct{}
	final int
}

// box is a model server or plain server that can crash.
type box struct {
	d       *deployment
	service string
	ip      string
	address string
	model   bool
	version string
	born    bool
	fixedID string

	mu       sync.Mutex
	id       string
	started  int64
	seq      int
	up       bool
	draining bool
	l        net.Listener
	srv      *http.Server
	runs     map[string]*run
	handles  map[string]int
	gen      int
	agent    *machine
}

var ledger = struct {
	sync.Mutex
	ran map[string]int
}{ran: map[string]int{}}

var boxIDs atomic.Int64

func (d *deployment) newBox(service, version string, model, born bool) *box {
	ip := d.newIP()
	b := &box{d: d, service: service, ip: ip, address: d.address(ip, serverPort), model: model, version: version, born: born}
	if born {
		b.fixedID = "s-" + ip
	}
	return b
}

func (b *box) start() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.id = b.fixedID
	if b.id == "" {
		b.id = fmt.Sprintf("i-%d", boxIDs.Add(1))
	}
	b.started, b.seq, b.up, b.draining = time.Now().UnixMilli(), 0, true, false
	b.runs, b.handles = map[string]*run{}, map[string]int{}
	b.gen++
	gen := b.gen
	b.l = l
	id := b.id
	b.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, gen, id) })}
	srv := b.srv
	b.mu.Unlock()
	go srv.Serve(l)
	go b.beat(gen)
	b.d.record.write("server %s of %s %s up at %s", id, b.service, b.version, b.address)
	return nil
}

func (b *box) crash() {
	b.mu.Lock()
	b.up = false
	b.gen++
	srv := b.srv
	b.mu.Unlock()
	srv.Close()
	b.d.record.write("server %s of %s crashed", b.id, b.service)
}

func (b *box) isGen(gen int) bool { b.mu.Lock(); defer b.mu.Unlock(); return b.gen == gen }

func (b *box) beat(gen int) {
	n := rand.IntN(10)
	for {
		b.mu.Lock()
		if b.gen != gen {
			b.mu.Unlock()
			return
		}
		b.seq++
		state := "ready"
		if b.draining {
			state = "draining"
		}
		m := map[string]any{"backend": b.service, "address": b.address, "zone": b.d.zones[0], "version": b.version, "slots": 5, "state": state,
			"cold_remaining_ms": 0, "sequence": b.seq}
		if b.model {
			m["phase"], m["models"] = "mixed", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
		}
		if b.born {
			m["born"] = b.started
		}
		id := b.id
		b.mu.Unlock()
		body, _ := json.Marshal(m)
		for range 6 {
			in := b.d.running("control")
			if len(in) == 0 {
				break
			}
			status, _, err := call(http.MethodPut, b.d.address(in[n%len(in)].ip, controlPort), "/carawaypitch/instances/"+id, body, time.Second)
			if err == nil && status/100 == 2 {
				break
			}
			n++
		}
		time.Sleep(time.Duration(900+rand.IntN(500)) * time.Millisecond)
	}
}

func noteRun(attempt string) {
	ledger.Lock()
	ledger.ran[attempt]++
	ledger.Unlock()
}

func (b *box) serve(w http.ResponseWriter, r *http.Request, gen int, id string) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(421)
		return
	}
	if r.URL.Path == "/carawaypitch/report" {
		b.mu.Lock()
		m := map[string]any{"phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 2,
			"queued": max(0, len(b.runs)-5), "active": min(5, len(b.runs)), "kv_in_use": 1000 * len(b.runs), "kv_size": 236203, "handles": len(b.handles)}
		if b.born {
			m["born"] = b.started
		}
		b.mu.Unlock()
		json.NewEncoder(w).Encode(m)
		return
	}
	if r.URL.Path == "/carawaypitch/kv-move" {
		b.move(w, r)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/carawaypitch/kv-handle/") {
		b.mu.Lock()
		h := strings.TrimPrefix(r.URL.Path, "/carawaypitch/kv-handle/")
		_, ok := b.handles[h]
		delete(b.handles, h)
		b.mu.Unlock()
		if !ok {
			w.WriteHeader(404)
		}
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !b.model {
		noteRun(attempt)
		time.Sleep(time.Duration(5+rand.IntN(60)) * time.Millisecond)
		if !b.isGen(gen) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Server-Signature", "sig-"+attempt)
		fmt.Fprintf(w, "ran %s %s %s %x", attempt, r.Method, r.RequestURI, len(body))
		return
	}
	b.stream(w, r, attempt, gen, body)
}

func (b *box) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID    string `json:"id"`
		To    string `json:"to"`
		Final bool   `json:"final"`
	}
	json.NewDecoder(r.Body).Decode(&order)
	b.mu.Lock()
	x := b.runs[order.ID]
	b.mu.Unlock()
	if x == nil {
		w.WriteHeader(404)
		return
	}
	time.Sleep(2 * time.Millisecond)
	if rand.IntN(4) == 0 {
		w.WriteHeader(503)
		return
	}
	select {
	case x.stop <- "moved":
	default:
	}
	<-x.done
	h := fmt.Sprintf("h%d", boxIDs.Add(1))
	b.mu.Lock()
	b.handles[h] = x.final
	b.mu.Unlock()
	if rand.IntN(10) == 0 {
		panic(http.ErrAbortHandler) // the answer is lost
	}
	json.NewEncoder(w).Encode(map[string]any{"handle": h, "made": x.final})
}

func (b *box) stream(w http.ResponseWriter, r *http.Request, attempt string, gen int, body []byte) {
	var spec struct {
		N int `json:"n"`
	}
	json.Unmarshal(body, &spec)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if h := r.Header.Get("Kv-From"); h != "" {
		_, h, _ = strings.Cut(h, "/")
		b.mu.Lock()
		_, ok := b.handles[h]
		delete(b.handles, h)
		b.mu.Unlock()
		if !ok {
			w.Header().Set("X-Attempt-Id", attempt)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(503)
			return
		}
	}
	x := &run{stop: make(chan string, 1), done: make(chan struct{})}
	b.mu.Lock()
	if len(b.runs) >= 35 {
		b.mu.Unlock()
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	waiting := len(b.runs) >= 5
	b.runs[attempt] = x
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		if b.runs[attempt] == x {
			delete(b.runs, attempt)
		}
		b.mu.Unlock()
		close(x.done)
	}()
	if waiting {
		time.Sleep(100 * time.Millisecond)
	} else {
		time.Sleep(15 * time.Millisecond)
	}
	if !b.isGen(gen) {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Kv-From") == "" {
		noteRun(attempt)
	}
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Server-Signature", "sig-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	f := w.(http.Flusher)
	x.final = from
	for k := from + 1; k <= spec.N; k++ {
		select {
		case <-x.stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(10+rand.IntN(20)) * time.Millisecond):
		}
		if !b.isGen(gen) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d/%d\n\n", k, b.version, k, spec.N)
		f.Flush()
		x.final = k
	}
}

type soak struct {
	d       *deployment
	o       *operator
	entries []*machine
	agents  []*machine
	boxes   []*box
	bad     atomic.Int64
	counts  sync.Map
	stop    chan struct{}
	quietAt atomic.Int64
}

func (s *soak) fail(format string, args ...any) {
	s.bad.Add(1)
	text := fmt.Sprintf(format, args...)
	s.d.record.write("BROKEN %s", text)
	fmt.Println("BROKEN", text)
}

func (s *soak) count(name string) {
	v, _ := s.counts.LoadOrStore(name, new(atomic.Int64))
	v.(*atomic.Int64).Add(1)
}

func (s *soak) entry() *machine {
	for {
		var ok []*machine
		for _, m := range s.entries {
			if m.isRunning() && time.Since(m.started) > 300*time.Millisecond {
				ok = append(ok, m)
			}
		}
		if len(ok) > 0 {
			return ok[rand.IntN(len(ok))]
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func isPromise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (s *soak) plain(c *http.Client, unsafe bool) {
	attempt := fmt.Sprintf("p%08x", attempts.Add(1))
	path := "/safe/" + attempt + "?q=" + attempt
	method := http.MethodGet
	body := ""
	if unsafe {
		path, method, body = "/issue/"+attempt, http.MethodPost, strings.Repeat("x", rand.IntN(20000))
	}
	m := s.entry()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+s.d.address(m.ip, callerPort)+path, strings.NewReader(body))
	if unsafe && rand.IntN(2) == 0 {
		req.Body = io.NopCloser(strings.NewReader(body))
		req.ContentLength = -1
		req.GetBody = nil
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("X-Credential", "key-kept")
	resp, err := c.Do(req)
	status := 0
	var data []byte
	if err == nil {
		status = resp.StatusCode
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	s.count(fmt.Sprintf("plain unsafe=%t status=%d err=%t", unsafe, status, err != nil))
	if err == nil && status/100 == 2 {
		want := fmt.Sprintf("ran %s %s %s %x", attempt, method, path, len(body))
		if string(data) != want || resp.Header.Get("X-Server-Signature") != "sig-"+attempt {
			s.fail("MIXED %s got %q sig %q", attempt, data, resp.Header.Get("X-Server-Signature"))
		}
	}
	if unsafe {
		go func() {
			time.Sleep(6 * time.Second)
			ledger.Lock()
			n := ledger.ran[attempt]
			delete(ledger.ran, attempt)
			ledger.Unlock()
			if n > 1 {
				s.fail("TWICE %s ran %d times", attempt, n)
			}
			if isPromise(status) && n > 0 {
				s.fail("REFUSED %s status %d and ran %d", attempt, status, n)
			}
		}()
	}
}

func (s *soak) streaming(resumable bool) {
	n := 5 + rand.IntN(60)
	last, resumes, version := 0, "", ""
	prefix := "/once/"
	if resumable {
		prefix = "/chat/"
	}
	path := prefix + fmt.Sprint(rand.IntN(1e9))
	body, _ := json.Marshal(map[string]int{"n": n})
	for try := 0; try < 4; try++ {
		attempt := fmt.Sprintf("t%08x", attempts.Add(1))
		m := s.entry()
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.d.address(m.ip, callerPort)+path, bytes.NewReader(body))
		req.Host = host
		req.Header.Set("X-Attempt-Id", attempt)
		req.Header.Set("X-Deadline-Ms", "12000")
		req.Header.Set("X-Credential", "key-kept")
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", 400+rand.IntN(3000), 4*n))
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a2:60,%x:400", rand.IntN(1e9)))
		if last > 0 {
			req.Header.Set("Last-Event-Id", fmt.Sprint(last))
			req.Header.Set("Resumes", resumes)
		}
		was := last
		status, err := 0, error(nil)
		resp, e := callClient.Do(req)
		err = e
		complete := false
		if err == nil {
			status = resp.StatusCode
			if status == 200 {
				if resp.Header.Get("X-Server-Signature") == "" {
					s.fail("MIXED %s 200 without signature", attempt)
				}
				sc := bufio.NewReader(resp.Body)
				id := 0
				for {
					line, e := sc.ReadString('\n')
					if e != nil {
						err = e
						if errors.Is(e, io.EOF) && line == "" {
							complete, err = true, nil
						}
						break
					}
					if v, ok := strings.CutPrefix(line, "id: "); ok {
						id, _ = strconv.Atoi(strings.TrimSpace(v))
					}
					if v, ok := strings.CutPrefix(line, "data: "); ok {
						f := strings.Fields(v)
						if id != last+1 {
							s.fail("ORDER %s event %d after %d", attempt, id, last)
						}
						if version == "" {
							version, resumes = f[0], attempt
						} else if version != f[0] {
							s.fail("ORDER %s version %s after %s at event %d (resumed after %d, try %d)", attempt, f[0], version, id, was, try)
						}
						if f[1] != fmt.Sprintf("%d/%d", id, n) {
							s.fail("MIXED %s foreign event %q", attempt, v)
						}
						last = id
					}
				}
				if complete && last != n {
					s.fail("ORDER %s ends as complete at %d of %d", attempt, last, n)
				}
			} else {
				io.Copy(io.Discard, resp.Body)
			}
			resp.Body.Close()
		}
		cancel()
		s.count(fmt.Sprintf("stream resumable=%t resumed=%t status=%d complete=%t", resumable, was > 0, status, complete))
		if !resumable {
			a := attempt
			go func() {
				time.Sleep(14 * time.Second)
				ledger.Lock()
				k := ledger.ran[a]
				delete(ledger.ran, a)
				ledger.Unlock()
				if k > 1 {
					s.fail("TWICE stream %s ran %d", a, k)
				}
				if isPromise(status) && k > 0 {
					s.fail("REFUSED stream %s status %d ran %d", a, status, k)
				}
			}()
		}
		if complete && last == n || !resumable && last > 0 {
			return
		}
		if !resumable && !isPromise(status) {
			return
		}
		time.Sleep(time.Duration(20+rand.IntN(300)) * time.Millisecond)
	}
}

func soakCase(r *record, _ bool) error {
	d, err := newDeployment(r, small)
	if err != nil {
		return err
	}
	defer d.stop()
	length := 60 * time.Second
	if v, err := strconv.Atoi(os.Getenv("SOAK_S")); err == nil {
		length = time.Duration(v) * time.Second
	}
	s := &soak{d: d, o: &operator{d: d}, stop: make(chan struct{})}
	var core []*machine
	for i := range 3 {
		core = append(core, d.newMachine("control", d.zones[i], true))
	}
	for _, m := range core {
		if err := m.start(core); err != nil {
			return err
		}
	}
	for i := range 4 {
		m, err := d.addMachine("entry", d.zones[i%3], false, core)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, m)
	}
	plainR := func(n, p, k string) map[string]any { return plainRoute(n, p, k, "registry", 1500) }
	state := desired{
		Routes: []map[string]any{
			plainR("safe", "/safe/", "safe"), plainR("issue", "/issue/", "unsafe"),
			streamRoute("chat", "/chat/", "pool", true, 12000), streamRoute("once", "/once/", "pool", false, 12000),
		},
		Services: []map[string]any{plainService("registry"), modelService("pool")},
		Limits:   standardLimits,
		Tenants:  []map[string]any{{"name": "north", "api_keys": []string{"key-kept"}}},
	}
	state.Services[1]["runtime"].(map[string]any)["migrations"] = os.Getenv("MOVES") != "0"
	state.Routes[2]["priority"] = 2
	if err := s.o.put(state, 10*time.Second); err != nil {
		return err
	}
	born := rand.IntN(2) == 0
	versions := []string{"v1", "v2"}
	for i := range 6 {
		b := d.newBox("pool", versions[i%2], true, born)
		m := d.newMachine("agent", d.zones[i%3], false)
		m.ip = b.ip
		m.app = b.address
		if err := m.start(core); err != nil {
			return err
		}
		b.agent = m
		s.agents = append(s.agents, m)
		if err := b.start(); err != nil {
			return err
		}
		s.boxes = append(s.boxes, b)
	}
	for range 3 {
		b := d.newBox("registry", "v1", false, born)
		if err := b.start(); err != nil {
			return err
		}
		s.boxes = append(s.boxes, b)
	}
	for _, m := range s.entries {
		if err := d.awaitReady(m, 10*time.Second); err != nil {
			return err
		}
	}
	d.bootstrap = false
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second}}
			if i%2 == 0 {
				c = callClient
			}
			for {
				select {
				case <-s.stop:
					return
				default:
				}
				s.plain(c, rand.IntN(2) == 0)
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	for range 40 {
		wg.Go(func() {
			for {
				select {
				case <-s.stop:
					return
				default:
				}
				s.streaming(rand.IntN(3) > 0)
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	trouble := os.Getenv("KINDS")
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rand.IntN(2000)) * time.Millisecond)
		s.disturb(trouble, core, state)
	}
	close(s.stop)
	wg.Wait()
	time.Sleep(15 * time.Second)
	s.counts.Range(func(k, v any) bool {
		r.write("count %s: %d", k, v.(*atomic.Int64).Load())
		return true
	})
	if s.bad.Load() > 0 {
		return fmt.Errorf("%w: %d", errBroken, s.bad.Load())
	}
	return nil
}

func (s *soak) disturb(kinds string, core []*machine, state desired) {
	all := "entrykill,agentkill,corekill,freeze,crash,term,config,agentterm"
	if kinds == "" {
		kinds = all
	}
	list := strings.Split(kinds, ",")
	restart := func(m *machine, sig syscall.Signal, after time.Duration) {
		if !m.isRunning() {
			return
		}
		m.signal(sig)
		go func() {
			m.awaitEnd(8 * time.Second)
			time.Sleep(after)
			m.start(core)
		}()
	}
	pick := func(ms []*machine) *machine { return ms[rand.IntN(len(ms))] }
	pause := time.Duration(rand.IntN(1500)) * time.Millisecond
	switch list[rand.IntN(len(list))] {
	case "entrykill":
		restart(pick(s.entries), syscall.SIGKILL, pause)
	case "term":
		restart(pick(s.entries), syscall.SIGTERM, pause)
	case "agentkill":
		restart(pick(s.agents), syscall.SIGKILL, pause/4)
	case "agentterm":
		restart(pick(s.agents), syscall.SIGTERM, pause/4)
	case "corekill":
		restart(pick(core), syscall.SIGKILL, pause)
	case "freeze":
		m := pick(append(append(append([]*machine(nil), s.entries...), s.agents...), core...))
		if m.isRunning() {
			m.signal(syscall.SIGSTOP)
			time.Sleep(pause * 2)
			m.signal(syscall.SIGCONT)
		}
	case "longfreeze":
		m := pick(s.entries)
		if m.isRunning() {
			m.signal(syscall.SIGSTOP)
			time.Sleep(12 * time.Second)
			m.signal(syscall.SIGCONT)
		}
	case "crash":
		b := s.boxes[rand.IntN(len(s.boxes))]
		b.mu.Lock()
		up := b.up
		b.mu.Unlock()
		if up {
			b.crash()
			go func() {
				time.Sleep(200*time.Millisecond + pause)
				for b.start() != nil {
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	case "config":
		s.o.put(state, 3*time.Second)
	}
}
