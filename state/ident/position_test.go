package ident

import "testing"

// TestFencingNumberRisesOverEras guards against a fencing number that falls or repeats because a restored store assigns lost revisions
// again.
func TestFencingNumberRisesOverEras(t *testing.T) {
	positions := []Position{{0, 5}, {0, 900}, {1, 3}, {1, 900}, {2, 1}, {8191, 1<<fencingRevisionBits - 1}}
	for i := 1; i < len(positions); i++ {
		p, x := positions[i-1], positions[i]
		equal := x
		if p.Compare(x) >= 0 || x.Compare(p) <= 0 || x.Compare(equal) != 0 {
			t.Errorf("%v and %v compare wrongly", p, x)
		}
		if p.FencingNumber() >= x.FencingNumber() {
			t.Errorf("fencing numbers %d of %v and %d of %v do not rise", p.FencingNumber(), p, x.FencingNumber(), x)
		}
	}
	if last := positions[len(positions)-1].FencingNumber(); last >= 1<<53 {
		t.Errorf("fencing number %d is too large for a floating-point number", last)
	}
}
