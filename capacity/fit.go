package capacity

import "math"

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one figure against one size.
type Series struct {
	Name string `json:"name"`
	// XName and YName tell what the axes are, with units.
	XName  string  `json:"xName"`
	YName  string  `json:"yName"`
	Points []Point `json:"points"`
	// Slope and Intercept are of the least squares line, Error is the root mean
	// square of what it leaves, as a part of the mean.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Error     float64 `json:"error"`
}

// fit computes the line.
func (s *Series) fit() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Intercept = (sy - s.Slope*sx) / n
	var left float64
	for _, p := range s.Points {
		e := p.Y - s.At(p.X)
		left += e * e
	}
	s.Error = math.Sqrt(left/n) / (sy / n)
}

// At is the line's value.
func (s *Series) At(x float64) float64 { return s.Intercept + s.Slope*x }
