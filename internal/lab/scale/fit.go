package scale

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// Model describes how a figure grows with the size n: value = Intercept + Slope * basis(n).
type Model string

// The growth models, from the slowest growth to the fastest.
const (
	Constant  Model = "constant"
	Log       Model = "log n"
	Linear    Model = "n"
	Quadratic Model = "n^2"
)

// maxConstantSpread is the maximum ratio of the largest to the smallest value of a constant figure. Repeated measurements on one
// machine differ by up to about a tenth.
const maxConstantSpread = 1.1

// maxFitError replaces an infinite relative error, which JSON cannot encode: a value was predicted, but 0 was measured.
const maxFitError = 1e6

// growthModels are the candidates of chooseModel for a figure that is not constant.
var growthModels = []Model{Log, Linear, Quadratic}

// MinSizes is the minimum number of different sizes for a fit.
const MinSizes = 4

// A faster growing model is preferred only if its residual is below minImprovement times that of the slower one.
const minImprovement = 0.9

// minValue replaces smaller values in divisors, to avoid a division by zero.
const minValue = 1e-9

// ErrTooFewSizes is returned by FitPoints when the points cover fewer than MinSizes different sizes.
var ErrTooFewSizes = errors.New("scale: too few sizes to fit a growth model, expected at least 4 different sizes")

// basis is the model's basis function: the value is linear in basis(size).
func (m Model) basis(size float64) float64 {
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

// Fit is a growth model fitted to points.
type Fit struct {
	Model     Model   `json:"model"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`             // per unit of the model's basis function
	Predicted float64 `json:"largest_predicted"` // value at the largest size, from a fit to the smaller sizes only
	Measured  float64 `json:"largest_measured"`
	Error     float64 `json:"largest_error"` // (Predicted - Measured) / Measured; 0 if both are 0, maxFitError if only Measured is 0
}

// At returns the fitted value at a size, but not less than 0.
func (f Fit) At(size float64) float64 {
	return max(f.Intercept+f.Slope*f.Model.basis(size), 0)
}

// FitPoints chooses the model from the points below the largest size, predicts the value at the largest size to assess the model,
// and then fits slope and intercept to all points. It returns ErrTooFewSizes for points at fewer than MinSizes different sizes.
func FitPoints(points []Point) (Fit, error) {
	points = slices.Clone(points)
	slices.SortStableFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	if countDistinctSizes(points) < MinSizes {
		return Fit{}, ErrTooFewSizes
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
		fit.Error = maxFitError
	}
	return fit, nil
}

// countDistinctSizes counts the different sizes in points sorted by size.
func countDistinctSizes(sorted []Point) int {
	sizes := 0
	for n, p := range sorted {
		if n == 0 || p.Size != sorted[n-1].Size {
			sizes++
		}
	}
	return sizes
}

// chooseModel returns the model with the smallest relative residual. Among models with nearly equal residuals it prefers the one
// that grows most slowly.
func chooseModel(points []Point) Model {
	smallest, largest := math.Inf(1), math.Inf(-1)
	for _, p := range points {
		smallest, largest = min(smallest, p.Value), max(largest, p.Value)
	}
	if largest <= smallest*maxConstantSpread {
		return Constant
	}
	best, bestResidual := Linear, math.Inf(1)
	for _, model := range growthModels {
		if residual := relativeResidual(leastSquares(model, points), points); residual < bestResidual*minImprovement {
			best, bestResidual = model, residual
		}
	}
	return best
}

// leastSquares fits intercept and slope by weighted least squares. The weight of a point is the inverse square of its value, so
// that relative errors count alike at small and large sizes.
func leastSquares(model Model, points []Point) Fit {
	var weights, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		weight := 1 / max(p.Value*p.Value, minValue*minValue)
		x := model.basis(p.Size)
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

// relativeResidual returns the sum of the squared relative errors.
func relativeResidual(fit Fit, points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		relativeError := (fit.At(p.Size) - p.Value) / max(math.Abs(p.Value), minValue)
		sum += relativeError * relativeError
	}
	return sum
}

// mean returns the mean value of points, which must not be empty.
func mean(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		sum += p.Value
	}
	return sum / float64(len(points))
}
