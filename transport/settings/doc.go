// Package settings reads the TOML settings files of the programs.
package settings
