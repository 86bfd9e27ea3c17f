package scale

import (
	"io"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// series returns points of a known law with relative noise.
func series(law func(float64) float64, noise func() float64) (points []Point) {
	for _, size := range []float64{25, 50, 100, 200, 400} {
		points = append(points, Point{Size: size, Value: law(size) * (1 + noise())})
	}
	return points
}

func TestFitFindsGrowthModel(t *testing.T) {
	laws := map[Model]func(float64) float64{
		Constant:  func(float64) float64 { return 7 },
		Log:       func(n float64) float64 { return 3 + 5*math.Log(n) },
		Linear:    func(n float64) float64 { return 10 + 2*n },
		Quadratic: func(n float64) float64 { return 5 + 0.3*n*n },
	}
	for want, law := range laws {
		t.Run(string(want), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fit, err := FitPoints(series(law, func() float64 { return rapid.Float64Range(-0.01, 0.01).Draw(t, "noise") }))
				if err != nil {
					t.Fatal(err)
				}
				if fit.Model != want {
					t.Fatalf("model %s, expected %s", fit.Model, want)
				}
				if off := fit.At(1200)/law(1200) - 1; math.Abs(off) > 0.1 {
					t.Fatalf("extrapolated to 1200: off by %.2f", off)
				}
				if math.Abs(fit.Error) > 0.1 {
					t.Fatalf("largest predicted off by %.2f", fit.Error)
				}
			})
		})
	}
}

// A figure that steps up at the largest size cannot be predicted from the smaller ones, and the error shows that.
func TestFitReportsErrorOfStep(t *testing.T) {
	fit, err := FitPoints([]Point{{25, 1}, {50, 1}, {100, 1}, {400, 12}})
	if err != nil {
		t.Fatal(err)
	}
	if fit.Error > -0.8 {
		t.Errorf("error %.2f, expected the prediction to be far too low", fit.Error)
	}
}

func TestFitNeedsFourSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}, {3, 3}}, {{1, 1}, {1, 2}, {2, 2}, {3, 3}}} {
		if _, err := FitPoints(points); err == nil {
			t.Errorf("%v: no error", points)
		}
	}
}

func TestFitOfZeros(t *testing.T) {
	fit, err := FitPoints([]Point{{1, 0}, {2, 0}, {3, 0}, {4, 0}})
	if err != nil || fit.At(1200) != 0 || fit.Error != 0 {
		t.Errorf("%+v, %v", fit, err)
	}
}

func TestFitWithZeroAtLargestSizeCanBeEncoded(t *testing.T) {
	result := &Result{}
	if err := result.AddSeries(Series{Points: []Point{{1, 1}, {2, 2}, {3, 3}, {4, 0}}}); err != nil {
		t.Fatal(err)
	}
	if err := result.WriteJSON(io.Discard); err != nil || result.Series[0].Fit.Error < 1 {
		t.Errorf("%v, error %v", err, result.Series[0].Fit.Error)
	}
}
