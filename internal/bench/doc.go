// Package bench measures what the way through an entry instance adds to a
// request. It holds test files only; `make bench` runs them.
package bench
