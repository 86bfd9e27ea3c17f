package scale

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// Model is how a figure grows with the size n: value = Intercept + Slope * shape(n).
type Model string

// The growth models, from the slowest to the fastest.
const (
	Constant  Model = "constant"
	Log       Model = "log n"
	Linear    Model = "n"
	Quadratic Model = "n^2"
)

// maxConstantSpread is the ratio of the largest to the smallest value up to which a figure counts as constant: measurements on one
// machine repeat within about a tenth.
const maxConstantSpread = 1.1

// maxFitError stands for an infinite error, where something was predicted and 0 measured; JSON cannot encode infinity.
const maxFitError = 1e6

// growthModels are the models between which chooseModel chooses for a figure that is not constant.
var growthModels = []Model{Log, Linear, Quadratic}

// MinSizes is how many different sizes a fit needs.
const MinSizes = 4

// minImprovement is the factor by which a faster growing model must reduce the residual to be preferred.
const minImprovement = 0.9

// minValue stands for a value of 0 where something is divided by it.
const minValue = 1e-9

// ErrTooFewSizes is the error of FitPoints for points at fewer than MinSizes sizes.
var ErrTooFewSizes = errors.New("scale: a fit needs points at four different sizes at least")

// shape is the function of the size that the model's value is linear in.
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

// Fit is a growth model fitted to points.
type Fit struct {
	Model     Model   `json:"model"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`             // per unit of the model's shape
	Predicted float64 `json:"largest_predicted"` // value at the largest size, by a fit of the smaller sizes alone
	Measured  float64 `json:"largest_measured"`
	Error     float64 `json:"largest_error"` // (predicted - measured) / measured; 0 where both are 0, maxFitError where only Measured is
}

// At is the fitted value at a size, at least 0.
func (f Fit) At(size float64) float64 {
	return max(f.Intercept+f.Slope*f.Model.shape(size), 0)
}

// FitPoints chooses the model by all points but those of the largest size, predicts the value there, and then fits slope and
// intercept to all points. It returns ErrTooFewSizes for points at fewer than MinSizes different sizes.
func FitPoints(points []Point) (Fit, error) {
	points = slices.Clone(points)
	slices.SortStableFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	if countSizes(points) < MinSizes {
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

// countSizes counts the different sizes of points that are sorted by size.
func countSizes(sorted []Point) int {
	sizes := 0
	for n, p := range sorted {
		if n == 0 || p.Size != sorted[n-1].Size {
			sizes++
		}
	}
	return sizes
}

// chooseModel returns the model with the smallest relative residual, and among nearly equal ones the slowest growth.
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

// leastSquares fits intercept and slope with each point weighted by the inverse square of its value, so that the small
// sizes count as much as the large ones.
func leastSquares(model Model, points []Point) Fit {
	var weights, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		weight := 1 / max(p.Value*p.Value, minValue*minValue)
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

// relativeResidual is the sum of the squared relative errors.
func relativeResidual(fit Fit, points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		relativeError := (fit.At(p.Size) - p.Value) / max(math.Abs(p.Value), minValue)
		sum += relativeError * relativeError
	}
	return sum
}

// mean is the mean value of points; there must be one.
func mean(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		sum += p.Value
	}
	return sum / float64(len(points))
}
