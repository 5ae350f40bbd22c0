// Command review runs the scripted cases of the review on loopback. It exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases maps names to cases. A case returns the breaks that it saw.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"given-up-in-stop":    givenUpInStop,
	"poisoned-request":    poisonedRequest,
	"leaving-servers":     leavingServers,
	"pipeline-stop":       pipelineStop,
	"crash-blocks-route":  crashBlocksRoute,
	"encoded-slash":       encodedSlash,
	"encoded-slash-twice": encodedSlashTwice,
}

const maxDuration = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer w.close()
	time.AfterFunc(maxDuration, func() { fmt.Println("could not run: too slow"); w.close(); os.Exit(2) })
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption: %t", name, trouble)
	breaks, err := cases[name](w, trouble)
	for _, b := range breaks {
		w.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(breaks) > 0:
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
