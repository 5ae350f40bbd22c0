package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fulmarhoist.example/internal/standin/keyedstore"
)

// Bounds of the site tsenher-gw, which the settings of the instances repeat.
const (
	graceTime   = 6 * time.Second
	readyWithin = 20 * time.Second
)

// errNotRun reports that a case could not be run; the exit code is 2.
var errNotRun = errors.New("the case could not run")

// world is one small deployment on loopback: the store's stand-in, servers and
// entry instances, with a record of what happens.
type world struct {
	dir     string // temporary folder for settings and logs
	record  *os.File
	started time.Time

	store     *keyedstore.Store
	storeAddr string
	prefix    string // first three numbers of the loopback addresses of this run

	mu        sync.Mutex
	instances []*instance
	servers   []*server
	runs      map[string][]*server // servers that ran a request, by its id
}

// ran records that a server begins to run a request.
func (w *world) ran(id string, s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], s)
}

// runCount returns how many servers began to run a request.
func (w *world) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id])
}

// ranBy returns the service that ran a request last, or "".
func (w *world) ranBy(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.runs[id]); n > 0 {
		return w.runs[id][n-1].service
	}
	return ""
}

// newWorld starts the stand-in of the store.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{dir: dir, record: file, started: time.Now(), store: keyedstore.New(), runs: map[string][]*server{}}
	w.prefix = fmt.Sprintf("127.%d.%d.", 1+pid/250%200, 1+pid%250)
	listener, err := net.Listen("tcp", w.prefix+"250:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store.Handler()) }()
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, s := range w.servers {
		s.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
}

const (
	hostName   = "shop.example"
	healthPath = "/health"
)

// publish writes a configuration to the store.
func (w *world) publish(version int, services []string, routes []route) {
	routeList, serviceList := []any{}, []any{}
	for n, r := range routes {
		routeList = append(routeList, map[string]any{
			"name": fmt.Sprintf("r%d", n), "host": hostName, "path_prefix": r.prefix, "kind": r.kind,
			"timeout_ms": r.timeout.Milliseconds(), "target_latency_ms": 1200, "max_attempts": 2, "priority": 1, "service": r.service,
		})
	}
	for _, s := range services {
		serviceList = append(serviceList, map[string]any{
			"name": s, "health_path": healthPath, "max_conns": 260, "warmup_s": 3, "warmup_per_s": 3.5,
		})
	}
	w.store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.note("operator: version %d acknowledged", version)
}

// instance is an entry instance: a process of the program of the deploy file.
type instance struct {
	w                       *world
	name, zone, ip          string
	front, ready, directory string
	settings                string
	cmd                     *exec.Cmd
	ended                   chan struct{}
	exit                    error
}

// addInstance writes the settings of an instance and starts it.
func (w *world) addInstance(number int, zone string) (*instance, error) {
	i := &instance{w: w, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: w.prefix + strconv.Itoa(number)}
	var ports []string
	var held []net.Listener
	for range 5 {
		l, err := net.Listen("tcp", i.ip+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	for _, l := range held {
		_ = l.Close()
	}
	internal := 20003 // below the ephemeral range; the address is this run's own
	i.front, i.ready, i.directory = i.ip+":"+ports[0], i.ip+":"+ports[1], i.ip+":"+ports[2]
	i.settings = filepath.Join(w.dir, i.name+".conf")
	lines := []string{
		"self.node=" + i.name, "self.role=entry", "self.machine_class=front", "self.tiers=front,directory",
		"self.ip=" + i.ip, "self.zone=" + zone, "self.region=ub", "self.bootstrap=false",
		"self.limits.cpu_share=0.848", "self.limits.cores=1", "self.limits.memory_mb=717", "self.limits.max_fds=4096",
		"network.listen.front=" + i.front, "network.listen.ready=" + i.ready, "network.listen.directory=" + i.directory,
		fmt.Sprintf("network.internal_ports=%d,%d", internal, internal+15),
		"platform.heartbeat_ms=1500", "platform.platform.address=" + w.storeAddr, "platform.platform.form=log",
		"platform.platform.parts=12", "platform.platform.min_ttl_ms=1000", "platform.platform.keep_s=300",
		"terms.policies=base,drain,config,cost,retry,recover,health,places,platform",
		"terms.policy_params.touch_ms=3000", "terms.policy_params.drain_ms=2000", "terms.policy_params.grace_s=6",
		"terms.policy_params.loss_slack_ms=200", "terms.policy_params.config_apply_ms=2000",
		"terms.policy_params.budget_ratio=0.2", "terms.policy_params.budget_window_s=10", "terms.policy_params.budget_extra=64",
		"terms.policy_params.warmup_overshoot=1.5", "terms.policy_params.warmup_slack=5", "terms.policy_params.evacuate_ms=5000",
		"terms.policy_params.ttl_max_s=5", "terms.policy_params.probes_per_s=60",
	}
	if err := os.WriteFile(i.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	w.instances = append(w.instances, i)
	return i, i.start()
}

// start runs the process with the command of deploy/system.toml.
func (i *instance) start() error {
	out, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/bin/fulmarhoistd", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARHOIST_CONFIG=" + i.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.cmd, i.ended = cmd, ended
	i.w.note("%s: process started", i.name)
	go func() {
		i.exit = cmd.Wait()
		i.w.note("%s: process ended (%v)", i.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.w.note("%s: %v", i.name, s)
	_ = i.cmd.Process.Signal(s)
}

// kill kills the process unless it has ended, and waits for its end.
func (i *instance) kill() {
	select {
	case <-i.ended:
		return
	default:
	}
	_ = i.cmd.Process.Kill()
	<-i.ended
}

// awaitReady waits until the readiness check of the instance succeeds.
func (i *instance) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + i.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			i.w.note("%s: ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s did not become ready", errNotRun, i.name)
}

// server is a stand-in of a server as the pages describe it. It runs a request
// for the time that the path names, and drops one whose connection closes.
type server struct {
	w                 *world
	id, service, zone string
	address           string
	born              int64
	listener          net.Listener
	slots             chan struct{}
	waiting           atomic.Int32
	seq               int
	crashed           atomic.Bool
	loseEvery         atomic.Int64 // loses one answer in so many runs by a reset; 0 for none
	runCount          atomic.Int64
	onArrival         func(s *server, r *http.Request) bool // if not nil, may crash the server when it begins to run a request
	mu                sync.Mutex
	conns             map[net.Conn]bool
}

const (
	serverSlots = 2
	serverQueue = 4
)

// addServer starts a server and registers it.
func (w *world) addServer(id, service, zone string, number int) (*server, error) {
	l, err := net.Listen("tcp", w.prefix+strconv.Itoa(number)+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().Add(-time.Minute).UnixMilli(), listener: l,
		slots: make(chan struct{}, serverSlots), conns: map[net.Conn]bool{},
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go s.accept(l)
	s.register("ready")
	return s, nil
}

// register writes the entry of the server to the store.
func (s *server) register(state string) {
	s.seq++
	s.w.store.Put("keyed.servers", s.id, map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": serverSlots},
		"status": map[string]any{"state": state, "seq": s.seq, "warmup_left_ms": 0},
	})
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// stop closes the listener and all connections, as the end of the process does.
func (s *server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// received is a request that was read from a connection.
type received struct {
	request *http.Request
	body    []byte
}

// serve answers the requests of a connection one after the other. The reader notices
// at any time that the connection ends.
func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	requests, gone := make(chan received), make(chan struct{})
	go func() {
		defer close(gone)
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			requests <- received{r, body}
		}
	}()
	for {
		select {
		case r := <-requests:
			if !s.handle(r.request, r.body, c, gone) {
				go func() { // lets the reader end
					for {
						select {
						case <-requests:
						case <-gone:
							return
						}
					}
				}()
				return
			}
		case <-gone:
			return
		}
	}
}

// reset closes a connection by a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// load is the value of the load header.
func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d,100", len(s.slots), s.waiting.Load(), serverSlots)
}

// handle answers one request. It returns false if the connection has ended.
func (s *server) handle(r *http.Request, body []byte, c net.Conn, gone <-chan struct{}) bool {
	id := r.Header.Get("X-Fulmarhoist-Request-Id")
	if r.URL.Path == healthPath {
		return s.write(c, 200, "", "ok", "X-Fulmarhoist-Instance-Id: "+s.id, "X-Fulmarhoist-Warmup-Ms: 0")
	}
	if expected := r.Header.Get("X-Fulmarhoist-Expected-Instance"); expected != "" && expected != s.id {
		return s.write(c, 421, id, "", "X-Fulmarhoist-Instance-Id: "+s.id)
	}
	if s.waiting.Add(1) > serverQueue+serverSlots {
		s.waiting.Add(-1)
		return s.write(c, 503, id, "", "X-Fulmarhoist-Not-Executed: 1")
	}
	s.w.note("request %s reaches server %s", id, s.id)
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	defer func() { <-s.slots }()
	s.w.ran(id, s)
	s.w.note("request %s: server %s (%s) runs it", id, s.id, s.service)
	if s.onArrival != nil && s.onArrival(s, r) {
		return false
	}
	timer := time.NewTimer(workTime(r.URL.Path))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
		if !s.crashed.Load() {
			s.w.note("request %s: the instance closed the connection to server %s, which was at work", id, s.id)
		}
		return false
	}
	if every := s.loseEvery.Load(); every > 0 && s.runCount.Add(1)%every == 0 {
		s.w.note("request %s: server %s has run it, and its answer is lost by a reset", id, s.id)
		reset(c)
		return false
	}
	s.w.note("request %s: server %s has run it and answers", id, s.id)
	return s.write(c, 200, id, "answer to "+id+" "+string(body[:min(len(body), 64)]), "X-Fulmarhoist-Server-Signature: "+s.id+"."+id)
}

// workTime returns how long a request runs: the last part of its path is the time
// in milliseconds.
func workTime(path string) time.Duration {
	ms, _ := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	return time.Duration(ms) * time.Millisecond
}

func (s *server) write(c net.Conn, status int, id, body string, headers ...string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Fulmarhoist-Server-Load: %s\r\n", status, http.StatusText(status), s.load())
	if id != "" {
		fmt.Fprintf(&b, "X-Fulmarhoist-Request-Id: %s\r\n", id)
	}
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}
