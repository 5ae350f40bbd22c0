package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// smallDeployment starts three instances and six servers of the service orders in
// three zones, and waits until the instances are ready.
func smallDeployment(w *world, routes []route) error {
	w.publish(7, []string{"orders"}, routes)
	for n := range 6 {
		if _, err := w.addServer(fmt.Sprintf("i-%04x", 0x7f30+n), "orders", fmt.Sprintf("ub-%c", 'a'+n%3), 100+n); err != nil {
			return err
		}
	}
	for n := range 3 {
		if _, err := w.addInstance(1+n, fmt.Sprintf("ub-%c", 'a'+n)); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // the instances know each other, and no disturbance for touch_ms
	return nil
}

// pipelineStop sends pipelined idempotent requests and stops the instance by
// SIGTERM while servers are at work on them.
func pipelineStop(w *world, trouble bool) ([]string, error) {
	if err := smallDeployment(w, []route{{"/status/", "idempotent", "orders", 3 * time.Second}}); err != nil {
		return nil, err
	}
	const consumers = 4
	results := make(chan []string, consumers)
	for n := range consumers {
		go func() { results <- pipelinedPair(w, w.instances[0], n) }()
	}
	time.Sleep(400 * time.Millisecond)
	if trouble {
		w.instances[0].signal(syscall.SIGTERM)
	}
	var breaks []string
	for range consumers {
		breaks = append(breaks, <-results...)
	}
	return breaks, nil
}

// pipelinedPair sends two requests on one connection, the second before the first
// is answered, and returns the requests that were not answered.
func pipelinedPair(w *world, i *instance, number int) (breaks []string) {
	conn, err := net.Dial("tcp", i.front)
	if err != nil {
		return []string{"consumer could not connect: " + err.Error()}
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	ids := []string{fmt.Sprintf("a%015x", number), fmt.Sprintf("b%015x", number)}
	for n, work := range []int{700, 1200} {
		w.note("request %s sent on connection %d to %s", ids[n], number, i.name)
		_, _ = io.WriteString(conn, "GET /status/"+strconv.Itoa(number)+"/"+strconv.Itoa(work)+" HTTP/1.1\r\nHost: "+hostName+
			"\r\nX-Fulmarhoist-Request-Id: "+ids[n]+"\r\nX-Fulmarhoist-Deadline-Ms: 3000\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	}
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			w.note("request %s: the connection ended without an answer: %v", id, err)
			breaks = append(breaks, "LOST: request "+id+" was passed on to a server and its connection ended without an answer")
			continue
		}
		body, err := io.ReadAll(response.Body)
		w.note("request %s: answered %d %q, close %t", id, response.StatusCode, body, response.Close)
		if err != nil || response.StatusCode != http.StatusOK {
			breaks = append(breaks, fmt.Sprintf("request %s: status %d, %v", id, response.StatusCode, err))
		}
	}
	return breaks
}
