// Command agent is part of shallotring.
package main

func main() {}
