// Command shallotring is part of shallotring.
package main

func main() {}
