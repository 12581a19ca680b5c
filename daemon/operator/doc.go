// Package operator is the operator's command line: resources, status, drain and the timeline.
package operator
