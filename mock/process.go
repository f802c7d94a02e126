package mock

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"
)

const (
	// envMeasuredTest is the name of the test that a child process measures, envArgument the argument of its work.
	envMeasuredTest = "KINGCUPCROSS_MEASURED_TEST"
	envArgument     = "KINGCUPCROSS_MEASURED_ARGUMENT"
	// peakPrefix begins the line with the peak in bytes on the child's standard output.
	peakPrefix = "peak memory in bytes: "
	// maxMeasured is the memory in bytes at which a child stops, so that a failing test doesn't fill the machine.
	maxMeasured = 1 << 30
	// childTimeout is the time after which a child that hangs is ended, far above what any takes.
	childTimeout = "5m"
)

// PeakMemory runs the test with the given name again in a process of its own, where this function calls work with the argument, and returns the peak of the Go runtime's memory in bytes above that at the start of work. The process ends early if the peak exceeds a gigabyte. It must be called at the same point in each run.
func PeakMemory(test, argument string, work func(argument string)) (int64, error) {
	if os.Getenv(envMeasuredTest) == test {
		report := func(peak int64) {
			fmt.Println(peakPrefix + strconv.FormatInt(peak, 10))
			os.Exit(0)
		}
		stop := watchMemory(func(peak int64) {
			if peak > maxMeasured {
				report(peak)
			}
		})
		work(os.Getenv(envArgument))
		report(stop())
	}
	program, err := os.Executable()
	if err != nil {
		return 0, err
	}
	names := strings.Split(test, "/")
	for i, name := range names {
		names[i] = "^" + regexp.QuoteMeta(name) + "$"
	}
	child := exec.Command(program, "-test.run", strings.Join(names, "/"), "-test.timeout", childTimeout)
	child.Env = append(os.Environ(), envMeasuredTest+"="+test, envArgument+"="+argument)
	out, err := child.CombinedOutput()
	if err != nil {
		return 0, fmt.Errorf("process of %s: %w: %s", test, err, out)
	}
	for _, line := range strings.Split(string(out), "\n") {
		if text, ok := strings.CutPrefix(line, peakPrefix); ok {
			return strconv.ParseInt(text, 10, 64)
		}
	}
	return 0, fmt.Errorf("process of %s printed no peak: %s", test, out)
}

// WatchMemory starts sampling the memory in use. The returned function stops it and returns the peak in bytes above the value at the start, which excludes memory left from before.
func WatchMemory() (stop func() int64) {
	return watchMemory(func(int64) {})
}

// watchMemory is WatchMemory; it calls onSample with the peak after each sample.
func watchMemory(onSample func(peak int64)) (stop func() int64) {
	debug.FreeOSMemory()
	read := func() int64 {
		s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
		metrics.Read(s)
		return int64(s[0].Value.Uint64()) - int64(s[1].Value.Uint64())
	}
	stopped, result, initial := make(chan struct{}), make(chan int64), read()
	go func() {
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		peak := initial
		for {
			select {
			case <-tick.C:
				peak = max(peak, read())
				onSample(peak - initial)
			case <-stopped:
				result <- max(peak, read()) - initial
				return
			}
		}
	}()
	return func() int64 {
		close(stopped)
		return <-result
	}
}
