package scale

import (
	"io"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// noisyPoints returns points of a known growth function with relative noise.
func noisyPoints(growth func(float64) float64, noise func() float64) (points []Point) {
	for _, size := range []float64{25, 50, 100, 200, 400} {
		points = append(points, Point{Size: size, Value: growth(size) * (1 + noise())})
	}
	return points
}

func TestFitFindsGrowthModel(t *testing.T) {
	growthFunctions := map[Model]func(float64) float64{
		Constant:  func(float64) float64 { return 7 },
		Log:       func(n float64) float64 { return 3 + 5*math.Log(n) },
		Linear:    func(n float64) float64 { return 10 + 2*n },
		Quadratic: func(n float64) float64 { return 5 + 0.3*n*n },
	}
	for want, growth := range growthFunctions {
		t.Run(string(want), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fit, err := FitPoints(noisyPoints(growth, func() float64 { return rapid.Float64Range(-0.01, 0.01).Draw(t, "noise") }))
				if err != nil {
					t.Fatal(err)
				}
				if fit.Model != want {
					t.Fatalf("found model %s, expected %s", fit.Model, want)
				}
				if off := fit.At(1200)/growth(1200) - 1; math.Abs(off) > 0.1 {
					t.Fatalf("value extrapolated to 1200: relative error %.2f, expected at most 0.1", off)
				}
				if math.Abs(fit.Error) > 0.1 {
					t.Fatalf("predicted value at the largest size: relative error %.2f, expected at most 0.1", fit.Error)
				}
			})
		})
	}
}

// A figure that jumps at the largest size cannot be predicted from the smaller sizes, and Error reports that.
func TestFitReportsErrorOfStep(t *testing.T) {
	fit, err := FitPoints([]Point{{25, 1}, {50, 1}, {100, 1}, {400, 12}})
	if err != nil {
		t.Fatal(err)
	}
	if fit.Error > -0.8 {
		t.Errorf("relative error %.2f, expected a prediction far below the measured value (at most -0.8)", fit.Error)
	}
}

func TestFitNeedsFourSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}, {3, 3}}, {{1, 1}, {1, 2}, {2, 2}, {3, 3}}} {
		if _, err := FitPoints(points); err == nil {
			t.Errorf("points %v: found no error, expected ErrTooFewSizes", points)
		}
	}
}

func TestFitOfZeros(t *testing.T) {
	fit, err := FitPoints([]Point{{1, 0}, {2, 0}, {3, 0}, {4, 0}})
	if err != nil || fit.At(1200) != 0 || fit.Error != 0 {
		t.Errorf("found %+v, %v, expected a fit of zeros without an error", fit, err)
	}
}

func TestFitWithZeroAtLargestSizeCanBeEncoded(t *testing.T) {
	result := &Result{}
	if err := result.AddSeries(Series{Points: []Point{{1, 1}, {2, 2}, {3, 3}, {4, 0}}}); err != nil {
		t.Fatal(err)
	}
	if err := result.WriteJSON(io.Discard); err != nil || result.Series[0].Fit.Error < 1 {
		t.Errorf("encoding error %v, relative error %v, expected an encodable result with a relative error of at least 1",
			err, result.Series[0].Fit.Error)
	}
}
