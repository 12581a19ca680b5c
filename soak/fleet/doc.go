// Package fleet composes the step functions into agents and entries on a simulated clock, with fakes at their interfaces.
package fleet
