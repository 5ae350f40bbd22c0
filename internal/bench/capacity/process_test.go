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

// usage is what a child process has used since its start, and its memory now.
type usage struct {
	at            time.Time
	cpu           time.Duration
	received      float64 // bytes of all reads, sockets included
	sent          float64 // bytes of all writes, sockets included
	reads, writes float64 // system calls
	resident      float64 // bytes
}

func readUsage(tb testing.TB, pid int) usage {
	tb.Helper()
	u := usage{at: time.Now()}
	stat := readProc(tb, pid, "stat")
	// The name in brackets may hold spaces; fields count from 3 behind it.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	u.cpu = time.Duration((number(tb, fields[11])+number(tb, fields[12]))/ticksPerSecond*1e6) * time.Microsecond
	io := table(tb, readProc(tb, pid, "io"))
	u.received, u.sent, u.reads, u.writes = io["rchar"], io["wchar"], io["syscr"], io["syscw"]
	u.resident = table(tb, readProc(tb, pid, "status"))["VmRSS"] * 1024
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

// table reads lines of the form "name: number unit".
func table(tb testing.TB, text string) map[string]float64 {
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

func number(tb testing.TB, text string) float64 {
	tb.Helper()
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		tb.Fatal(err)
	}
	return value
}
