package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// longest bounds one drawn length, so that a heavy tail ends somewhere.
const longest = 1 << 17

// Distribution draws lengths in tokens.
type Distribution struct {
	kind string
	a, b float64
}

// Draw returns a length of at least 1.
func (d Distribution) Draw(r *rand.Rand) int {
	x := d.a
	switch d.kind {
	case "lognormal":
		x = d.a * math.Exp(d.b*r.NormFloat64())
	case "pareto":
		x = d.a / math.Pow(1-r.Float64(), 1/d.b)
	}
	return int(min(max(x, 1), longest))
}

// parseDistribution reads fixed(n), lognormal(median, sigma) or pareto(least, alpha).
func parseDistribution(text string) (Distribution, bool) {
	kind, rest, ok := strings.Cut(text, "(")
	rest, closed := strings.CutSuffix(rest, ")")
	if !ok || !closed {
		return Distribution{}, false
	}
	want := map[string]int{"fixed": 1, "lognormal": 2, "pareto": 2}[kind]
	fields := strings.Split(rest, ",")
	if want == 0 || len(fields) != want {
		return Distribution{}, false
	}
	d := Distribution{kind: kind}
	for i, into := range []*float64{&d.a, &d.b}[:want] {
		v, err := strconv.ParseFloat(strings.TrimSpace(fields[i]), 64)
		if err != nil || v <= 0 {
			return Distribution{}, false
		}
		*into = v
	}
	return d, true
}
