package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// post sends one request with a small body on a new connection and returns the
// status, or 0 if the connection ended without an answer.
func post(w *world, i *instance, path, id, body string) int {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		w.note("request %s: no connection to %s: %v", id, i.name, err)
		return 0
	}
	defer func() { _ = conn.Close() }()
	w.note("request %s POST %s sent to %s", id, path, i.name)
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Fulmarhoist-Request-Id: %s\r\nX-Fulmarhoist-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
		path, hostName, id, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("request %s: no answer: %v", id, err)
		return 0
	}
	answer, err := io.ReadAll(response.Body)
	w.note("request %s: answered %d %q, signature %q, %v", id, response.StatusCode, answer, response.Header.Get("X-Fulmarhoist-Server-Signature"), err)
	return response.StatusCode
}

// encodedSlash splits a route and then sends requests whose path has an encoded slash
// where the prefix of the new route has a slash. The new prefix does not begin their
// path, so every version sends them to the first service.
func encodedSlash(w *world, trouble bool) ([]string, error) {
	first := route{"/scans/", "non_idempotent", "clinic", 3 * time.Second}
	services := []string{"clinic", "orders"}
	w.publish(7, services, []route{first})
	for n := range 12 {
		if _, err := w.addServer(fmt.Sprintf("i-%04x", 0x7f30+n), services[n%2], fmt.Sprintf("ub-%c", 'a'+n/2%3), 100+n); err != nil {
			return nil, err
		}
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
	if trouble {
		w.publish(8, services, []route{first, {"/scans/public/", "non_idempotent", "orders", 3 * time.Second}})
	}
	time.Sleep(3 * time.Second) // config_apply_ms is 2,000
	var breaks []string
	for n := range 12 {
		id := fmt.Sprintf("e%015x", n)
		if status := post(w, w.instances[n%3], "/scans/public%2Fpatient-17/20", id, "scan"); status != http.StatusOK {
			return nil, fmt.Errorf("%w: request %s was answered %d", errNotRun, id, status)
		}
		if service := w.ranBy(id); service != "clinic" {
			breaks = append(breaks, fmt.Sprintf("ROUTE: request %s for /scans/public%%2Fpatient-17/20 was run by the service %q; every version sends it to \"clinic\"", id, service))
		}
	}
	return breaks, nil
}

// The largest dose of answer_lost in the site file is 0.6 of the servers and 0.4 of
// their answers for 4 s. Here 7 of 12 servers lose the answer of every third request
// that they ran for 4 s.
const (
	lossyServers  = 7
	lossEvery     = 3
	lossDuration  = 4 * time.Second
	orderInterval = 8 * time.Millisecond
)

// encodedSlashTwice sends requests of a non-idempotent route whose path has an encoded
// slash where the prefix of an idempotent route has a slash, while servers lose answers.
func encodedSlashTwice(w *world, trouble bool) ([]string, error) {
	w.publish(7, []string{"orders"}, []route{
		{"/orders/", "non_idempotent", "orders", 3 * time.Second}, {"/orders/status/", "idempotent", "orders", 3 * time.Second},
	})
	var servers []*server
	for n := range 12 {
		s, err := w.addServer(fmt.Sprintf("i-%04x", 0x7f30+n), "orders", fmt.Sprintf("ub-%c", 'a'+n/2%3), 100+n)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
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
	if trouble {
		w.note("%d of 12 servers lose the answer of every third request from now on", lossyServers)
		for _, s := range servers[:lossyServers] {
			s.loseEvery.Store(lossEvery)
		}
	}
	var failed atomic.Int32
	var pending sync.WaitGroup
	paths := []string{}
	for end := time.Now().Add(lossDuration); time.Now().Before(end); time.Sleep(orderInterval) {
		n := len(paths)
		path := fmt.Sprintf("/orders/PO-%d/20", n) // every second order has a plain path, for comparison
		if n%2 == 1 {
			path = fmt.Sprintf("/orders/status%%2FPO-%d/20", n)
		}
		paths = append(paths, path)
		pending.Go(func() {
			if post(w, w.instances[n%3], path, orderID(n), fmt.Sprintf("order %d", n)) != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	for _, s := range servers {
		s.loseEvery.Store(0)
	}
	w.note("no answer is lost from now on")
	pending.Wait()
	var again [2]int
	var breaks []string
	for n, path := range paths {
		if count := w.runCount(orderID(n)); count > 1 {
			again[n%2]++
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s, POST %s, is not idempotent and ran %d times", orderID(n), path, count))
		}
	}
	w.note("%d orders, %d without a success; ran more than once: %d with a plain path, %d with an encoded slash", len(paths), failed.Load(), again[0], again[1])
	return breaks, nil
}

// orderID returns the id of an order.
func orderID(number int) string { return fmt.Sprintf("f%015x", number) }
