package capacity_test

import "fmt"

type sample struct {
	x float64
	f figures
}

// line is a least-squares fit.
type line struct{ at0, slope float64 }

func fit(points []sample, value func(figures) float64) line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		y := value(p.f)
		sx += p.x
		sy += y
		sxx += p.x * p.x
		sxy += p.x * y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{at0: (sy - slope*sx) / n, slope: slope}
}

func slopes(points []sample) string {
	cpu := fit(points, func(f figures) float64 { return f.cpu })
	rss := fit(points, func(f figures) float64 { return f.rss })
	in := fit(points, func(f figures) float64 { return f.in })
	out := fit(points, func(f figures) float64 { return f.out })
	headers := fit(points, func(f figures) float64 { return f.segments * perSegment })
	return fmt.Sprintf("%.3f + %.5f %%core, %.1f + %.4f MB, in %.0f + %.2f B/s, out %.0f + %.2f B/s, headers %.0f + %.2f B/s",
		cpu.at0, cpu.slope, rss.at0, rss.slope, in.at0, in.slope, out.at0, out.slope, headers.at0, headers.slope)
}
