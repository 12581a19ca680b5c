// Package control is the protocol between an entry and the agent beside an engine when requests go to the engine directly: JSON
// lines over one kept connection. The entry says what it wants loaded and what it uses; the agent says what the engine holds.
package control
