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

// Slope is a cost measured at several sizes, and the line through it.
type Slope struct {
	name  string // one word, names the plot
	what  string // the cost, with its unit
	size  string // what grows
	sizes []float64
	costs []float64
	base  float64
	each  float64
}

// At returns the cost at a size.
func (s *Slope) At(size float64) float64 { return s.base + s.each*size }

// Each returns the cost of one more.
func (s *Slope) Each() float64 { return s.each }

// measure takes the cost at each size and fits a line through it.
func measure(name, what, size string, sizes []int, cost func(size int) (float64, error)) (*Slope, error) {
	s := &Slope{name: name, what: what, size: size}
	for _, n := range sizes {
		c, err := cost(n)
		if err != nil {
			return nil, errors.Wrapf(err, "slope %s at %d", name, n)
		}
		s.sizes = append(s.sizes, float64(n))
		s.costs = append(s.costs, c)
	}
	s.base, s.each = stat.LinearRegression(s.sizes, s.costs, nil, false)
	return s, nil
}

// Row returns the slope as a row of the page's table.
func (s *Slope) Row() string {
	points := ""
	for i := range s.sizes {
		points += fmt.Sprintf("%.0f: %s, ", s.sizes[i], short(s.costs[i]))
	}
	return fmt.Sprintf("| [%s](plots/%s.svg) | %s | %s | %s | %s |\n", s.name, s.name, s.what, s.size, points[:len(points)-2], short(s.each))
}

// short writes a figure with three significant digits.
func short(v float64) string { return fmt.Sprintf("%.3g", v) }

// Plot draws the measured points and the line into a file.
func (s *Slope) Plot(file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.name, s.size, s.what
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

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perCall returns the processor time of one call, in microseconds, over at
// least a tenth of a second.
func perCall(call func() error) (float64, error) {
	const least = 100 * time.Millisecond
	runtime.GC()
	began, count := processor(), 0
	for processor()-began < least {
		if err := call(); err != nil {
			return 0, err
		}
		count++
	}
	return float64(processor()-began) / float64(count) / float64(time.Microsecond), nil
}

// memory returns the bytes in use on heap and stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// held returns the bytes that what build returns takes up.
func held(build func() any) float64 {
	before := memory()
	kept := build()
	after := memory()
	runtime.KeepAlive(kept)
	return after - before
}
