// Command entry is part of shallotring.
package main

func main() {}
