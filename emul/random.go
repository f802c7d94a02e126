package emul

import (
	"math"
	"math/rand/v2"
)

// lognormal draws a log-normally distributed factor with median 1, whose logarithm has the given standard deviation.
func lognormal(r *rand.Rand, stddev float64) float64 {
	return math.Exp(stddev * r.NormFloat64())
}
