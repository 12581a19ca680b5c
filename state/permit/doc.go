// Package permit limits the adapter loads of all engines together, so that they do not overload the weight store.
// Each load needs a permit, and a Budget grants permits at a fixed rate.
package permit
