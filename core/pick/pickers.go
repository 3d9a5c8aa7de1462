package pick

import "math/rand"

// tie is the difference below which two scores count as equal.
const tie = 1e-9

// Best takes the highest score and breaks ties at random. It suits a chooser
// that sees all requests of the domain.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(scores []float64, rnd *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(scores); i++ {
		switch {
		case scores[i] > scores[best]+tie:
			best, ties = i, 1
		case scores[i] > scores[best]-tie:
			ties++
			if rnd.Intn(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices draws two candidates at random and takes the better one. It guards
// against the herd: instances that choose apart from each other by the same
// late report would all take the one best upstream and overload it; with two
// random choices each upstream gets at most about twice its share.
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
