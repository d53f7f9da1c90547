package slopes

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Slope describes how one cost, such as bytes of memory, grows with one size, such as the
// number of open streams. It holds the cost measured at several sizes, and the line fitted
// to these costs.
type Slope struct {
	name      string // name of the slope: one word, also the name of the plot's file
	costLabel string // measured cost with its unit, such as "bytes of memory"
	sizeLabel string // unit of the sizes, such as "open streams"
	sizes     []float64
	costs     []float64 // measured cost at each size
	intercept float64   // cost of the fitted line at size 0
	perUnit   float64   // growth of the cost on the fitted line with each unit of size
}

// At returns the cost at a size, on the fitted line.
func (s *Slope) At(size float64) float64 { return s.intercept + s.perUnit*size }

// PerUnit returns by how much the cost on the fitted line grows with each unit of size.
func (s *Slope) PerUnit() float64 { return s.perUnit }

// measure measures a slope: it calls cost with each size and fits a line to the costs that
// the calls return. The name and the labels are those of the slope.
func measure(name, costLabel, sizeLabel string, sizes []int, cost func(size int) (float64, error)) (*Slope, error) {
	s := &Slope{name: name, costLabel: costLabel, sizeLabel: sizeLabel}
	for _, n := range sizes {
		c, err := cost(n)
		if err != nil {
			return nil, errors.Wrapf(err, "measure slope %s at size %d", name, n)
		}
		s.sizes = append(s.sizes, float64(n))
		s.costs = append(s.costs, c)
	}
	s.intercept, s.perUnit = stat.LinearRegression(s.sizes, s.costs, nil, false)
	return s, nil
}

// Row returns the slope as a row of the Markdown table in CAPACITY.md: its name, the
// labels of its cost and its size, the measured costs by size, and the growth of the cost
// with each unit of size.
func (s *Slope) Row() string {
	points := ""
	for i := range s.sizes {
		points += fmt.Sprintf("%.0f: %s, ", s.sizes[i], formatFigure(s.costs[i]))
	}
	return fmt.Sprintf("| [%s](plots/%s.svg) | %s | %s | %s | %s |\n", s.name, s.name, s.costLabel, s.sizeLabel, points[:len(points)-2], formatFigure(s.perUnit))
}

// formatFigure formats a figure of the page with three significant digits.
func formatFigure(v float64) string { return fmt.Sprintf("%.3g", v) }

// Plot draws the measured costs and the fitted line, and saves the plot as a file in
// the format that its extension names.
func (s *Slope) Plot(file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.name, s.sizeLabel, s.costLabel
	points := make(plotter.XYs, len(s.sizes))
	line := make(plotter.XYs, len(s.sizes))
	for i := range s.sizes {
		points[i] = plotter.XY{X: s.sizes[i], Y: s.costs[i]}
		line[i] = plotter.XY{X: s.sizes[i], Y: s.At(s.sizes[i])}
	}
	if err := plotutil.AddScatters(p, "measured", points); err != nil {
		return errors.Wrap(err, "plot: add the measured costs")
	}
	if err := plotutil.AddLines(p, "line", line); err != nil {
		return errors.Wrap(err, "plot: add the fitted line")
	}
	return errors.Wrap(p.Save(12*vg.Centimeter, 8*vg.Centimeter, file), "plot: save the file")
}

// cpuTime returns the user and system CPU time that this process has used, or 0 if
// the system call fails.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerCall returns the mean CPU time of a call in microseconds. It repeats the call
// until this process has used at least 100 ms of CPU time, and stops at an error.
func cpuPerCall(call func() error) (float64, error) {
	const minTime = 100 * time.Millisecond
	runtime.GC()
	start, calls := cpuTime(), 0
	for cpuTime()-start < minTime {
		if err := call(); err != nil {
			return 0, err
		}
		calls++
	}
	return float64(cpuTime()-start) / float64(calls) / float64(time.Microsecond), nil
}

// memoryInUse returns the number of bytes in use on the heap and the stacks of this
// process, after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// retainedMemory returns the number of bytes of memory that the value returned by build
// keeps in use.
func retainedMemory(build func() any) float64 {
	before := memoryInUse()
	value := build()
	after := memoryInUse()
	runtime.KeepAlive(value)
	return after - before
}
