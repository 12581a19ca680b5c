package ident

import "cmp"

// Era counts how often a store has been restored from an older copy. Revisions of different eras are not comparable, because a
// restored store assigns the revisions that it has lost again.
type Era int64

// Position is a point in the history of a store.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns a negative number if p is before x, 0 if they are equal, and a positive number if p is after x.
func (p Position) Compare(x Position) int {
	return cmp.Or(cmp.Compare(p.Era, x.Era), cmp.Compare(p.Revision, x.Revision))
}

// fencingRevisionBits is the number of bits of a fencing number that hold the revision. The number stays below 2^53, which
// JSON decoders with floating-point numbers read exactly, up to era 8191.
const fencingRevisionBits = 40

// FencingNumber returns a number that rises with the position, also from one era to the next.
func (p Position) FencingNumber() Incarnation {
	return Incarnation(p.Era)<<fencingRevisionBits | Incarnation(p.Revision)
}
