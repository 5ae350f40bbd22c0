package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usageSampleInterval is the time between two samples of the resource usage.
const usageSampleInterval = 250 * time.Millisecond

// maxMemoryMiB is the largest resident memory of an instance: half of the smallest
// machine.
const maxMemoryMiB = 200

// kibPerMiB converts VmRSS, which /proc/PID/status gives in KiB.
const kibPerMiB = 1024

// sampleUsage records the largest resident memory and the largest number of open
// file descriptors of any instance, until the context ends.
func (r *run) sampleUsage(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range r.instances {
			memoryMiB, descriptors := i.usage()
			r.checker.recordUsage(i, memoryMiB, descriptors)
		}
		sleepContext(ctx, usageSampleInterval)
	}
}

// recordUsage records the resource usage of an instance, and checks its memory when
// it exceeds all earlier samples.
func (c *checker) recordUsage(i *instance, memoryMiB, descriptors int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["most descriptors"] = max(c.counts["most descriptors"], descriptors)
	if memoryMiB <= c.counts["most MiB"] {
		return
	}
	c.counts["most MiB"] = memoryMiB
	if memoryMiB > maxMemoryMiB {
		c.addViolation("MEMORY", "%s uses %d MiB, limit %d", i.name, memoryMiB, maxMemoryMiB)
	}
}

// usage returns the resident memory in MiB and the number of open file
// descriptors of the process, or zeros while none runs.
func (i *instance) usage() (memoryMiB, descriptors int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return 0, 0
	}
	procDir := fmt.Sprintf("/proc/%d", i.process.Process.Pid)
	open, err := os.ReadDir(procDir + "/fd")
	if err != nil {
		return 0, 0 // the process has just ended
	}
	status, err := os.ReadFile(procDir + "/status")
	if err != nil {
		return 0, len(open)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, err := strconv.Atoi(fields[1])
			if err == nil {
				memoryMiB = kib / kibPerMiB
			}
		}
	}
	return memoryMiB, len(open)
}
