// Package capacity measures the slopes from which docs/CAPACITY.md computes
// what the product needs at the design scale. It holds benchmarks only; the page
// gives the command line of each.
package capacity
