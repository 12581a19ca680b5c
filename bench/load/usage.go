package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clockTick is the unit of processor times in /proc. Linux always reports hundredths of a second there.
	clockTick = 10 * time.Millisecond
	// Positions of the user and system time in /proc/<pid>/stat, counted from the state field, which follows the command's name.
	userField, systemField = 11, 12
)

// Usage is the processor time and memory of a process.
type Usage struct {
	CPU time.Duration
	// Resident and Peak are the current and the maximum resident memory in bytes.
	Resident, Peak int64
}

// ReadUsage reads the processor time and memory of a process from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	defer func() { err = eris.Wrapf(err, "read the processor time and memory of process %d", pid) }()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, n := range []int{userField, systemField} {
		ticks, err := strconv.ParseInt(fields[n], 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	u.Resident, u.Peak = memoryBytes(string(status), "VmRSS:"), memoryBytes(string(status), "VmHWM:")
	return u, nil
}

// memoryBytes returns the value of a line such as "VmRSS:  1024 kB" in bytes, or zero if there is no such line.
func memoryBytes(status, key string) (bytes int64) {
	_, rest, ok := strings.Cut(status, key)
	if !ok {
		return 0
	}
	n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return n << 10
}

// MachineLoad returns the machine's load average over one minute.
func MachineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(text))[0]
}
