package crowd

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// sampleInterval is the time between two samples of a Watch.
const sampleInterval = 20 * time.Millisecond

// Held is what a process holds.
type Held struct {
	Memory      int64 // resident memory, in bytes
	Kernel      int64 // bytes that the kernel has received for the process and it has not read, or that are still to be sent
	Descriptors int
}

// String says what is held.
func (h Held) String() string {
	return fmt.Sprintf("%d MB, of these %d MB in the kernel, and %d descriptors", h.Total()>>20, h.Kernel>>20, h.Descriptors)
}

// Total returns the memory that the process takes of its machine, in bytes.
func (h Held) Total() int64 { return h.Memory + h.Kernel }

// Limit is what a process may hold at most.
type Limit struct {
	Megabytes   int // memory of its machine
	Descriptors int
}

// Check returns an error if a process has held more.
func (l Limit) Check(h Held) error {
	if h.Total() > int64(l.Megabytes)<<20 || h.Descriptors > l.Descriptors {
		return errors.Newf("the process held %s, want at most %d MB and %d descriptors", h, l.Megabytes, l.Descriptors)
	}
	return nil
}

// Watch samples what a process holds and keeps the peaks.
type Watch struct {
	pid  int
	port uint16 // at which the process accepts callers
	stop chan struct{}
	done sync.WaitGroup

	mu                sync.Mutex
	total             int64 // largest Held.Total
	atTotal           Held  // the sample with that total
	descriptors       int
	samples, failures int
	err               error // of the last sample that failed
}

// NewWatch begins to watch a process that accepts callers at an address.
func NewWatch(pid int, address string) (*Watch, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "crowd: address of the process")
	}
	w := &Watch{pid: pid, port: a.Port(), stop: make(chan struct{})}
	w.done.Go(w.run)
	return w, nil
}

func (w *Watch) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		held, err := w.sample()
		w.keep(held, err)
		select {
		case <-ticker.C:
		case <-w.stop:
			return
		}
	}
}

func (w *Watch) keep(held Held, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	if err != nil {
		w.failures, w.err = w.failures+1, err
		return
	}
	if held.Total() > w.total {
		w.total, w.atTotal = held.Total(), held
	}
	w.descriptors = max(w.descriptors, held.Descriptors)
}

// Close ends the watch and returns the sample with the most memory, and the largest number of
// descriptors. It fails if the process could not be watched all the time.
func (w *Watch) Close() (Held, error) {
	close(w.stop)
	w.done.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	peak := w.atTotal
	peak.Descriptors = w.descriptors
	if w.failures > 0 {
		return peak, errors.Wrapf(w.err, "crowd: %d of %d samples failed", w.failures, w.samples)
	}
	return peak, nil
}

// sample returns what the process holds now.
func (w *Watch) sample() (Held, error) {
	inodes, descriptors, err := w.sockets()
	if err != nil {
		return Held{}, err
	}
	held := Held{Descriptors: descriptors}
	if held.Memory, err = residentBytes(w.pid); err != nil {
		return Held{}, err
	}
	for _, name := range []string{"tcp", "tcp6"} {
		queued, err := w.queued(name, inodes)
		if err != nil {
			return Held{}, err
		}
		held.Kernel += queued
	}
	return held, nil
}

// sockets returns the inodes of the open sockets of the process, and the number of its open
// descriptors.
func (w *Watch) sockets() (inodes map[string]bool, descriptors int, err error) {
	folder := fmt.Sprintf("/proc/%d/fd", w.pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, 0, errors.Wrap(err, "crowd: list the descriptors of the process")
	}
	inodes = map[string]bool{}
	for _, e := range entries {
		target, err := os.Readlink(folder + "/" + e.Name())
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries), nil
}

// Columns of a line in /proc/net/tcp, and the state of a socket that listens.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	stateListen  = "0A"
)

// queued returns the bytes that the kernel keeps for the process in the sockets that a table lists:
// those that it has open, and those at its address that it has not accepted yet or has closed.
func (w *Watch) queued(table string, inodes map[string]bool) (int64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/net/%s", w.pid, table))
	if os.IsNotExist(err) && table == "tcp6" {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "crowd: list the sockets")
	}
	defer f.Close()
	var sum int64
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= columnInode || fields[columnState] == stateListen {
			continue
		}
		_, port, _ := strings.Cut(fields[columnLocal], ":")
		own := inodes[fields[columnInode]] || fields[columnInode] == "0" && port == fmt.Sprintf("%04X", w.port)
		if !own {
			continue
		}
		sent, received, _ := strings.Cut(fields[columnQueues], ":")
		for _, text := range []string{sent, received} {
			n, err := strconv.ParseInt(text, 16, 64)
			if err != nil {
				continue // the title of the table
			}
			sum += n
		}
	}
	return sum, errors.Wrap(lines.Err(), "crowd: list the sockets")
}

var resident = regexp.MustCompile(`VmRSS:\s+([0-9]+) kB`)

// residentBytes returns the resident memory of a process, in bytes.
func residentBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "crowd: read the status of the process")
	}
	found := resident.FindSubmatch(status)
	if found == nil {
		return 0, errors.New("crowd: the process has ended, or the system does not tell its memory")
	}
	kilobytes, err := strconv.ParseInt(string(found[1]), 10, 64)
	return kilobytes << 10, errors.Wrap(err, "crowd: memory of the process")
}
