// Package program holds what the main functions of all programs share.
package program
