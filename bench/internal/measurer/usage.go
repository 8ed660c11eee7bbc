package measurer

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// tick is the unit of CPU times in /proc/<pid>/stat. Linux reports them to programs in hundredths of a second.
const tick = 10 * time.Millisecond

// Positions in /proc/<pid>/stat after the program name, which may contain spaces.
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldPages  = 21
)

// Usage is what a process has used.
type Usage struct {
	CPU      time.Duration // user and system time since its start
	Resident int64         // bytes
}

// ReadUsage reads the usage of a process. It returns an error when the process has ended.
func ReadUsage(pid int) (Usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, eris.Wrap(err, "read usage")
	}
	return parseUsage(data)
}

func parseUsage(data []byte) (Usage, error) {
	f := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(f) <= fieldPages {
		return Usage{}, eris.Errorf("stat line has %d fields after the name: allowed are more than %d", len(f), fieldPages)
	}
	var n [3]int64
	for i, k := range []int{fieldUser, fieldSystem, fieldPages} {
		var err error
		if n[i], err = strconv.ParseInt(f[k], 10, 64); err != nil {
			return Usage{}, eris.Wrapf(err, "stat line: field %d", k)
		}
	}
	return Usage{CPU: time.Duration(n[0]+n[1]) * tick, Resident: n[2] * int64(os.Getpagesize())}, nil
}
