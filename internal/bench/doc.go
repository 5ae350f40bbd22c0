// Package bench measures the latency and the allocations that an entry instance
// adds to a request. It holds tests only; `make bench` runs them.
package bench
