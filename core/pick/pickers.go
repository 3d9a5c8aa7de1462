package pick

import "math/rand"

// scoreTolerance is the difference below which two scores count as equal.
const scoreTolerance = 1e-9

// Best picks the highest score and breaks ties at random. It suits a scheduler that sees all
// requests of its failure domain.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(scores []float64, rnd *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(scores); i++ {
		switch {
		case scores[i] > scores[best]+scoreTolerance:
			best, ties = i, 1
		case scores[i] > scores[best]-scoreTolerance:
			ties++
			if rnd.Intn(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices draws two candidates at random and picks the better one. It prevents herding: instances
// that choose independently by the same stale report would all overload the one best upstream. With
// two random choices, each upstream gets at most about twice its share.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(scores []float64, rnd *rand.Rand) int {
	a := rnd.Intn(len(scores))
	if len(scores) == 1 {
		return a
	}
	b := rnd.Intn(len(scores) - 1)
	if b >= a {
		b++
	}
	if scores[b] > scores[a] {
		return b
	}
	return a
}
