package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// poisonHeader marks the one consumer whose request crashes each server that
	// begins to run it, as a faulty account would.
	poisonHeader   = "X-Account"
	poisonAccount  = "account-13"
	poisonServers  = 18
	poisonDuration = 24 * time.Second
	poisonInterval = 1500 * time.Millisecond
	restartTime    = 3 * time.Second
	// touchTime is touch_ms, and allowedRetries what BUDGET allows later than that
	// after the third crash.
	touchTime      = 3 * time.Second
	allowedRetries = 3
)

// exchangeAs sends one request of an account on a new connection and returns the
// status, or 0 if the connection ended without an answer.
func exchangeAs(w *world, i *instance, method, path, id, account string) int {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		w.note("request %s: no connection to %s: %v", id, i.name, err)
		return 0
	}
	defer func() { _ = conn.Close() }()
	w.note("request %s %s %s of %s sent to %s", id, method, path, account, i.name)
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Fulmarhoist-Request-Id: %s\r\nX-Fulmarhoist-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
		method, path, hostName, poisonHeader, account, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("request %s: no answer: %v", id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	w.note("request %s: answered %d", id, response.StatusCode)
	return response.StatusCode
}

// poisonedRequest lets one consumer repeat a request that crashes each server that
// begins to run it, while others send requests with the same path that are served.
func poisonedRequest(w *world, trouble bool) ([]string, error) {
	w.publish(7, []string{"orders"}, []route{{"/status/", "idempotent", "orders", 3 * time.Second}, {"/orders/", "non_idempotent", "orders", 3 * time.Second}})
	var mu sync.Mutex
	var crashes []time.Time // times at which the request crashed a server
	var late []string       // arrivals later than touchTime after the third crash
	restarts := 0
	var pending sync.WaitGroup
	var onArrival func(s *server, r *http.Request) bool
	onArrival = func(s *server, r *http.Request) bool {
		if !trouble || r.Header.Get(poisonHeader) != poisonAccount {
			return false
		}
		id := r.Header.Get("X-Fulmarhoist-Request-Id")
		mu.Lock()
		now := time.Now()
		if len(crashes) >= 3 && now.Sub(crashes[2]) > touchTime {
			late = append(late, id)
			w.note("request %s reaches server %s %.1f s after the third crash", id, s.id, now.Sub(crashes[2]).Seconds())
		}
		crashes = append(crashes, now)
		restarts++
		next := fmt.Sprintf("i-%04x", 0x8a00+restarts)
		mu.Unlock()
		w.note("request %s crashes server %s, which was running %d requests", id, s.id, len(s.slots))
		s.crash()
		pending.Go(func() {
			time.Sleep(restartTime)
			if started, err := w.restart(s, next); err == nil {
				started.onArrival = onArrival
			}
		})
		return true
	}
	for n := range poisonServers {
		s, err := w.addServer(fmt.Sprintf("i-%04x", 0x7f30+n), "orders", fmt.Sprintf("ub-%c", 'a'+n%3), 100+n)
		if err != nil {
			return nil, err
		}
		s.onArrival = onArrival
	}
	for n := range 3 {
		if _, err := w.addInstance(1+n, fmt.Sprintf("ub-%c", 'a'+n)); err != nil {
			return nil, err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	var lost, orders int
	end := time.Now().Add(poisonDuration)
	for n := 0; time.Now().Before(end); n++ {
		i := w.instances[n%3]
		pending.Go(func() { exchangeAs(w, i, "GET", "/status/today/100", fmt.Sprintf("a%015x", n), "account-1") })
		pending.Go(func() {
			status := exchangeAs(w, i, "POST", fmt.Sprintf("/orders/%d/1000", n), fmt.Sprintf("b%015x", n), "account-1")
			mu.Lock()
			defer mu.Unlock()
			orders++
			if status == 0 || status == http.StatusBadGateway {
				lost++
			}
		})
		if n%int(poisonInterval/(50*time.Millisecond)) == 0 {
			pending.Go(func() {
				exchangeAs(w, w.instances[n/30%3], "GET", "/status/today/100", fmt.Sprintf("c%015x", n), poisonAccount)
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	pending.Wait()
	w.note("the request crashed %d servers; it reached servers %d times later than touch_ms after the third crash; %d of %d orders got 502 or no answer",
		len(crashes), len(late), lost, orders)
	if len(late) > allowedRetries {
		return []string{fmt.Sprintf("BUDGET: a request that had crashed three servers reached servers %d times later than touch_ms after that; %d servers crashed, and %d of %d orders of other consumers got 502 or no answer",
			len(late), len(crashes), lost, orders)}, nil
	}
	return nil, nil
}
