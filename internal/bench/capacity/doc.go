// Package capacity measures the cost per target, instance and request from which
// docs/CAPACITY.md extrapolates the resource usage at the design scale. It holds
// benchmarks only; the page gives the command line of each.
package capacity
