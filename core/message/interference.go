package message

import "math"

// InterferenceWatch is a dispatcher's request for evidence of interference.
type InterferenceWatch struct {
	// Routes holds the routes of which capacity reports are to count the runs, at most 8. It
	// is empty unless the dispatcher has findings.
	Routes []string `json:"r,omitempty"`
}

// InterferenceReport is an agent's evidence of which routes slow each other down on its
// upstream. It replaces the sender's earlier report.
type InterferenceReport struct {
	// Routes holds the names that Pairs refers to, at most 8. Unused entries are empty.
	Routes []string `json:"r"`
	// Pairs holds at most 32 ordered pairs.
	Pairs []InterferencePair `json:"p"`
}

// InterferencePair is the evidence about one ordered pair of routes: the index of the route
// that may be slowed down, the index of the other route, the weight in tenths, and the score
// in hundredths. Score divided by weight estimates the difference of the logarithm of the
// duration with and without the other route.
type InterferencePair [4]int

// NewInterferencePair returns the rounded evidence about a pair.
func NewInterferencePair(route, other int, weight, score float64) InterferencePair {
	return InterferencePair{route, other, int(math.Round(weight * 10)), int(math.Round(score * 100))}
}

// Weight returns the weight of the evidence.
func (p InterferencePair) Weight() float64 { return float64(p[2]) / 10 }

// Score returns the score of the evidence.
func (p InterferencePair) Score() float64 { return float64(p[3]) / 100 }

// Names returns the names of both routes. It returns false if the report has no such pair
// of routes or the weight is not positive, as in a message of a faulty sender.
func (r *InterferenceReport) Names(p InterferencePair) (route, other string, ok bool) {
	if p[0] < 0 || p[0] >= len(r.Routes) || p[1] < 0 || p[1] >= len(r.Routes) || p[2] <= 0 {
		return "", "", false
	}
	return r.Routes[p[0]], r.Routes[p[1]], r.Routes[p[0]] != "" && r.Routes[p[1]] != ""
}
