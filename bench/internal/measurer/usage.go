package measurer

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of the CPU times in /proc/<pid>/stat. Linux reports them to programs in hundredths of a second.
const clockTick = 10 * time.Millisecond

// Indexes of the fields in /proc/<pid>/stat after the program name, which may itself contain spaces.
const (
	userTimeField      = 11
	systemTimeField    = 12
	residentPagesField = 21
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU      time.Duration // user and system time since the start of the process
	Resident int64         // resident memory, in bytes
}

// ReadUsage reads the usage of a process. It returns an error when the process does not exist.
func ReadUsage(pid int) (Usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, eris.Wrap(err, "read usage")
	}
	return parseUsage(data)
}

// parseUsage parses the content of /proc/<pid>/stat.
func parseUsage(data []byte) (Usage, error) {
	f := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(f) <= residentPagesField {
		return Usage{}, eris.Errorf("stat line has %d fields after the program name, want more than %d", len(f), residentPagesField)
	}
	var n [3]int64
	for i, k := range []int{userTimeField, systemTimeField, residentPagesField} {
		var err error
		if n[i], err = strconv.ParseInt(f[k], 10, 64); err != nil {
			return Usage{}, eris.Wrapf(err, "stat line: parse field %d after the program name", k)
		}
	}
	return Usage{CPU: time.Duration(n[0]+n[1]) * clockTick, Resident: n[2] * int64(os.Getpagesize())}, nil
}
