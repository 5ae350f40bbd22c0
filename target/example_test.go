package target_test

import (
	"fmt"
	"time"

	"fulmarhoist.example/target"
)

// Each instance uses only its share of the budget, whether or not it knows of
// the others.
func ExampleProbeBudget() {
	budget := target.NewProbeBudget(1, 5) // 1 probe/s for at most 5 instances
	start := time.Unix(100, 0)
	sent := 0
	for second := range 20 {
		if budget.Allow(start.Add(time.Duration(second) * time.Second)) {
			sent++
		}
	}
	fmt.Println(sent, "probes in 20 s")
	// Output: 4 probes in 20 s
}
