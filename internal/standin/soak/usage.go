package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usageInterval is the time between two looks at what the processes use.
const usageInterval = 250 * time.Millisecond

// kibPerMiB converts the unit of /proc/PID/status.
const kibPerMiB = 1024

// watchUsage records the most memory and descriptors that any instance used.
func (r *run) watchUsage(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range r.instances {
			memory, descriptors := i.usage()
			r.ledger.change(func() {
				counts := r.ledger.counts
				counts["most MiB"] = max(counts["most MiB"], memory)
				counts["most descriptors"] = max(counts["most descriptors"], descriptors)
			})
		}
		wait(ctx, usageInterval)
	}
}

// usage returns the resident memory in MiB and the open descriptors of the process;
// zeros while there is none.
func (i *instance) usage() (memory, descriptors int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return 0, 0
	}
	folder := fmt.Sprintf("/proc/%d", i.process.Process.Pid)
	open, err := os.ReadDir(folder + "/fd")
	if err != nil {
		return 0, 0 // the process has just ended
	}
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return 0, len(open)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, err := strconv.Atoi(fields[1])
			if err == nil {
				memory = kib / kibPerMiB
			}
		}
	}
	return memory, len(open)
}
