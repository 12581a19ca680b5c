// Package control is the protocol between entries and the agent of an engine when entries send requests to the engine directly.
// Messages are JSON, one a line, over one persistent connection. An entry reports which adapters it needs loaded and which it
// uses; the agent reports which models and adapters the engine has loaded.
package control
