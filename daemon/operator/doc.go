// Package operator implements the operator's command line: it edits and shows resources, shows which processes have them in force,
// drains endpoints and merges logs.
package operator
