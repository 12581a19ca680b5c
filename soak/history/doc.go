// Package history records the events of a simulated schedule with the subjects that they concern, such as a request or an
// endpoint. Reports of violations print them, and their digest shows whether two runs are the same.
package history
