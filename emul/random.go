package emul

import (
	"math"
	"math/rand/v2"
)

// lognormal returns a factor with median one whose logarithm has the given standard deviation.
func lognormal(r *rand.Rand, deviation float64) float64 {
	return math.Exp(deviation * r.NormFloat64())
}
