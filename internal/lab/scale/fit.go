package scale

import (
	"errors"
	"math"
	"slices"
)

// Model is how a figure grows with the size n: value = Intercept + Slope * shape(n).
type Model string

// The models, from the slowest growth to the fastest.
const (
	Constant  Model = "constant"
	Log       Model = "log n"
	Linear    Model = "n"
	Quadratic Model = "n^2"
)

// constantSpread is the largest over the least value up to which a figure counts as constant: what is measured on one
// machine repeats within about a tenth.
const constantSpread = 1.1

// farOff is the error where something was predicted and nothing measured: no ratio, and JSON has no infinity.
const farOff = 1e6

var growing = []Model{Log, Linear, Quadratic}

var errTooFewPoints = errors.New("scale: a fit needs points at four different sizes at least")

func (m Model) shape(size float64) float64 {
	switch m {
	case Log:
		return math.Log(size)
	case Linear:
		return size
	case Quadratic:
		return size * size
	}
	return 0
}

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a model fitted to points.
type Fit struct {
	Model     Model   `json:"model"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`             // of the model's shape: per doubling times ln 2, per one, per one squared
	Predicted float64 `json:"largest_predicted"` // the largest size's value, by a fit of the smaller ones alone
	Measured  float64 `json:"largest_measured"`
	Error     float64 `json:"largest_error"` // (predicted - measured) / measured; 0 where both are 0, farOff where only measured is
}

// At is the fitted value at a size; never under 0.
func (f Fit) At(size float64) float64 {
	return max(f.Intercept+f.Slope*f.Model.shape(size), 0)
}

// FitPoints chooses the model by the points but those of the largest size, predicts the largest by it, and then takes slope
// and intercept from all points. It needs points at four different sizes at least.
func FitPoints(points []Point) (Fit, error) {
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	if countSizes(points) < 4 {
		return Fit{}, errTooFewPoints
	}
	largestSize := points[len(points)-1].Size
	first := slices.IndexFunc(points, func(p Point) bool { return p.Size == largestSize })
	smaller, largest := points[:first], points[first:]

	model := chooseModel(smaller)
	before := leastSquares(model, smaller)
	fit := leastSquares(model, points)
	fit.Predicted = before.At(largestSize)
	fit.Measured = mean(largest)
	if fit.Measured != 0 {
		fit.Error = (fit.Predicted - fit.Measured) / fit.Measured
	} else if fit.Predicted != 0 {
		fit.Error = farOff
	}
	return fit, nil
}

func countSizes(sorted []Point) int {
	sizes := 0
	for n, p := range sorted {
		if n == 0 || p.Size != sorted[n-1].Size {
			sizes++
		}
	}
	return sizes
}

// chooseModel takes the model of the least relative residual; of nearly equal ones the slower growth.
func chooseModel(points []Point) Model {
	least, most := math.Inf(1), math.Inf(-1)
	for _, p := range points {
		least, most = min(least, p.Value), max(most, p.Value)
	}
	if most <= least*constantSpread {
		return Constant
	}
	best, bestResidual := Linear, math.Inf(1)
	for _, model := range growing {
		if residual := relativeResidual(leastSquares(model, points), points); residual < bestResidual*0.9 {
			best, bestResidual = model, residual
		}
	}
	return best
}

// leastSquares fits intercept and slope with each point weighted by the inverse square of its value, so that the small
// sizes count as much as the large ones.
func leastSquares(model Model, points []Point) Fit {
	var weights, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		weight := 1 / max(p.Value*p.Value, 1e-18)
		x := model.shape(p.Size)
		weights += weight
		sumX += weight * x
		sumY += weight * p.Value
		sumXX += weight * x * x
		sumXY += weight * x * p.Value
	}
	fit := Fit{Model: model}
	if spread := weights*sumXX - sumX*sumX; model != Constant && spread > 0 {
		fit.Slope = (weights*sumXY - sumX*sumY) / spread
	}
	fit.Intercept = (sumY - fit.Slope*sumX) / weights
	return fit
}

func relativeResidual(fit Fit, points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		off := (fit.At(p.Size) - p.Value) / max(math.Abs(p.Value), 1e-9)
		sum += off * off
	}
	return sum
}

func mean(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		sum += p.Value
	}
	return sum / float64(len(points))
}
