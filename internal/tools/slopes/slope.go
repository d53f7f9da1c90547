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

// Slope holds a cost measured at several sizes, and the line fitted to it.
type Slope struct {
	name      string // one word, also the plot's file name
	costLabel string // the cost, with its unit
	sizeLabel string // what grows
	sizes     []float64
	costs     []float64
	intercept float64
	perUnit   float64
}

// At returns the cost at a size, on the fitted line.
func (s *Slope) At(size float64) float64 { return s.intercept + s.perUnit*size }

// PerUnit returns by how much the cost grows with each unit of size.
func (s *Slope) PerUnit() float64 { return s.perUnit }

// measure takes the cost at each size and fits a line to the results.
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

// Row returns the slope as a Markdown row of the page's table.
func (s *Slope) Row() string {
	points := ""
	for i := range s.sizes {
		points += fmt.Sprintf("%.0f: %s, ", s.sizes[i], formatFigure(s.costs[i]))
	}
	return fmt.Sprintf("| [%s](plots/%s.svg) | %s | %s | %s | %s |\n", s.name, s.name, s.costLabel, s.sizeLabel, points[:len(points)-2], formatFigure(s.perUnit))
}

// formatFigure formats a figure with three significant digits.
func formatFigure(v float64) string { return fmt.Sprintf("%.3g", v) }

// Plot draws the measured points and the fitted line to a file.
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
		return errors.Wrap(err, "plot")
	}
	if err := plotutil.AddLines(p, "line", line); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(12*vg.Centimeter, 8*vg.Centimeter, file), "plot")
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

// cpuPerCall returns the CPU time of one call in microseconds. It repeats the call
// until at least minTime of CPU time is used, and returns the mean.
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

// memoryInUse returns the bytes in use on the heap and the stacks, after garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// retainedMemory returns the bytes of memory that the value returned by build
// keeps in use.
func retainedMemory(build func() any) float64 {
	before := memoryInUse()
	value := build()
	after := memoryInUse()
	runtime.KeepAlive(value)
	return after - before
}
