// Package service is a stand-in of a plain service, such as sample custody, that keeps a journal of what it ran.
package service
