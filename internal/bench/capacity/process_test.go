package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// ticksPerSecond is USER_HZ, the unit of times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// usage is the resource usage of a process since its start, and its current
// memory.
type usage struct {
	at            time.Time
	cpu           time.Duration
	readBytes     float64 // bytes of all reads, sockets included
	writtenBytes  float64 // bytes of all writes, sockets included
	reads, writes float64 // system calls
	residentBytes float64 // bytes
}

// readUsage reads the usage of a process from /proc.
func readUsage(tb testing.TB, pid int) usage {
	tb.Helper()
	u := usage{at: time.Now()}
	stat := readProc(tb, pid, "stat")
	// The command name in parentheses may contain spaces. The first field after
	// it is field 3 of proc(5), so these are utime (14) and stime (15).
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	u.cpu = time.Duration((parseNumber(tb, fields[11])+parseNumber(tb, fields[12]))/ticksPerSecond*1e6) * time.Microsecond
	io := parseTable(tb, readProc(tb, pid, "io"))
	u.readBytes, u.writtenBytes, u.reads, u.writes = io["rchar"], io["wchar"], io["syscr"], io["syscw"]
	u.residentBytes = parseTable(tb, readProc(tb, pid, "status"))["VmRSS"] * 1024
	return u
}

func readProc(tb testing.TB, pid int, file string) string {
	tb.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		tb.Fatal(err)
	}
	return string(data)
}

// parseTable parses lines of the form "name: number unit".
func parseTable(tb testing.TB, text string) map[string]float64 {
	tb.Helper()
	values := map[string]float64{}
	for line := range strings.Lines(text) {
		name, rest, _ := strings.Cut(line, ":")
		if first := strings.Fields(rest); len(first) > 0 {
			if value, err := strconv.ParseFloat(first[0], 64); err == nil {
				values[name] = value
			}
		}
	}
	return values
}

func parseNumber(tb testing.TB, text string) float64 {
	tb.Helper()
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		tb.Fatal(err)
	}
	return value
}
